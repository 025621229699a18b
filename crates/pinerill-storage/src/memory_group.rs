//! Durable state of one group in memory.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use pinerill_replica::{Entry, HardState, RestoredState, SnapshotMeta};

use crate::{GroupReader, Operation, RestoredGroup, StateEntry, StorageError};

/// What a disk would hold of a group.
#[derive(Clone, Default)]
pub(crate) struct MemoryGroup {
    hard_state: HardState,
    snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    log: BTreeMap<u64, Entry>,
    table: Arc<BTreeMap<Vec<u8>, Vec<u8>>>,
}

impl MemoryGroup {
    pub(crate) fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::SetHardState(hard_state) => self.hard_state = hard_state,
            Operation::AppendEntries(entries) => self.append(entries),
            Operation::PutState { key, value } => {
                Arc::make_mut(&mut self.table).insert(key, value);
            }
            Operation::DeleteState { key } => {
                Arc::make_mut(&mut self.table).remove(&key);
            }
            Operation::SaveSnapshot { meta, memory } => self.snapshot = Some((meta, memory)),
            Operation::InstallSnapshot {
                meta,
                memory,
                table,
            } => {
                self.log.clear();
                self.table = Arc::new(table.into_iter().collect());
                self.snapshot = Some((meta, memory));
            }
            Operation::CompactLog { up_to } => self.log = self.log.split_off(&(up_to + 1)),
        }
    }

    fn append(&mut self, entries: Vec<Entry>) {
        if let Some(first) = entries.first() {
            self.log.split_off(&first.index);
        }
        let keyed = entries.into_iter().map(|entry| (entry.index, entry));
        self.log.extend(keyed);
    }

    pub(crate) fn restore(&self) -> RestoredGroup {
        let (snapshot, memory) = self.snapshot.clone().unwrap_or_default();
        RestoredGroup {
            state: RestoredState {
                hard_state: self.hard_state,
                snapshot,
                entries: self.log.values().cloned().collect(),
            },
            memory,
        }
    }

    pub(crate) fn reader(&self) -> MemoryReader {
        MemoryReader {
            snapshot: self.snapshot.clone(),
            table: self.table.clone(),
        }
    }
}

/// A view of a group that later writes don't change.
#[derive(Default)]
pub(crate) struct MemoryReader {
    snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    table: Arc<BTreeMap<Vec<u8>, Vec<u8>>>,
}

impl GroupReader for MemoryReader {
    fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        Ok(self.table.get(key).cloned())
    }

    fn scan(
        &self,
        from: Bound<&[u8]>,
        to: Bound<&[u8]>,
        limit: usize,
    ) -> Result<Vec<StateEntry>, StorageError> {
        let range = self.table.range::<[u8], _>((from, to));
        let entries = range.take(limit);
        Ok(entries
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect())
    }

    fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StorageError> {
        Ok(self.snapshot.clone())
    }
}
