//! How long items usually run. Pure.

use std::time::Duration;

/// Weight of the newest run in the mean.
const NEWEST_WEIGHT: f64 = 0.15;

/// Mean time of the last runs of whole items at this node.
#[derive(Debug, Default)]
pub struct RunTime {
    mean: Option<Duration>,
}

impl RunTime {
    /// An item ran to its end.
    pub fn ended(&mut self, time: Duration) {
        self.mean = Some(match self.mean {
            None => time,
            Some(mean) => mean.mul_f64(1.0 - NEWEST_WEIGHT) + time.mul_f64(NEWEST_WEIGHT),
        });
    }

    /// The mean, milliseconds; 0 before the first.
    pub fn typical_ms(&self) -> u64 {
        self.mean.map_or(0, |mean| mean.as_millis() as u64)
    }
}
