//! Histograms of times.

use hdrhistogram::Histogram;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;
/// Longest time that is told from longer ones, microseconds: an hour.
const LONGEST_US: u64 = 3_600_000_000;
/// Microseconds in a millisecond.
const MICROSECONDS: f64 = 1_000.0;

/// Times, of which quantiles can be read.
#[derive(Debug)]
pub struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    /// Records times in microseconds. One beyond an hour counts as an hour.
    pub fn of_microseconds(times: impl IntoIterator<Item = u64>) -> Self {
        // The bounds must be given: a histogram without them starts at two
        // microseconds, and a saturating record does not widen it.
        let mut histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
            .expect("constant bounds and digits are allowed");
        for time in times {
            histogram.saturating_record(time);
        }
        Self { histogram }
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The time that `quantile` (0 to 1) of all are at most, milliseconds; 0
    /// without any.
    pub fn at(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / MICROSECONDS
    }

    /// The longest, milliseconds; 0 without any.
    pub fn max(&self) -> f64 {
        self.histogram.max() as f64 / MICROSECONDS
    }
}
