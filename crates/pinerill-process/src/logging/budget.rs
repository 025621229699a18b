//! How many lines of a kind are written.

use std::collections::HashMap;

/// Lines of a kind that a second may have in the mean.
const LINES_PER_SECOND: u64 = 10;
/// Lines of a kind that may come together.
const BURST: u64 = 40;
/// How much more there may be of warnings and errors.
const SERIOUS_FACTOR: u64 = 5;
const MS_PER_SECOND: u64 = 1_000;

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is; so many of its kind were left out before.
    Write {
        /// Lines left out since the last one that was written.
        left_out: u64,
    },
    /// It is left out and counted.
    LeaveOut,
}

/// Budgets of all kinds. Kinds are names in the code, so there are few.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: HashMap<String, Kind>,
}

#[derive(Debug)]
struct Kind {
    /// What is left, in thousandths of a line.
    left: u64,
    refilled_ms: u64,
    left_out: u64,
}

impl LineBudget {
    /// Takes a line of a kind, at a time of any steady clock in milliseconds.
    pub fn admit(&mut self, kind: &str, serious: bool, now_ms: u64) -> Admission {
        let factor = if serious { SERIOUS_FACTOR } else { 1 };
        let full = BURST * factor * MS_PER_SECOND;
        if !self.kinds.contains_key(kind) {
            let new = Kind {
                left: full,
                refilled_ms: now_ms,
                left_out: 0,
            };
            self.kinds.insert(kind.to_owned(), new);
        }
        let Some(held) = self.kinds.get_mut(kind) else {
            return Admission::LeaveOut;
        };
        let passed = now_ms.saturating_sub(held.refilled_ms);
        held.refilled_ms = now_ms;
        held.left = full.min(held.left + passed * LINES_PER_SECOND * factor);
        if held.left < MS_PER_SECOND {
            held.left_out += 1;
            return Admission::LeaveOut;
        }
        held.left -= MS_PER_SECOND;
        let left_out = std::mem::take(&mut held.left_out);
        Admission::Write { left_out }
    }
}
