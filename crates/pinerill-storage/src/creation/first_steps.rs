//! What the database library writes when it creates a database in place, up to its
//! first sync: a header without the mark by which the library knows it.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;
use redb::{Builder, StorageBackend};

/// The file's content at the first sync.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct FirstSteps {
    /// The length that was set, bytes.
    pub(super) length: u64,
    /// What was written at the start.
    pub(super) data: Vec<u8>,
}

impl FirstSteps {
    /// Those of this build's library.
    pub(super) fn of_a_creation_in_place() -> Self {
        let recorded = Recorder::default();
        // Refused by the recorder at its first sync.
        drop(Builder::new().create_with_backend(recorded.clone()));
        let steps = recorded.0.lock().clone();
        steps
    }
}

/// A file in memory that ends at its first sync.
#[derive(Debug, Clone, Default)]
struct Recorder(Arc<Mutex<FirstSteps>>);

impl StorageBackend for Recorder {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().length)
    }

    fn read(&self, _offset: u64, _out: &mut [u8]) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.0.lock().length = length;
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut steps = self.0.lock();
        let end = offset as usize + data.len();
        let end = end.max(steps.data.len());
        steps.data.resize(end, 0);
        steps.data[offset as usize..][..data.len()].copy_from_slice(data);
        Ok(())
    }
}
