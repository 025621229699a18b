//! Calls and texts in the state table, each in pieces of a few to a page.
//!
//! The embedded database gives a value that is larger than a page a power of two of
//! pages. Texts of 4 to 11 KB (mean 7.3) took 1.53 times their length whole, and 1.13
//! times in pieces of 1,000 bytes, four of which fill a page; pieces of 800 took 1.25,
//! of 1,335 1.15, of 2,016 1.20 (3,000 values in a store on disk).

use pinerill_control::host::TableWriter;

/// Bytes of a piece.
const PIECE_BYTES: usize = 1_000;
/// Bytes on the disk for a hundred bytes of a value, keys and holes included.
const DISK_PERCENT: u64 = 115;
/// Bytes on the disk that the end of a value wastes in the mean, and its first key.
const END_BYTES: u64 = 64;

/// First byte of keys of items' calls.
const CALLS: u8 = b'c';
/// First byte of keys of results' texts.
const TEXTS: u8 = b't';

/// Where a value lies and how long it is. What is in memory knows the length, so
/// that a value is found and removed without a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredValue {
    kind: u8,
    job: u64,
    place: u32,
    length: usize,
}

impl StoredValue {
    /// The call of an item.
    pub fn call(job: u64, index: u32, length: u32) -> Self {
        Self::of(CALLS, job, index, length)
    }

    /// The text at a position of a job's results.
    pub fn text(job: u64, position: u32, length: u32) -> Self {
        Self::of(TEXTS, job, position, length)
    }

    fn of(kind: u8, job: u64, place: u32, length: u32) -> Self {
        StoredValue {
            kind,
            job,
            place,
            length: length as usize,
        }
    }

    /// Bytes on the disk in the mean.
    pub fn disk_bytes(&self) -> u64 {
        self.length as u64 * DISK_PERCENT / 100 + END_BYTES
    }

    /// Keys of its pieces, in order; an empty value has one.
    pub fn keys(&self) -> impl Iterator<Item = Vec<u8>> + '_ {
        let pieces = self.length.div_ceil(PIECE_BYTES).max(1) as u32;
        (0..pieces).map(|piece| self.key(piece))
    }

    /// Reads it by what `get` finds for a key; none if a piece is not there.
    ///
    /// # Errors
    /// What `get` fails with.
    pub fn read<E>(
        &self,
        mut get: impl FnMut(&[u8]) -> Result<Option<Vec<u8>>, E>,
    ) -> Result<Option<Vec<u8>>, E> {
        let mut value = Vec::with_capacity(self.length);
        for key in self.keys() {
            match get(&key)? {
                Some(piece) => value.extend_from_slice(&piece),
                None => return Ok(None),
            }
        }
        Ok(Some(value))
    }

    pub(super) fn put(&self, value: &[u8], table: &mut dyn TableWriter) {
        let mut rest = value;
        for key in self.keys() {
            let (piece, after) = rest.split_at(rest.len().min(PIECE_BYTES));
            table.put(&key, piece);
            rest = after;
        }
    }

    pub(super) fn delete(&self, table: &mut dyn TableWriter) {
        for key in self.keys() {
            table.delete(&key);
        }
    }

    fn key(&self, piece: u32) -> Vec<u8> {
        let mut key = vec![self.kind];
        key.extend_from_slice(&self.job.to_be_bytes());
        key.extend_from_slice(&self.place.to_be_bytes());
        key.extend_from_slice(&piece.to_be_bytes());
        key
    }
}
