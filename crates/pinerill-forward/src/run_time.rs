//! Estimates how long an operation takes and how much that varies. Pure.

use std::time::Duration;

/// Weight of the latest sample in the moving averages of the time and of its deviation.
const NEWEST_WEIGHT: f64 = 0.15;
/// Number of mean deviations between the mean and the expected bounds, as in the retransmission
/// timer of TCP (RFC 6298), which uses 4.
const DEVIATION_FACTOR: f64 = 2.0;

/// Exponentially weighted moving average and mean deviation of the times observed at this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTime {
    estimate: Option<Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

impl RunTime {
    /// Adds a sample.
    pub fn record(&mut self, time: Duration) {
        let time_ms = time.as_secs_f64() * 1_000.0;
        self.estimate = Some(match self.estimate {
            None => Estimate {
                mean_ms: time_ms,
                deviation_ms: time_ms / 4.0,
            },
            Some(estimate) => {
                let error_ms = (time_ms - estimate.mean_ms).abs();
                Estimate {
                    mean_ms: moving_average(estimate.mean_ms, time_ms),
                    deviation_ms: moving_average(estimate.deviation_ms, error_ms),
                }
            }
        });
    }

    /// Returns the mean in milliseconds; 0 before the first sample.
    pub fn typical_ms(&self) -> u64 {
        self.estimate
            .map_or(0, |estimate| estimate.mean_ms.round() as u64)
    }

    /// Returns the time that is seldom exceeded, in milliseconds; `None` before the first sample.
    pub fn longest_ms(&self) -> Option<f64> {
        let estimate = self.estimate?;
        Some(estimate.mean_ms + DEVIATION_FACTOR * estimate.deviation_ms)
    }

    /// Returns the time that samples seldom fall below, in milliseconds and at least 0; `None`
    /// before the first sample.
    pub fn shortest_ms(&self) -> Option<f64> {
        let estimate = self.estimate?;
        Some((estimate.mean_ms - DEVIATION_FACTOR * estimate.deviation_ms).max(0.0))
    }
}

fn moving_average(average: f64, newest: f64) -> f64 {
    average * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT
}
