//! Whether a call that must wait is kept or told to come back. Pure.
//!
//! A call that would begin too late for its objective is better sent away at
//! once, with a time to come back, than kept in a line in which it only gets
//! late: its caller can ask again once the burst is over. A caller with little
//! time left is never sent away, since it may not get another chance.

use std::collections::VecDeque;
use std::time::Duration;

/// Starts from which the pace is read.
const REMEMBERED_STARTS: usize = 12;
/// With fewer starts the pace is not known.
const LEAST_STARTS: usize = 4;
/// Starts older than this say nothing of the pace, milliseconds.
const PACE_AGE_MS: u64 = 2_000;
/// Part of the objective that a call may spend waiting here and still meet it.
pub const WAITING_PART: f64 = 0.7;
/// A caller is sent away only with at least this part of the route's time left.
const TIME_LEFT_PART: f64 = 0.85;
/// Bounds of the time to come back, as parts of the time that the caller has
/// left: long enough for a burst to pass, short enough to be served then.
const RETRY_PARTS: (f64, f64) = (0.18, 0.3);

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
    /// Time within which the caller wants its first event.
    pub objective: Duration,
    /// Time that the caller has left.
    pub remaining: Duration,
    /// Time that the route allows.
    pub allowed: Duration,
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
    let bearable = applicant.objective.mul_f64(WAITING_PART);
    let has_time = applicant.remaining >= applicant.allowed.mul_f64(TIME_LEFT_PART);
    if expected <= bearable || !has_time {
        return Admission::Wait;
    }
    let (shortest, longest) = RETRY_PARTS;
    let part = shortest + (longest - shortest) * draw;
    Admission::SendAway {
        expected,
        retry_after: applicant.remaining.mul_f64(part),
    }
}
