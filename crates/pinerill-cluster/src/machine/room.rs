//! How much of a store jobs take, and whether one more fits.
//!
//! A disk that gets full ends the process, and nothing frees it again, so a job is
//! refused while there is room left for what was accepted: the calls that wait, the
//! texts that they will become, and the texts that callers may still read. It is
//! counted from what was written, so that all replicas decide alike.

use serde::{Deserialize, Serialize};

/// Bytes of a page of the embedded database; a larger value takes a power of two of
/// them.
const PAGE_BYTES: u64 = 4096;
/// Bytes that an entry takes beside its value: key, lengths, the way to its page.
const ENTRY_BYTES: u64 = 64;
/// How full pages are that several values share, percent: a page that gets full is
/// split in halves.
const SHARED_PAGE_FILL_PERCENT: u64 = 75;
/// Bytes that an item takes beside its call or text until its job is forgotten: some
/// 60 in the state machine's memory, which each snapshot writes anew; the one before
/// and one that is not free yet are on the disk with it.
const RECORD_BYTES: u64 = 3 * 60;
/// Bytes of a text as long as none is known. Replaced by the mean of the texts.
const FIRST_TEXT_BYTES: u64 = 8 << 10;

/// What jobs take in the store.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUsage {
    /// Bytes of pages of all calls and texts, and of records.
    stored_bytes: u64,
    /// Texts that were ever stored.
    texts: u64,
    /// Bytes of their pages.
    text_bytes: u64,
}

impl StoreUsage {
    /// Bytes of pages of all calls, texts and records.
    pub fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// Bytes that jobs take once so many items that wait have become texts.
    pub fn expected_bytes(&self, waiting_items: usize) -> u64 {
        self.stored_bytes + waiting_items as u64 * self.mean_text_bytes()
    }

    /// Whether calls of these lengths fit into `limit` bytes beside what is stored
    /// and expected.
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

    pub(super) fn items_recorded(&mut self, items: usize) {
        self.stored_bytes += items as u64 * RECORD_BYTES;
    }

    pub(super) fn items_forgotten(&mut self, items: usize) {
        let bytes = items as u64 * RECORD_BYTES;
        self.stored_bytes = self.stored_bytes.saturating_sub(bytes);
    }

    pub(super) fn call_stored(&mut self, length: usize) {
        self.stored_bytes += page_bytes(length);
    }

    pub(super) fn text_stored(&mut self, length: usize) {
        self.stored_bytes += page_bytes(length);
        self.text_bytes += page_bytes(length);
        self.texts += 1;
    }

    pub(super) fn removed(&mut self, length: usize) {
        self.stored_bytes = self.stored_bytes.saturating_sub(page_bytes(length));
    }

    fn mean_text_bytes(&self) -> u64 {
        match self.texts {
            0 => FIRST_TEXT_BYTES,
            texts => self.text_bytes / texts,
        }
    }
}

/// Bytes of pages that a value takes in the mean.
fn page_bytes(length: usize) -> u64 {
    let bytes = length as u64 + ENTRY_BYTES;
    if bytes <= PAGE_BYTES / 2 {
        return bytes * 100 / SHARED_PAGE_FILL_PERCENT;
    }
    bytes.div_ceil(PAGE_BYTES).next_power_of_two() * PAGE_BYTES
}
