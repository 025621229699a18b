//! Encoding of log entries in the database.
//!
//! An entry is its term (8 bytes, little endian), its kind (1 byte) and the
//! payload; the index is the key. Commands are stored as they are, without a
//! pass through serde, since they are the bulk of all writes.

use pinerill_replica::{Entry, EntryKind};

const TERM_BYTES: usize = 8;
const HEADER_BYTES: usize = TERM_BYTES + 1;
const KIND_EMPTY: u8 = 0;
const KIND_COMMAND: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;

pub(crate) fn encode_entry(entry: &Entry) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + entry.size());
    bytes.extend_from_slice(&entry.term.to_le_bytes());
    match &entry.kind {
        EntryKind::Empty => bytes.push(KIND_EMPTY),
        EntryKind::Command(payload) => {
            bytes.push(KIND_COMMAND);
            bytes.extend_from_slice(payload);
        }
        EntryKind::Membership(membership) => {
            bytes.push(KIND_MEMBERSHIP);
            let encoded = postcard::to_stdvec(membership);
            bytes.extend(encoded.map_err(|error| error.to_string())?);
        }
    }
    Ok(bytes)
}

pub(crate) fn decode_entry(index: u64, bytes: &[u8]) -> Result<Entry, String> {
    let truncated = || format!("log entry {index} is truncated");
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or_else(truncated)?;
    let mut term = [0; TERM_BYTES];
    term.copy_from_slice(&header[..TERM_BYTES]);
    let kind = match header[TERM_BYTES] {
        KIND_EMPTY => EntryKind::Empty,
        KIND_COMMAND => EntryKind::Command(payload.into()),
        KIND_MEMBERSHIP => {
            let decoded = postcard::from_bytes(payload);
            EntryKind::Membership(decoded.map_err(|error| error.to_string())?)
        }
        unknown => return Err(format!("log entry {index} has unknown kind {unknown}")),
    };
    Ok(Entry {
        index,
        term: u64::from_le_bytes(term),
        kind,
    })
}
