//! Tables of the database and the operations on them.

use pinerill_replica::{Entry, GroupId, HardState, SnapshotMeta};
use redb::{ReadableTable, TableDefinition, WriteTransaction};

use crate::codec::encode_entry;
use crate::{Operation, StateEntry, StorageCause, WriteBatch};

/// Marks the database as pinerill's and holds the folder's identity.
pub(crate) const IDENTITY: TableDefinition<&str, &[u8]> = TableDefinition::new("identity");
/// Key of the encoded [`Identity`](crate::Identity).
pub(crate) const IDENTITY_KEY: &str = "identity";
/// Term and vote of each group.
pub(crate) const HARD_STATES: TableDefinition<u32, &[u8]> = TableDefinition::new("hard_states");
/// What the stored snapshot of each group covers.
pub(crate) const SNAPSHOTS: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshots");
/// The in-memory part of each stored snapshot.
pub(crate) const SNAPSHOT_MEMORY: TableDefinition<u32, &[u8]> =
    TableDefinition::new("snapshot_memory");

pub(crate) type LogTable<'a> = TableDefinition<'a, u64, &'static [u8]>;
pub(crate) type StateTable<'a> = TableDefinition<'a, &'static [u8], &'static [u8]>;

pub(crate) fn log_name(group: GroupId) -> String {
    format!("log/{group}")
}

pub(crate) fn state_name(group: GroupId) -> String {
    format!("state/{group}")
}

/// Why a change could not be made.
pub(crate) enum TableFailure {
    Database(redb::Error),
    Encoding(String),
}

impl<E: Into<redb::Error>> From<E> for TableFailure {
    fn from(error: E) -> Self {
        TableFailure::Database(error.into())
    }
}

impl TableFailure {
    pub(crate) fn into_cause(self) -> StorageCause {
        match self {
            TableFailure::Database(error) => crate::error::cause_of(error),
            TableFailure::Encoding(what) => StorageCause::Corrupted(what),
        }
    }
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, TableFailure> {
    postcard::to_stdvec(value).map_err(|error| TableFailure::Encoding(error.to_string()))
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, TableFailure> {
    postcard::from_bytes(bytes).map_err(|error| TableFailure::Encoding(error.to_string()))
}

pub(crate) fn apply_batch(
    transaction: &WriteTransaction,
    batch: &WriteBatch,
) -> Result<(), TableFailure> {
    for operation in &batch.operations {
        apply(transaction, batch.group, operation)?;
    }
    Ok(())
}

fn apply(
    transaction: &WriteTransaction,
    group: GroupId,
    operation: &Operation,
) -> Result<(), TableFailure> {
    match operation {
        Operation::SetHardState(hard_state) => set_hard_state(transaction, group, hard_state),
        Operation::AppendEntries(entries) => append(transaction, group, entries),
        Operation::PutState { key, value } => put_state(transaction, group, key, value),
        Operation::DeleteState { key } => delete_state(transaction, group, key),
        Operation::SaveSnapshot { meta, memory } => save_snapshot(transaction, group, meta, memory),
        Operation::InstallSnapshot {
            meta,
            memory,
            table,
        } => {
            replace_group(transaction, group, table)?;
            save_snapshot(transaction, group, meta, memory)
        }
        Operation::CompactLog { up_to } => compact(transaction, group, *up_to),
    }
}

fn set_hard_state(
    transaction: &WriteTransaction,
    group: GroupId,
    hard_state: &HardState,
) -> Result<(), TableFailure> {
    let encoded = encode(hard_state)?;
    let mut table = transaction.open_table(HARD_STATES)?;
    table.insert(group.0, encoded.as_slice())?;
    Ok(())
}

fn append(
    transaction: &WriteTransaction,
    group: GroupId,
    entries: &[Entry],
) -> Result<(), TableFailure> {
    let Some(first) = entries.first() else {
        return Ok(());
    };
    let name = log_name(group);
    let mut table = transaction.open_table(LogTable::new(&name))?;
    let last_stored = table.last()?.map(|(index, _)| index.value());
    if last_stored.is_some_and(|last| last >= first.index) {
        table.retain_in(first.index.., |_, _| false)?;
    }
    for entry in entries {
        let encoded = encode_entry(entry).map_err(TableFailure::Encoding)?;
        table.insert(entry.index, encoded.as_slice())?;
    }
    Ok(())
}

fn put_state(
    transaction: &WriteTransaction,
    group: GroupId,
    key: &[u8],
    value: &[u8],
) -> Result<(), TableFailure> {
    let name = state_name(group);
    let mut table = transaction.open_table(StateTable::new(&name))?;
    table.insert(key, value)?;
    Ok(())
}

fn delete_state(
    transaction: &WriteTransaction,
    group: GroupId,
    key: &[u8],
) -> Result<(), TableFailure> {
    let name = state_name(group);
    let mut table = transaction.open_table(StateTable::new(&name))?;
    table.remove(key)?;
    Ok(())
}

fn save_snapshot(
    transaction: &WriteTransaction,
    group: GroupId,
    meta: &SnapshotMeta,
    memory: &[u8],
) -> Result<(), TableFailure> {
    let encoded = encode(meta)?;
    let mut metas = transaction.open_table(SNAPSHOTS)?;
    metas.insert(group.0, encoded.as_slice())?;
    let mut memories = transaction.open_table(SNAPSHOT_MEMORY)?;
    memories.insert(group.0, memory)?;
    Ok(())
}

/// Removes log, snapshot and state table of a group; its term and vote stay.
pub(crate) fn discard_state(
    transaction: &WriteTransaction,
    group: GroupId,
) -> Result<(), TableFailure> {
    transaction.delete_table(LogTable::new(&log_name(group)))?;
    transaction.delete_table(StateTable::new(&state_name(group)))?;
    transaction.open_table(SNAPSHOTS)?.remove(group.0)?;
    transaction.open_table(SNAPSHOT_MEMORY)?.remove(group.0)?;
    Ok(())
}

fn replace_group(
    transaction: &WriteTransaction,
    group: GroupId,
    entries: &[StateEntry],
) -> Result<(), TableFailure> {
    discard_state(transaction, group)?;
    let name = state_name(group);
    let mut table = transaction.open_table(StateTable::new(&name))?;
    for (key, value) in entries {
        table.insert(key.as_slice(), value.as_slice())?;
    }
    Ok(())
}

fn compact(transaction: &WriteTransaction, group: GroupId, up_to: u64) -> Result<(), TableFailure> {
    let name = log_name(group);
    let mut table = transaction.open_table(LogTable::new(&name))?;
    table.retain_in(..=up_to, |_, _| false)?;
    Ok(())
}
