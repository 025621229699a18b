//! How much of a store jobs take, and whether one more fits.
//!
//! A disk that gets full ends the process, and nothing frees it again, so a job is
//! refused while there is room left for what was accepted: the calls that wait, the
//! texts that they will become, and the texts that callers may still read. It is
//! counted from what was written, so that all replicas decide alike.

use serde::{Deserialize, Serialize};

use super::stored::StoredValue;

/// Bytes that an item takes beside its call or text until its job is forgotten: some
/// 60 in the state machine's memory, which each snapshot writes anew; the one before
/// and one that is not free yet are on the disk with it.
const RECORD_BYTES: u64 = 3 * 60;
/// Bytes of a text on the disk as long as none is known. Replaced by the mean of the
/// texts.
const FIRST_TEXT_BYTES: u64 = 8 << 10;

/// What jobs take in the store.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomCount {
    /// Bytes of all calls, texts and records.
    stored_bytes: u64,
    /// Texts that were ever stored.
    texts: u64,
    /// Bytes of these.
    text_bytes: u64,
}

impl RoomCount {
    /// Bytes on the disk of all calls, texts and records.
    pub fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// Bytes on the disk once so many items that wait have become texts.
    pub fn expected_bytes(&self, waiting_items: usize) -> u64 {
        self.stored_bytes + waiting_items as u64 * self.mean_text_bytes()
    }

    /// Whether new items with these calls fit into `limit` bytes beside what is stored
    /// and expected.
    pub(super) fn fits(
        &self,
        waiting_items: usize,
        calls: impl ExactSizeIterator<Item = StoredValue>,
        limit: u64,
    ) -> bool {
        let items = calls.len();
        let bytes: u64 = calls.map(|call| call.disk_bytes() + RECORD_BYTES).sum();
        self.expected_bytes(waiting_items + items) + bytes <= limit
    }

    pub(super) fn items_recorded(&mut self, items: usize) {
        self.stored_bytes += items as u64 * RECORD_BYTES;
    }

    pub(super) fn items_forgotten(&mut self, items: usize) {
        let bytes = items as u64 * RECORD_BYTES;
        self.stored_bytes = self.stored_bytes.saturating_sub(bytes);
    }

    pub(super) fn call_stored(&mut self, call: &StoredValue) {
        self.stored_bytes += call.disk_bytes();
    }

    pub(super) fn text_stored(&mut self, text: &StoredValue) {
        self.stored_bytes += text.disk_bytes();
        self.text_bytes += text.disk_bytes();
        self.texts += 1;
    }

    pub(super) fn removed(&mut self, value: &StoredValue) {
        self.stored_bytes = self.stored_bytes.saturating_sub(value.disk_bytes());
    }

    fn mean_text_bytes(&self) -> u64 {
        match self.texts {
            0 => FIRST_TEXT_BYTES,
            texts => self.text_bytes / texts,
        }
    }
}
