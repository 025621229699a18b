//! What is kept in memory of one item.

use pinerill_types::job::{AttemptEnd, ItemInput, ItemState};
use pinerill_types::Digest;
use serde::{Deserialize, Serialize};

/// Mark of a pending item whose newest attempt was given back.
const MARK_RELEASED: u32 = 1;
/// Mark of a pending item whose newest attempt was reported as of unknown
/// outcome.
const MARK_UNKNOWN: u32 = 2;
/// Mark of an item to which no report led.
const MARK_NONE: u32 = 0;

/// One item: 12 bytes, whatever its input and result are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ItemCell {
    /// Newest attempt; 0 before the first.
    pub(super) attempt: u32,
    /// What the report was that led to the state: a fingerprint when ended,
    /// `MARK_RELEASED` or `MARK_UNKNOWN` when pending again, `MARK_NONE`
    /// without one.
    mark: u32,
    /// Attempts that ended without anybody knowing how.
    pub(super) lapses: u8,
    /// Its state.
    pub(super) state: ItemState,
    /// Never to be run twice.
    pub(super) at_most_once: bool,
}

impl ItemCell {
    /// A new item.
    pub(super) fn new(at_most_once: bool) -> Self {
        Self {
            attempt: 0,
            mark: MARK_NONE,
            lapses: 0,
            state: ItemState::Pending,
            at_most_once,
        }
    }

    /// Starts the next attempt and returns its number.
    pub(super) fn start_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.mark = MARK_NONE;
        self.state = ItemState::Leased;
        self.attempt
    }

    /// Makes it wait again because its attempt was given back.
    pub(super) fn release(&mut self) {
        self.mark = MARK_RELEASED;
        self.state = ItemState::Pending;
    }

    /// Makes it wait again because its attempt's end is not known.
    pub(super) fn lapse(&mut self, reported: bool) {
        self.mark = if reported { MARK_UNKNOWN } else { MARK_NONE };
        self.state = ItemState::Pending;
    }

    /// Ends it; `report` is what led to it, if one did.
    pub(super) fn end(&mut self, state: ItemState, report: Option<&AttemptEnd>) {
        self.mark = report.map_or(MARK_NONE, fingerprint);
        self.state = state;
    }

    /// Whether `end` of the newest attempt is the report that led here.
    pub(super) fn came_from(&self, end: &AttemptEnd) -> bool {
        match (self.state, end) {
            (ItemState::Pending, AttemptEnd::Released) => self.mark == MARK_RELEASED,
            (ItemState::Pending, AttemptEnd::Indeterminate(_)) => self.mark == MARK_UNKNOWN,
            (state, end) => state.is_final() && self.mark == fingerprint(end),
        }
    }

    /// Whether its newest attempt may still report a first end.
    pub(super) fn awaits_report(&self) -> bool {
        match self.state {
            ItemState::Leased => true,
            // The lease lapsed and nobody took a newer attempt.
            ItemState::Pending => self.attempt > 0 && self.mark == MARK_NONE,
            _ => false,
        }
    }
}

/// The answer or reason of a report.
pub(super) fn end_text(end: &AttemptEnd) -> &str {
    match end {
        AttemptEnd::Completed(text) | AttemptEnd::Failed(text) => text,
        AttemptEnd::Indeterminate(text) => text,
        AttemptEnd::Released => "",
    }
}

/// Approximate size of an item's input, bytes.
pub(super) fn input_bytes(input: &ItemInput) -> usize {
    const FIXED: usize = 16;
    FIXED + input.custom_id.len() + input.url.len() + input.body.len()
}

/// Tells a repeated report from another one; never `MARK_NONE`.
fn fingerprint(end: &AttemptEnd) -> u32 {
    let kind = match end {
        AttemptEnd::Completed(_) => b'c',
        AttemptEnd::Failed(_) => b'f',
        AttemptEnd::Released => b'r',
        AttemptEnd::Indeterminate(_) => b'i',
    };
    let digest = Digest::of(&[&[kind], end_text(end).as_bytes()].concat());
    let [first, second, third, fourth, ..] = digest.0;
    u32::from_le_bytes([first, second, third, fourth]).max(1)
}
