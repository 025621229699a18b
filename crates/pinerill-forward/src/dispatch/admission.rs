//! Admission control for calls that find no free slot: pure functions that decide whether a call is
//! queued or rejected.
//!
//! A call is queued while it can be expected to be served within its deadline: for its caller a
//! late answer is better than a rejection, because a retry would be later still. A call that cannot
//! be served in time is rejected at once, since queueing it would only use up the time in which its
//! caller could ask elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

use crate::call::decision::DEFAULT_RETRY_AFTER;

/// Number of recent starts that are kept to estimate the start rate.
const MAX_RECORDED_STARTS: usize = 12;
/// Minimum number of starts in the window for an estimate; with fewer the rate is unknown.
const MIN_STARTS: usize = 4;
/// Length of the window from which the start rate is estimated, in milliseconds; older starts are
/// ignored.
const START_WINDOW_MS: u64 = 2_000;
/// Bounds of the retry delay as fractions of the expected wait. Callers that are rejected together
/// thus retry at different times, spread over the time in which the queue is served.
const RETRY_SHARE_RANGE: (f64, f64) = (0.5, 1.0);

/// Estimates how often a queued call is given a slot at this node.
#[derive(Debug, Default)]
pub struct StartRate {
    starts_ms: VecDeque<u64>,
}

impl StartRate {
    /// Records that a queued call was given a slot at `now_ms`.
    pub fn record_start(&mut self, now_ms: u64) {
        self.starts_ms.push_back(now_ms);
        if self.starts_ms.len() > MAX_RECORDED_STARTS {
            self.starts_ms.pop_front();
        }
    }

    /// Returns the mean time between two starts in milliseconds, or `None` if there were too few
    /// starts in the window.
    pub fn interval_ms(&self, now_ms: u64) -> Option<f64> {
        let window_start = now_ms.saturating_sub(START_WINDOW_MS);
        let recent = self.starts_ms.iter().filter(|at| **at >= window_start);
        let (count, first) = recent.fold((0_usize, None), |(count, first), at| {
            (count + 1, first.or(Some(*at)))
        });
        if count < MIN_STARTS {
            return None;
        }
        let span_ms = now_ms.saturating_sub(first?);
        Some(span_ms as f64 / count as f64)
    }
}

/// Input of the admission decision for one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Number of queued calls that are served before this one.
    pub ahead: usize,
    /// Mean time between two starts in milliseconds; `None` if it is unknown.
    pub interval_ms: Option<f64>,
    /// Longest wait for a slot after which the call can still be answered in time.
    pub max_wait: Duration,
}

/// Result of the admission decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The call is queued.
    Wait,
    /// The call is rejected at once.
    Reject {
        /// Estimated time until the call would be given a slot.
        expected: Duration,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Decides whether a call is queued or rejected. A call is queued if the start rate is unknown.
/// `draw` is a random number between 0 and 1 that spreads the retries of rejected calls.
pub fn admit(request: &AdmissionRequest, draw: f64) -> Admission {
    let Some(interval_ms) = request.interval_ms else {
        return Admission::Wait;
    };
    let expected = expected_wait(interval_ms, request.ahead);
    if expected <= request.max_wait {
        return Admission::Wait;
    }
    Admission::Reject {
        expected,
        retry_after: retry_after(expected, draw),
    }
}

/// Returns the expected time until a call is given a slot if `ahead` others are served before it, one
/// each `interval_ms` milliseconds.
pub fn expected_wait(interval_ms: f64, ahead: usize) -> Duration {
    Duration::from_secs_f64(interval_ms * (ahead + 1) as f64 / 1_000.0)
}

/// Returns the delay after which a call with this expected wait should be retried: a fraction of
/// the wait given by `draw` (between 0 and 1), and at least `RETRY_AFTER`.
pub fn retry_after(expected: Duration, draw: f64) -> Duration {
    let (shortest, longest) = RETRY_SHARE_RANGE;
    let share = shortest + (longest - shortest) * draw;
    expected.mul_f64(share).max(DEFAULT_RETRY_AFTER)
}
