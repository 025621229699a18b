//! How often a worker is asked for its load report. Pure.
//!
//! A worker that this node uses is asked in every round: routing and batch
//! need its load while it changes. One that is not in use and reports the same
//! again and again is asked less often, since nothing here depends on it until
//! it is used, and then the next round asks.

/// Rounds that may be left out at most between two reports of a quiet worker.
/// At two rounds a second its leaving is still noticed within two seconds.
pub const ROUNDS_LEFT_OUT_LIMIT: u32 = 3;

/// The pace for one worker.
#[derive(Debug, Default)]
pub struct PollPace {
    /// Rounds to leave out after the last report.
    allowed: u32,
    /// Rounds left out since then.
    left_out: u32,
}

impl PollPace {
    /// Whether to ask in this round.
    pub fn is_due(&mut self, in_use: bool) -> bool {
        if in_use || self.left_out >= self.allowed {
            self.left_out = 0;
            return true;
        }
        self.left_out += 1;
        false
    }

    /// A report came, and whether it told anything new.
    pub fn reported(&mut self, has_news: bool) {
        self.allowed = if has_news {
            0
        } else {
            (self.allowed * 2 + 1).min(ROUNDS_LEFT_OUT_LIMIT)
        };
    }

    /// No report came: the worker is watched closely until one does.
    pub fn failed(&mut self) {
        self.allowed = 0;
    }
}
