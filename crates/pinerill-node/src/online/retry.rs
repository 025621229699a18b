//! Whether a request that did not come through is tried again. Pure.

use pinerill_types::outcome::Outcome;

use pinerill_quota::bucket::TokenBucket;

/// Retries that may be saved up per service.
const RETRY_RESERVE: f64 = 20.0;
/// Most attempts of one request.
const ATTEMPTS_LIMIT: u32 = 5;
const ALL_PERCENT: f64 = 100.0;

/// How an attempt at one back end ended without the whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It certainly did not run there and never will.
    NotRun,
    /// It may have run there.
    MaybeRun,
}

/// What the decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// Marked as never to be repeated.
    pub at_most_once: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// An earlier attempt may have run.
    pub maybe_run_before: bool,
    /// The answer can go on elsewhere from what was delivered.
    pub can_continue: bool,
    /// The deadline has passed.
    pub expired: bool,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try elsewhere.
    Retry,
    /// The final answer, with this outcome.
    GiveUp(Outcome),
}

/// Retries of one service as a share of its fresh requests, so that retries
/// can't multiply an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bucket: TokenBucket,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            bucket: TokenBucket::with_tokens(0, RETRY_RESERVE),
        }
    }
}

impl RetryBudget {
    /// A fresh request adds its share.
    pub fn fresh(&mut self, percent: u32) {
        let share = f64::from(percent) / ALL_PERCENT;
        self.bucket.add(share, RETRY_RESERVE);
    }

    /// Takes one retry, if there is one; none at a share of 0.
    pub fn take(&mut self, percent: u32) -> bool {
        percent > 0 && self.bucket.take_one()
    }
}

/// Decides after an attempt that ended without the whole answer. The budget
/// is asked only when a retry is allowed otherwise.
pub fn decide(
    end: &AttemptEnd,
    situation: Situation,
    take_budget: impl FnOnce() -> bool,
) -> Decision {
    let maybe_run = situation.maybe_run_before || *end == AttemptEnd::MaybeRun;
    let outcome = if maybe_run {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    let repeatable = !(maybe_run && situation.at_most_once);
    let allowed = repeatable
        && situation.can_continue
        && !situation.expired
        && situation.attempts < ATTEMPTS_LIMIT;
    if allowed && take_budget() {
        return Decision::Retry;
    }
    Decision::GiveUp(outcome)
}
