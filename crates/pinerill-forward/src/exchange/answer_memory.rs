//! Memory that responses which are read whole may take together.
//!
//! Short responses are never refused. Beyond that, a response takes its bytes from a budget that all
//! share, so that many responses without end cannot take the memory of the node.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that all responses together may hold beyond [`FREE_BYTES`] each.
const SHARED_BYTES: usize = 24 << 20;
/// Bytes that each response may hold without taking any from the budget.
const FREE_BYTES: usize = 64 << 10;

/// The budget, shared by all responses of a node.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    used: AtomicUsize,
}

/// The part of the budget that one response holds; returned when dropped.
#[derive(Debug)]
pub struct HeldMemory<'a> {
    budget: &'a AnswerMemory,
    held: usize,
}

impl AnswerMemory {
    /// Returns the memory of a response of which nothing has arrived.
    pub fn begin(&self) -> HeldMemory<'_> {
        HeldMemory {
            budget: self,
            held: 0,
        }
    }
}

impl HeldMemory<'_> {
    /// Takes as much as a response of this length needs; returns whether the budget had it.
    pub fn grow_to(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(FREE_BYTES).max(self.held);
        let more = needed - self.held;
        let used = &self.budget.used;
        let take = |used: usize| Some(used + more).filter(|used| *used <= SHARED_BYTES);
        let is_taken = more == 0
            || used
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok();
        if is_taken {
            self.held = needed;
        }
        is_taken
    }
}

impl Drop for HeldMemory<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}
