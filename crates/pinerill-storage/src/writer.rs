//! The writer thread: one transaction and one sync for all waiting batches.

use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::Arc;

use redb::{Database, Durability};

use crate::tables::{apply_batch, TableFailure};
use crate::{Completion, StorageCause, StorageError, StoreCounters, WriteBatch};

/// Batches in one transaction at most.
const MAX_BATCHES: usize = 4096;
/// Bytes after which no further batch joins a transaction.
const MAX_BYTES: usize = 32 << 20;

/// A batch and whom to tell.
pub(crate) struct QueuedWrite {
    pub(crate) batch: WriteBatch,
    pub(crate) completion: Completion,
}

/// What a commit waits for.
fn durability() -> Durability {
    fail::fail_point!("store-commit-without-sync", |_| Durability::None);
    Durability::Immediate
}

/// Owns the write side of the database.
pub(crate) struct Writer {
    pub(crate) database: Arc<Database>,
    pub(crate) path: PathBuf,
    pub(crate) queue: Receiver<QueuedWrite>,
    pub(crate) counters: Arc<StoreCounters>,
}

impl Writer {
    /// Runs until the store is closed. After a failed write nothing more is
    /// written: what the disk holds is then uncertain, and a later write must
    /// not be acknowledged while an earlier one is missing.
    pub(crate) fn run(self) {
        let mut failed = false;
        while let Some(writes) = self.next_writes() {
            let result = match failed {
                true => Err(self.error(StorageCause::Stopped)),
                false => self.commit(&writes),
            };
            failed |= result.is_err();
            for write in writes {
                (write.completion)(result.clone());
            }
        }
    }

    fn next_writes(&self) -> Option<Vec<QueuedWrite>> {
        let first = self.queue.recv().ok()?;
        let mut bytes = first.batch.size();
        let mut writes = vec![first];
        while writes.len() < MAX_BATCHES && bytes < MAX_BYTES {
            let Ok(next) = self.queue.try_recv() else {
                break;
            };
            bytes += next.batch.size();
            writes.push(next);
        }
        Some(writes)
    }

    fn commit(&self, writes: &[QueuedWrite]) -> Result<(), StorageError> {
        self.try_commit(writes)
            .map_err(|failure| self.error(failure.into_cause()))?;
        let bytes: usize = writes.iter().map(|write| write.batch.size()).sum();
        self.counters.count_sync(writes.len() as u64, bytes as u64);
        Ok(())
    }

    /// The commit syncs.
    fn try_commit(&self, writes: &[QueuedWrite]) -> Result<(), TableFailure> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(durability())?;
        for write in writes {
            apply_batch(&transaction, &write.batch)?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn error(&self, cause: StorageCause) -> StorageError {
        StorageError::new("write", &self.path, cause)
    }
}
