//! A snapshot as a stream of bytes: the in-memory part of the state machine,
//! then the state table in key order.
//!
//! The state table may be ahead of the in-memory part, and later parts of it ahead
//! of earlier ones: each part is read from a view of its own, since a store can't
//! use pages again that an open view may read, and a transfer takes seconds. That is
//! safe: `apply` never reads the table, so applying the entries after the snapshot
//! writes the same values and removes the same keys again.

use std::ops::Bound;
use std::path::Path;

use pinerill_replica::SnapshotMeta;

use crate::{GroupReader, StateEntry, StorageCause, StorageError};

const LENGTH_BYTES: usize = 8;
/// Table entries read at once.
const SCAN_ENTRIES: usize = 64;

/// Where the reading of a stored snapshot stands.
pub struct SnapshotStream {
    meta: SnapshotMeta,
    buffer: Vec<u8>,
    /// How much of `buffer` has been handed out.
    position: usize,
    last_key: Option<Vec<u8>>,
    exhausted: bool,
    offset: u64,
}

impl SnapshotStream {
    /// Starts with the newest stored snapshot; `None` if there is none.
    pub fn open(reader: &dyn GroupReader) -> Result<Option<Self>, StorageError> {
        let Some((meta, memory)) = reader.snapshot()? else {
            return Ok(None);
        };
        let mut buffer = Vec::new();
        push_bytes(&mut buffer, &memory);
        Ok(Some(SnapshotStream {
            meta,
            buffer,
            position: 0,
            last_key: None,
            exhausted: false,
            offset: 0,
        }))
    }

    /// What the snapshot covers.
    pub fn meta(&self) -> &SnapshotMeta {
        &self.meta
    }

    /// Position of the next part, in bytes.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// The next part, at most `max_bytes`, from a view of the store as it is now,
    /// and whether it is the last.
    ///
    /// # Errors
    /// When the store can't be read.
    pub fn next_chunk(
        &mut self,
        reader: &dyn GroupReader,
        max_bytes: usize,
    ) -> Result<(Vec<u8>, bool), StorageError> {
        while self.buffer.len() - self.position <= max_bytes && !self.exhausted {
            self.read_on(reader)?;
        }
        let end = self.buffer.len().min(self.position + max_bytes);
        let chunk = self.buffer[self.position..end].to_vec();
        self.position = end;
        self.offset += chunk.len() as u64;
        let done = self.exhausted && self.position == self.buffer.len();
        Ok((chunk, done))
    }

    fn read_on(&mut self, reader: &dyn GroupReader) -> Result<(), StorageError> {
        let from = match &self.last_key {
            Some(key) => Bound::Excluded(key.as_slice()),
            None => Bound::Unbounded,
        };
        let entries = reader.scan(from, Bound::Unbounded, SCAN_ENTRIES)?;
        self.exhausted = entries.len() < SCAN_ENTRIES;
        self.buffer.drain(..self.position);
        self.position = 0;
        for (key, value) in &entries {
            push_bytes(&mut self.buffer, key);
            push_bytes(&mut self.buffer, value);
        }
        if let Some((key, _)) = entries.into_iter().next_back() {
            self.last_key = Some(key);
        }
        Ok(())
    }
}

fn push_bytes(buffer: &mut Vec<u8>, bytes: &[u8]) {
    buffer.extend_from_slice(&(bytes.len() as u64).to_le_bytes());
    buffer.extend_from_slice(bytes);
}

/// The parts of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodedSnapshot {
    /// The in-memory part of the state machine.
    pub memory: Vec<u8>,
    /// The state table in key order.
    pub table: Vec<StateEntry>,
}

/// Takes a received snapshot apart.
pub fn decode_snapshot(bytes: &[u8]) -> Result<DecodedSnapshot, StorageError> {
    try_decode(bytes).ok_or_else(|| {
        let cause = StorageCause::Corrupted("a part has the wrong length".to_string());
        StorageError::new("decoding", Path::new("(received snapshot)"), cause)
    })
}

fn try_decode(mut bytes: &[u8]) -> Option<DecodedSnapshot> {
    let memory = take_bytes(&mut bytes)?;
    let mut table = Vec::new();
    while !bytes.is_empty() {
        let key = take_bytes(&mut bytes)?;
        let value = take_bytes(&mut bytes)?;
        table.push((key, value));
    }
    Some(DecodedSnapshot { memory, table })
}

fn take_bytes(bytes: &mut &[u8]) -> Option<Vec<u8>> {
    let (length, rest) = bytes.split_at_checked(LENGTH_BYTES)?;
    let length = u64::from_le_bytes(length.try_into().ok()?);
    let (part, rest) = rest.split_at_checked(usize::try_from(length).ok()?)?;
    *bytes = rest;
    Some(part.to_vec())
}
