//! Counts the store space that jobs take and decides whether another job fits.
//!
//! A full disk terminates the process, and nothing would free space again. A job is therefore
//! rejected while there is still space for what was accepted: the calls of waiting items, the
//! texts that these will produce, and the texts that callers may still read. The count is
//! derived from what was written, so all replicas decide alike.

use serde::{Deserialize, Serialize};

/// Size of a page of the embedded database, bytes. A larger value takes a power of two of
/// pages.
const PAGE_BYTES: u64 = 4096;
/// Space that an entry takes in addition to its value, bytes: key, lengths and the path to its
/// page.
const ENTRY_BYTES: u64 = 64;
/// Mean fill of a page that holds several values, percent. A page that gets full is split in
/// half.
const SHARED_PAGE_FILL_PERCENT: u64 = 75;
/// Space that an item takes in addition to its call or text until its job is deleted, bytes.
/// Its record takes some 60 bytes in the state machine's memory, which each snapshot writes in
/// full; the disk also holds the previous snapshot and one that is not yet freed.
const RECORD_BYTES: u64 = 3 * 60;
/// Assumed size of a text while none has been stored, bytes. After that, the mean size of the
/// stored texts is used.
const DEFAULT_TEXT_BYTES: u64 = 8 << 10;

/// Space that jobs take in the store.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUsage {
    /// Bytes of the pages of all stored calls and texts, and of the records of items.
    stored_bytes: u64,
    /// Number of texts ever stored.
    texts: u64,
    /// Bytes of the pages of all texts ever stored.
    text_bytes: u64,
}

impl StoreUsage {
    /// Bytes of the pages of all stored calls and texts, and of the records of items.
    pub fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// Bytes that jobs will take once this number of waiting items have stored their texts.
    pub fn expected_bytes(&self, waiting_items: usize) -> u64 {
        self.stored_bytes + waiting_items as u64 * self.mean_text_bytes()
    }

    /// Returns whether a job with calls of these lengths fits into `limit` bytes, in addition
    /// to what is stored and expected.
    pub(super) fn fits(
        &self,
        waiting_items: usize,
        call_lengths: impl ExactSizeIterator<Item = usize>,
        limit: u64,
    ) -> bool {
        let items = waiting_items + call_lengths.len();
        let calls: u64 = call_lengths.map(page_bytes).sum();
        let records = (items - waiting_items) as u64 * RECORD_BYTES;
        self.expected_bytes(items) + calls + records <= limit
    }

    pub(super) fn add_records(&mut self, items: usize) {
        self.stored_bytes += items as u64 * RECORD_BYTES;
    }

    pub(super) fn remove_records(&mut self, items: usize) {
        let bytes = items as u64 * RECORD_BYTES;
        self.stored_bytes = self.stored_bytes.saturating_sub(bytes);
    }

    pub(super) fn add_call(&mut self, length: usize) {
        self.stored_bytes += page_bytes(length);
    }

    pub(super) fn add_text(&mut self, length: usize) {
        self.stored_bytes += page_bytes(length);
        self.text_bytes += page_bytes(length);
        self.texts += 1;
    }

    pub(super) fn remove_value(&mut self, length: usize) {
        self.stored_bytes = self.stored_bytes.saturating_sub(page_bytes(length));
    }

    fn mean_text_bytes(&self) -> u64 {
        match self.texts {
            0 => DEFAULT_TEXT_BYTES,
            texts => self.text_bytes / texts,
        }
    }
}

/// Returns the mean number of bytes of pages that a value of this length takes.
fn page_bytes(length: usize) -> u64 {
    let bytes = length as u64 + ENTRY_BYTES;
    if bytes <= PAGE_BYTES / 2 {
        return bytes * 100 / SHARED_PAGE_FILL_PERCENT;
    }
    bytes.div_ceil(PAGE_BYTES).next_power_of_two() * PAGE_BYTES
}
