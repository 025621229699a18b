//! Quantiles of times.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;
/// Microseconds in a millisecond.
const MICROSECONDS: f64 = 1_000.0;

/// Quantiles of a set of times, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TailQuantiles {
    /// How many.
    pub count: u64,
    /// Half are at most this.
    pub p50: f64,
    /// 95 of 100 are at most this.
    pub p95: f64,
    /// 99 of 100 are at most this.
    pub p99: f64,
    /// All are at most this.
    pub max: f64,
}

impl TailQuantiles {
    /// Quantiles of times in microseconds; all 0 when there are none.
    pub fn of_microseconds(times: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
            return Self::default();
        };
        for time in times {
            // It grows as needed; a recording can only fail at a fixed size.
            let _ = histogram.record(time.max(1));
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROSECONDS,
        }
    }
}
