//! Decides in which rounds a worker is polled for its load report.
//!
//! Performs no I/O. A worker that this node uses is polled in every round,
//! since routing and batch work need its current load. An unused worker whose
//! report stays the same is polled less often: nothing here depends on its
//! load until it is used, and it is polled in the first round after that.

/// Maximum number of rounds skipped between two polls of an unused worker whose
/// report does not change. At two rounds per second, the node still notices
/// within two seconds that such a worker is leaving.
pub const MAX_SKIPPED_ROUNDS: u32 = 3;

/// Poll schedule of one worker.
#[derive(Debug, Default)]
pub struct PollPace {
    /// Number of rounds to skip after the last report.
    skip_limit: u32,
    /// Number of rounds skipped since the last poll.
    skipped: u32,
}

impl PollPace {
    /// Returns whether to poll the worker in this round, and counts the round
    /// as skipped if not. A worker in use is always polled.
    pub fn is_due(&mut self, in_use: bool) -> bool {
        if in_use || self.skipped >= self.skip_limit {
            self.skipped = 0;
            return true;
        }
        self.skipped += 1;
        false
    }

    /// Adapts the schedule to a report: one that differs from the previous
    /// report resets it to every round, an equal one lengthens the interval.
    pub fn record_report(&mut self, has_changes: bool) {
        self.skip_limit = if has_changes {
            0
        } else {
            (self.skip_limit * 2 + 1).min(MAX_SKIPPED_ROUNDS)
        };
    }

    /// Records a failed poll. The worker is polled in every round until it
    /// reports again.
    pub fn record_failure(&mut self) {
        self.skip_limit = 0;
    }
}
