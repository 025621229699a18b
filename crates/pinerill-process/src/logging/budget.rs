//! Rate limit for log lines, kept separately for each kind of line.

use std::collections::HashMap;

/// Sustained rate of one kind, in lines per second.
const LINES_PER_SECOND: u64 = 10;
/// Largest burst of one kind, in lines.
const BURST: u64 = 40;
/// Factor by which rate and burst are higher for warnings and errors.
const SERIOUS_FACTOR: u64 = 5;
const MS_PER_SECOND: u64 = 1_000;

/// Decision on one line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The line is written.
    Write {
        /// Number of lines of this kind suppressed since the last one that was written.
        left_out: u64,
    },
    /// The line is suppressed and counted.
    LeaveOut,
}

/// Token buckets of all kinds of lines. Kinds are names that occur in the source code, so
/// their number is small and no entry is ever removed.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: HashMap<String, KindBudget>,
}

/// Token bucket of one kind of line.
#[derive(Debug)]
struct KindBudget {
    /// Lines that may still be written now, in thousandths of a line.
    remaining: u64,
    refilled_ms: u64,
    left_out: u64,
}

impl LineBudget {
    /// Decides whether a line of `kind` is written. `serious` selects the higher limit for
    /// warnings and errors; `now_ms` is the time of any monotonic clock, in milliseconds.
    pub fn admit(&mut self, kind: &str, serious: bool, now_ms: u64) -> Admission {
        let factor = if serious { SERIOUS_FACTOR } else { 1 };
        let full = BURST * factor * MS_PER_SECOND;
        if !self.kinds.contains_key(kind) {
            let new = KindBudget {
                remaining: full,
                refilled_ms: now_ms,
                left_out: 0,
            };
            self.kinds.insert(kind.to_owned(), new);
        }
        let Some(budget) = self.kinds.get_mut(kind) else {
            return Admission::LeaveOut;
        };
        let passed = now_ms.saturating_sub(budget.refilled_ms);
        budget.refilled_ms = now_ms;
        budget.remaining = full.min(budget.remaining + passed * LINES_PER_SECOND * factor);
        if budget.remaining < MS_PER_SECOND {
            budget.left_out += 1;
            return Admission::LeaveOut;
        }
        budget.remaining -= MS_PER_SECOND;
        let left_out = std::mem::take(&mut budget.left_out);
        Admission::Write { left_out }
    }
}
