//! Writes of one group that become durable together.

use pinerill_replica::{Entry, GroupId, HardState, Persist, SnapshotMeta};

use crate::{decode_snapshot, StorageError};

/// A key and its value in a state table.
pub type StateEntry = (Vec<u8>, Vec<u8>);

/// One change of a group's durable state.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Replaces term and vote.
    SetHardState(HardState),
    /// Removes the log from the first entry's index on, then appends.
    AppendEntries(Vec<Entry>),
    /// Sets a key of the state table.
    PutState {
        /// The key.
        key: Vec<u8>,
        /// Its value.
        value: Vec<u8>,
    },
    /// Removes a key of the state table.
    DeleteState {
        /// The key.
        key: Vec<u8>,
    },
    /// Replaces the stored snapshot; log and state table stay.
    SaveSnapshot {
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// The in-memory part of the state machine.
        memory: Vec<u8>,
    },
    /// Replaces snapshot and state table and empties the log.
    InstallSnapshot {
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// The in-memory part of the state machine.
        memory: Vec<u8>,
        /// The whole state table.
        table: Vec<StateEntry>,
    },
    /// Removes log entries up to and including the index.
    CompactLog {
        /// Last index to remove.
        up_to: u64,
    },
}

/// Changes of one group that become durable together, in order.
#[derive(Clone, Debug)]
pub struct WriteBatch {
    /// The group.
    pub group: GroupId,
    /// The changes.
    pub operations: Vec<Operation>,
}

impl WriteBatch {
    /// An empty batch.
    pub fn new(group: GroupId) -> Self {
        WriteBatch {
            group,
            operations: Vec::new(),
        }
    }

    /// The batch for a replica's write, in the order that it requires.
    pub fn from_persist(group: GroupId, persist: &Persist) -> Result<Self, StorageError> {
        let mut batch = WriteBatch::new(group);
        if let Some(hard_state) = persist.hard_state {
            batch.operations.push(Operation::SetHardState(hard_state));
        }
        if let Some(snapshot) = &persist.snapshot {
            let decoded = decode_snapshot(&snapshot.data)?;
            batch.operations.push(Operation::InstallSnapshot {
                meta: snapshot.meta.clone(),
                memory: decoded.memory,
                table: decoded.table,
            });
        }
        if !persist.entries.is_empty() {
            let entries = persist.entries.clone();
            batch.operations.push(Operation::AppendEntries(entries));
        }
        Ok(batch)
    }

    /// Whether it replaces log and state of its group.
    pub(crate) fn replaces_state(&self) -> bool {
        let installs = |one: &Operation| matches!(one, Operation::InstallSnapshot { .. });
        self.operations.iter().any(installs)
    }

    /// Approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.operations.iter().map(Operation::size).sum()
    }
}

impl Operation {
    fn size(&self) -> usize {
        match self {
            Operation::SetHardState(_) | Operation::CompactLog { .. } => 16,
            Operation::AppendEntries(entries) => entries.iter().map(Entry::size).sum(),
            Operation::PutState { key, value } => key.len() + value.len(),
            Operation::DeleteState { key } => key.len(),
            Operation::SaveSnapshot { memory, .. } => memory.len(),
            Operation::InstallSnapshot { memory, table, .. } => {
                let entries = table.iter().map(|(key, value)| key.len() + value.len());
                memory.len() + entries.sum::<usize>()
            }
        }
    }
}
