//! Quantiles of times.

use serde::Serialize;

use crate::times::Times;

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
        let times = Times::of_microseconds(times);
        Self {
            count: times.count(),
            p50: times.at(0.5),
            p95: times.at(0.95),
            p99: times.at(0.99),
            max: times.max(),
        }
    }
}
