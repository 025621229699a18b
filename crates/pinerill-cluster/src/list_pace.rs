//! How often the leader reads the platform list. Pure.

use std::time::Duration;

/// Part of the list's rate that the leader's readings use where they have many pages: each call
/// has its price, and other processes share the rate.
const RATE_PART: f64 = 0.2;

/// Bounds of the time between the beginnings of two readings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingBounds {
    /// Where a reading has few pages.
    pub shortest: Duration,
    /// Whatever it has: what nodes know of a worker must not run out between two readings.
    pub longest: Duration,
}

/// Time from the beginning of a reading of so many pages to that of the next one, if the list
/// answers so many calls a second from all processes together.
pub fn reading_interval(pages: usize, calls_per_s: f64, bounds: ReadingBounds) -> Duration {
    let fair = Duration::from_secs_f64(pages as f64 / (calls_per_s * RATE_PART));
    fair.min(bounds.longest).max(bounds.shortest)
}
