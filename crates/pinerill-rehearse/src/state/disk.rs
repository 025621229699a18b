//! The disk's own sync rate, measured in the same run as pinerill.

use std::fs::OpenOptions;
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;

use super::figures::DiskFigures;

/// Length of the measurement.
const TIME: Duration = Duration::from_secs(2);
/// Size of one write, bytes.
const WRITE_BYTES: usize = 4_096;
/// Writes go round in a file of that many.
const WRITES_IN_FILE: u64 = 1_024;

/// Writes and syncs one after the other.
///
/// # Errors
/// When the folder can't be written.
pub fn measure(folder: &Path) -> anyhow::Result<DiskFigures> {
    let path = folder.join("sync-probe");
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .open(&path)
        .with_context(|| format!("writing {}", path.display()))?;
    let block = vec![1; WRITE_BYTES];
    let started = Instant::now();
    let mut writes = 0;
    while started.elapsed() < TIME {
        let position = writes % WRITES_IN_FILE * WRITE_BYTES as u64;
        file.seek(SeekFrom::Start(position))?;
        file.write_all(&block)?;
        file.sync_data()?;
        writes += 1;
    }
    let syncs_per_second = writes as f64 / started.elapsed().as_secs_f64();
    std::fs::remove_file(&path)?;
    Ok(DiskFigures { syncs_per_second })
}

/// Bytes of all files in a folder.
pub fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return 0;
    };
    entries
        .flatten()
        .filter_map(|entry| entry.metadata().ok())
        .filter(|metadata| metadata.is_file())
        .map(|metadata| metadata.len())
        .sum()
}
