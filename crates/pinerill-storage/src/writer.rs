//! The writer thread: one transaction and one sync for all waiting batches.
//!
//! A received snapshot is written in two steps: first the group's log and state go,
//! then the new ones come. In one transaction both would be on the disk at once,
//! which a disk that is more than half full can't hold. Why a crash in between loses
//! nothing that counts: a replica installs a snapshot only if its log does not hold the
//! snapshot's last entry. That entry is committed, so a majority without this replica
//! holds it and all before it. What is left is a replica that has its term and vote but
//! no members: it asks for no votes and waits for the snapshot again.

use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::Arc;

use pinerill_replica::GroupId;
use redb::{Database, Durability, WriteTransaction};

use crate::replacement::Replacements;
use crate::tables::{apply_batch, discard_state, TableFailure};
use crate::{Completion, StorageCause, StorageError, StoreCounters, WriteBatch};

/// Batches in one transaction at most.
const MAX_BATCHES: usize = 4096;
/// Bytes after which no further batch joins a transaction.
const MAX_BYTES: usize = 32 << 20;
/// Commits after which the database uses pages again that a commit removed; found
/// by the size of the file in tests/store.rs.
const COMMITS_UNTIL_FREE: usize = 2;

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
    pub(crate) replacements: Arc<Replacements>,
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
        for (position, write) in writes.iter().enumerate() {
            if write.batch.replaces_state() {
                let (earlier, rest) = writes.split_at(position);
                self.commit_together(earlier)?;
                self.replace_state(&rest[..1])?;
                return self.try_commit(&rest[1..]);
            }
        }
        self.commit_together(writes)
    }

    fn commit_together(&self, writes: &[QueuedWrite]) -> Result<(), TableFailure> {
        if writes.is_empty() {
            return Ok(());
        }
        let batches = writes.iter().map(|write| &write.batch);
        self.in_transaction(|transaction| {
            for batch in batches {
                apply_batch(transaction, batch)?;
            }
            Ok(())
        })
    }

    /// Writes a batch after what it replaces is gone. After a failure views of the
    /// group stay refused, as nothing more is written.
    fn replace_state(&self, write: &[QueuedWrite]) -> Result<(), TableFailure> {
        let group = write[0].batch.group;
        self.replacements.advance(group);
        self.make_room(group)?;
        self.commit_together(write)?;
        self.replacements.advance(group);
        Ok(())
    }

    /// Removes what is about to be replaced, so that its pages can be used.
    fn make_room(&self, group: GroupId) -> Result<(), TableFailure> {
        self.in_transaction(|transaction| discard_state(transaction, group))?;
        for _ in 0..COMMITS_UNTIL_FREE {
            self.in_transaction(|_| Ok(()))?;
        }
        Ok(())
    }

    fn in_transaction(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), TableFailure>,
    ) -> Result<(), TableFailure> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(durability())?;
        change(&transaction)?;
        transaction.commit()?;
        Ok(())
    }

    fn error(&self, cause: StorageCause) -> StorageError {
        StorageError::new("write", &self.path, cause)
    }
}
