//! Record of the items that were given up most recently, with the reason of each.
//!
//! The leader logs it. It is neither replicated nor stored, and no decision depends on it.

use std::collections::VecDeque;
use std::fmt;

use pinerill_calls::job::CallJobId;

/// Maximum number of items that are remembered.
const MAX_REMEMBERED: usize = 256;

/// Reason why an item was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GiveUpReason {
    /// A report: as many runs failed as the job allows.
    FailedRuns {
        /// Numbers of the failed runs.
        runs: Vec<u64>,
        /// Number of failed runs that the job allows.
        attempts: u32,
    },
    /// A report: a worker answered that no worker can ever process the item.
    Impossible,
    /// Upkeep: the item's time limit passed.
    TooOld {
        /// Time of the job's acceptance on the group's clock, milliseconds.
        accepted_ms: u64,
        /// Time limit on the group's clock, milliseconds.
        give_up_at_ms: u64,
        /// Time on the group's clock, milliseconds.
        clock_ms: u64,
    },
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GiveUpReason::FailedRuns { runs, attempts } => write!(
                formatter,
                "report: {} failed runs of {attempts}: {runs:?}",
                runs.len()
            ),
            GiveUpReason::Impossible => formatter.write_str("report: impossible"),
            GiveUpReason::TooOld {
                accepted_ms,
                give_up_at_ms,
                clock_ms,
            } => write!(
                formatter,
                "upkeep: accepted at {accepted_ms} ms, limit {give_up_at_ms} ms, now {clock_ms} ms"
            ),
        }
    }
}

/// An item that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GivenUpItem {
    /// Job that contains the item.
    pub job: CallJobId,
    /// Name that the caller gave the item.
    pub id: String,
    /// Reason why it was given up.
    pub reason: GiveUpReason,
}

/// The items given up since this process started or restored a snapshot, the latest ones with
/// their reasons.
#[derive(Debug, Default)]
pub struct GivenUpItems {
    recent: VecDeque<GivenUpItem>,
    total: u64,
}

impl GivenUpItems {
    /// Number of items given up so far, those that are no longer remembered included.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the remembered items after the first `seen` ones, in the order in which they were
    /// given up.
    pub fn after(&self, seen: u64) -> impl Iterator<Item = &GivenUpItem> {
        let forgotten = self.total - self.recent.len() as u64;
        let skipped = seen.saturating_sub(forgotten) as usize;
        self.recent.iter().skip(skipped)
    }

    pub(super) fn record(&mut self, item: GivenUpItem) {
        if self.recent.len() == MAX_REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(item);
        self.total += 1;
    }
}
