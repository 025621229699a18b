//! Whether a call that must wait is kept or told to come back. Pure.
//!
//! A call is kept while it can be expected to be served within its deadline: a
//! late answer is worth more to its caller than a refusal, after which it would be
//! later still. One that can't be is refused at once: holding it would only take
//! the time in which its caller can ask elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

use crate::call::decision::DEFAULT_RETRY_AFTER;

/// Starts from which the pace is read.
const REMEMBERED_STARTS: usize = 12;
/// With fewer starts the pace is not known.
const LEAST_STARTS: usize = 4;
/// Starts older than this say nothing of the pace, milliseconds.
const PACE_AGE_MS: u64 = 2_000;
/// Bounds of the time to come back, as parts of the wait that was expected: those
/// that are refused together come back spread over the time in which the line
/// is served.
const RETRY_PARTS: (f64, f64) = (0.5, 1.0);

/// How fast waiting calls get places here.
#[derive(Debug, Default)]
pub struct Pace {
    starts_ms: VecDeque<u64>,
}

impl Pace {
    /// A call that had waited got its place.
    pub fn started(&mut self, now_ms: u64) {
        self.starts_ms.push_back(now_ms);
        if self.starts_ms.len() > REMEMBERED_STARTS {
            self.starts_ms.pop_front();
        }
    }

    /// Time from one start to the next, milliseconds; none if too little was
    /// seen lately.
    pub fn interval_ms(&self, now_ms: u64) -> Option<f64> {
        let oldest_counted = now_ms.saturating_sub(PACE_AGE_MS);
        let recent = self.starts_ms.iter().filter(|at| **at >= oldest_counted);
        let (count, first) = recent.fold((0_usize, None), |(count, first), at| {
            (count + 1, first.or(Some(*at)))
        });
        if count < LEAST_STARTS {
            return None;
        }
        let span_ms = now_ms.saturating_sub(first?);
        Some(span_ms as f64 / count as f64)
    }
}

/// What is known of a call that must wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Applicant {
    /// Calls that go before it.
    pub ahead: usize,
    /// Time from one start to the next, milliseconds; none if not known.
    pub interval_ms: Option<f64>,
    /// Time within which it must have a place to be answered in time.
    pub patience: Duration,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It waits.
    Wait,
    /// It is refused at once.
    SendAway {
        /// Wait that was expected.
        expected: Duration,
        /// When it shall come back.
        retry_after: Duration,
    },
}

/// Decides. `draw` lies between 0 and 1 and spreads those that come back.
pub fn admit(applicant: &Applicant, draw: f64) -> Admission {
    let Some(interval_ms) = applicant.interval_ms else {
        return Admission::Wait;
    };
    let expected_ms = interval_ms * (applicant.ahead + 1) as f64;
    let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
    if expected <= applicant.patience {
        return Admission::Wait;
    }
    Admission::SendAway {
        expected,
        retry_after: retry_after(expected, draw),
    }
}

/// When a call shall come back that would wait so long.
pub fn retry_after(expected: Duration, draw: f64) -> Duration {
    let (shortest, longest) = RETRY_PARTS;
    let part = shortest + (longest - shortest) * draw;
    expected.mul_f64(part).max(DEFAULT_RETRY_AFTER)
}
