//! Decides whether a failed request is retried. This module performs no I/O and
//! reads no clock.

use pinerill_types::outcome::Outcome;

use pinerill_quota::bucket::TokenBucket;

/// Capacity of a service's retry budget, in retries. A new budget is full.
const RETRY_BUDGET_CAPACITY: f64 = 20.0;
/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 5;
const HUNDRED_PERCENT: f64 = 100.0;

/// Whether a failed attempt may have run at its back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request did not run at the back end and will not run there later.
    NotRun,
    /// The request may have run at the back end, in part or completely.
    MayHaveRun,
}

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether the request must not be repeated once it may have run.
    pub at_most_once: bool,
    /// Number of attempts so far, including the one that just failed.
    pub attempts: u32,
    /// Whether an attempt before the one that just failed may have run.
    pub earlier_may_have_run: bool,
    /// Whether another back end can continue the answer after the text already
    /// delivered.
    pub can_continue: bool,
    /// Whether the deadline has passed.
    pub expired: bool,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry at another back end.
    Retry,
    /// Report the failure to the caller with this outcome.
    GiveUp(Outcome),
}

/// Limits the retries of one service to a percentage of its new requests, so
/// that retries do not amplify the load during an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bucket: TokenBucket,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            bucket: TokenBucket::with_tokens(0, RETRY_BUDGET_CAPACITY),
        }
    }
}

impl RetryBudget {
    /// Adds the share of one new request, `percent` hundredths of a retry, up
    /// to the capacity.
    pub fn add_request(&mut self, percent: u32) {
        let share = f64::from(percent) / HUNDRED_PERCENT;
        self.bucket.add(share, RETRY_BUDGET_CAPACITY);
    }

    /// Takes one retry from the budget and returns whether that was possible.
    /// Always returns false if `percent` is 0.
    pub fn try_take(&mut self, percent: u32) -> bool {
        percent > 0 && self.bucket.take_one()
    }
}

/// Decides what follows an attempt that ended without a complete answer.
/// `take_budget` is called only if all other conditions allow a retry, so a
/// retry that is not allowed does not consume budget.
pub fn decide(
    end: &AttemptEnd,
    retry_context: RetryContext,
    take_budget: impl FnOnce() -> bool,
) -> Decision {
    let may_have_run = retry_context.earlier_may_have_run || *end == AttemptEnd::MayHaveRun;
    let outcome = if may_have_run {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    let repeatable = !(may_have_run && retry_context.at_most_once);
    let allowed = repeatable
        && retry_context.can_continue
        && !retry_context.expired
        && retry_context.attempts < MAX_ATTEMPTS;
    if allowed && take_budget() {
        return Decision::Retry;
    }
    Decision::GiveUp(outcome)
}
