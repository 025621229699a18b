//! Reading a group from the database.

use std::ops::Bound;
use std::path::PathBuf;

use pinerill_replica::{GroupId, RestoredState, SnapshotMeta};
use redb::{Key, ReadOnlyTable, ReadTransaction, TableDefinition, TableError, Value};

use crate::codec::decode_entry;
use crate::tables::{
    decode, log_name, state_name, LogTable, StateTable, TableFailure, HARD_STATES, SNAPSHOTS,
    SNAPSHOT_MEMORY,
};
use crate::{GroupReader, RestoredGroup, StateEntry, StorageError};

/// A read transaction bound to one group.
pub(crate) struct TransactionReader {
    pub(crate) transaction: ReadTransaction,
    pub(crate) group: GroupId,
    pub(crate) path: PathBuf,
}

type ReadOnlyStateTable = ReadOnlyTable<&'static [u8], &'static [u8]>;

/// Opens a table that may not exist yet.
pub(crate) fn open_table<K: Key + 'static, V: Value + 'static>(
    transaction: &ReadTransaction,
    definition: TableDefinition<K, V>,
) -> Result<Option<ReadOnlyTable<K, V>>, TableFailure> {
    match transaction.open_table(definition) {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

impl TransactionReader {
    fn explain<T>(
        &self,
        step: &'static str,
        result: Result<T, TableFailure>,
    ) -> Result<T, StorageError> {
        result.map_err(|failure| StorageError::new(step, &self.path, failure.into_cause()))
    }

    /// Everything the group needs to start; `None` if it was never written.
    pub(crate) fn restore(&self) -> Result<Option<RestoredGroup>, StorageError> {
        self.explain("restore of a group", self.try_restore())
    }

    fn try_restore(&self) -> Result<Option<RestoredGroup>, TableFailure> {
        let hard_state = self.read_small(HARD_STATES)?;
        let snapshot = self.try_snapshot()?;
        if hard_state.is_none() && snapshot.is_none() {
            return Ok(None);
        }
        let (meta, memory) = snapshot.unwrap_or_default();
        let state = RestoredState {
            hard_state: hard_state.unwrap_or_default(),
            snapshot: meta,
            entries: self.try_entries()?,
        };
        Ok(Some(RestoredGroup { state, memory }))
    }

    fn read_small<T: serde::de::DeserializeOwned>(
        &self,
        definition: TableDefinition<u32, &[u8]>,
    ) -> Result<Option<T>, TableFailure> {
        let Some(table) = open_table(&self.transaction, definition)? else {
            return Ok(None);
        };
        let Some(value) = table.get(self.group.0)? else {
            return Ok(None);
        };
        decode(value.value()).map(Some)
    }

    fn try_snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, TableFailure> {
        let Some(meta) = self.read_small(SNAPSHOTS)? else {
            return Ok(None);
        };
        let Some(table) = open_table(&self.transaction, SNAPSHOT_MEMORY)? else {
            return Ok(None);
        };
        let memory = table.get(self.group.0)?;
        let memory = memory.map(|value| value.value().to_vec());
        Ok(Some((meta, memory.unwrap_or_default())))
    }

    fn try_entries(&self) -> Result<Vec<pinerill_replica::Entry>, TableFailure> {
        let name = log_name(self.group);
        let Some(table) = open_table(&self.transaction, LogTable::new(&name))? else {
            return Ok(Vec::new());
        };
        let mut entries = Vec::new();
        for stored in table.range::<u64>(..)? {
            let (index, value) = stored?;
            let entry = decode_entry(index.value(), value.value());
            entries.push(entry.map_err(TableFailure::Encoding)?);
        }
        Ok(entries)
    }

    fn state_table(&self) -> Result<Option<ReadOnlyStateTable>, TableFailure> {
        let name = state_name(self.group);
        open_table(&self.transaction, StateTable::new(&name))
    }

    fn try_get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, TableFailure> {
        let Some(table) = self.state_table()? else {
            return Ok(None);
        };
        let value = table.get(key)?;
        Ok(value.map(|value| value.value().to_vec()))
    }

    fn try_scan(
        &self,
        from: Bound<&[u8]>,
        to: Bound<&[u8]>,
        limit: usize,
    ) -> Result<Vec<StateEntry>, TableFailure> {
        let Some(table) = self.state_table()? else {
            return Ok(Vec::new());
        };
        let mut entries = Vec::new();
        for stored in table.range::<&[u8]>((from, to))?.take(limit) {
            let (key, value) = stored?;
            entries.push((key.value().to_vec(), value.value().to_vec()));
        }
        Ok(entries)
    }
}

impl GroupReader for TransactionReader {
    fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        self.explain("read of a state table", self.try_get(key))
    }

    fn scan(
        &self,
        from: Bound<&[u8]>,
        to: Bound<&[u8]>,
        limit: usize,
    ) -> Result<Vec<StateEntry>, StorageError> {
        self.explain("scan of a state table", self.try_scan(from, to, limit))
    }

    fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StorageError> {
        self.explain("read of a snapshot", self.try_snapshot())
    }
}
