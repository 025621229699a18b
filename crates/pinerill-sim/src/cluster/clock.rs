//! Steady clocks of processes, each a little fast or slow.

use crate::random::SimRng;

/// Parts in a million.
const MILLION: i128 = 1_000_000;
/// Largest deviation of a clock's rate, in parts per million.
pub const MAX_SKEW_PPM: i64 = 10_000;

/// A steady clock with its own rate and start.
#[derive(Clone, Copy, Debug)]
pub struct LocalClock {
    rate_ppm: i64,
    started_ms: u64,
}

impl LocalClock {
    /// A clock that starts now, with a rate within the skew.
    pub fn new(now_ms: u64, skew_ppm: i64, rng: &mut SimRng) -> Self {
        let width = skew_ppm.unsigned_abs();
        let rate_ppm = rng.between(0, 2 * width) as i64 - width as i64;
        LocalClock {
            rate_ppm,
            started_ms: now_ms,
        }
    }

    /// This clock starts again, as that of a restarted process.
    pub fn restarted(self, now_ms: u64) -> Self {
        LocalClock {
            started_ms: now_ms,
            ..self
        }
    }

    /// What this clock shows at a virtual time.
    pub fn local_ms(&self, now_ms: u64) -> u64 {
        let elapsed = i128::from(now_ms.saturating_sub(self.started_ms));
        (elapsed * (MILLION + i128::from(self.rate_ppm)) / MILLION) as u64
    }

    /// The first virtual time at which this clock shows `local_ms`.
    pub fn virtual_ms(&self, local_ms: u64) -> u64 {
        let rate = MILLION + i128::from(self.rate_ppm);
        let elapsed = (i128::from(local_ms) * MILLION + rate - 1) / rate;
        self.started_ms.saturating_add(elapsed as u64)
    }
}
