//! A data file whose creation was cut short, as by a kill or a loss of power.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use pinerill_storage::{Store, ThinFile, DATABASE_FILE};
use redb::{Builder, StorageBackend};

/// More steps than any creation takes.
const MOST_STEPS: usize = 1_000;

/// A file of which only the first steps that change it take effect.
#[derive(Debug)]
struct CutShort {
    file: ThinFile,
    steps_left: AtomicUsize,
}

impl CutShort {
    fn step(&self) -> io::Result<()> {
        let one_less = |left: usize| left.checked_sub(1);
        let left = self
            .steps_left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less);
        left.map(drop)
            .map_err(|_| io::Error::other("the process has ended"))
    }
}

impl StorageBackend for CutShort {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.step()?;
        self.file.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.step()?;
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.step()?;
        self.file.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a data file, cut short after so many steps; whether it came to its end.
fn create(folder: &Path, steps: usize) -> bool {
    let file = CutShort {
        file: ThinFile::open(&folder.join(DATABASE_FILE)).expect("opens"),
        steps_left: AtomicUsize::new(steps),
    };
    Builder::new().create_with_backend(file).is_ok()
}

#[test]
fn a_creation_that_was_cut_short_does_not_keep_the_store_from_opening() {
    let mut refused = Vec::new();
    for steps in 0..MOST_STEPS {
        let folder = tempfile::tempdir().expect("folder");
        let ended = create(folder.path(), steps);
        if let Err(error) = Store::open(folder.path()) {
            refused.push((steps, error.cause.to_string()));
        }
        if ended {
            break;
        }
    }
    assert!(refused.is_empty(), "{refused:#?}");
}
