//! Computes how often the leader polls the platform list of workers. The module performs no I/O
//! and reads no clock.

use std::time::Duration;

/// Share of the list's call rate that the leader's polls use if the list has many pages. Each
/// call costs money, and other processes share the rate.
const RATE_SHARE: f64 = 0.2;

/// Bounds on the time from the start of one poll to the start of the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingBounds {
    /// Interval used if the list has few pages.
    pub shortest: Duration,
    /// Upper bound for any number of pages: what nodes know about a worker must not expire
    /// between two polls.
    pub longest: Duration,
}

/// Returns the time from the start of a poll of `pages` pages to the start of the next one.
/// `calls_per_s` is the number of calls per second that the list answers for all processes
/// together.
pub fn reading_interval(pages: usize, calls_per_s: f64, bounds: ReadingBounds) -> Duration {
    let interval = Duration::from_secs_f64(pages as f64 / (calls_per_s * RATE_SHARE));
    interval.min(bounds.longest).max(bounds.shortest)
}
