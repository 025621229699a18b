//! What a process has used, as the system tells.

use anyhow::{ensure, Context};
use serde::Serialize;

/// Clock ticks per second in `/proc`; fixed by the system's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page in `/proc`.
const PAGE_BYTES: u64 = 4096;
/// Position of user time among the fields after the command's name.
const USER_TIME: usize = 11;
/// Position of system time.
const SYSTEM_TIME: usize = 12;
/// Position of resident pages.
const RESIDENT_PAGES: usize = 21;

/// What one process has used so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time, seconds.
    pub cpu_seconds: f64,
    /// Resident memory, bytes.
    pub resident_bytes: u64,
    /// Bytes written to disk.
    pub written_bytes: u64,
}

impl Usage {
    /// Reads what process `id` has used.
    ///
    /// # Errors
    /// When the process is gone.
    pub fn of_process(id: u32) -> anyhow::Result<Self> {
        let path = format!("/proc/{id}/stat");
        let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
        let (_, after_name) = text.rsplit_once(')').context("reading a process's state")?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        ensure!(fields.len() > RESIDENT_PAGES, "reading {path}: too short");
        let number = |index: usize| fields[index].parse::<u64>().unwrap_or(0);
        let ticks = number(USER_TIME) + number(SYSTEM_TIME);
        Ok(Self {
            cpu_seconds: ticks as f64 / TICKS_PER_SECOND,
            resident_bytes: number(RESIDENT_PAGES) * PAGE_BYTES,
            written_bytes: written_bytes(id),
        })
    }

    /// Adds what another process has used.
    pub fn add(&mut self, other: &Self) {
        self.cpu_seconds += other.cpu_seconds;
        self.resident_bytes += other.resident_bytes;
        self.written_bytes += other.written_bytes;
    }

    /// Share of one core used since `earlier`, over `seconds`.
    pub fn cores_since(&self, earlier: &Self, seconds: f64) -> f64 {
        (self.cpu_seconds - earlier.cpu_seconds) / seconds
    }
}

fn written_bytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/io")).unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix("write_bytes: "))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

/// All memory of the machine, bytes.
///
/// # Errors
/// When the system does not tell.
pub fn machine_memory_bytes() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").context("reading the machine's memory")?;
    let kib = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok())
        .context("reading the machine's memory")?;
    Ok(kib * 1024)
}
