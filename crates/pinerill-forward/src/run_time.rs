//! How long something usually takes, and how far that varies. Pure.

use std::time::Duration;

/// Weight of the newest time in the mean and in the deviation.
const NEWEST_WEIGHT: f64 = 0.15;
/// Mean deviations by which a time may miss the mean and still be expected: as in
/// the retransmission timer of TCP (RFC 6298), but for its four.
const DEVIATIONS: f64 = 2.0;

/// Mean and mean deviation of the last times seen at this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTime {
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    mean_ms: f64,
    deviation_ms: f64,
}

impl RunTime {
    /// It took so long once more.
    pub fn record(&mut self, time: Duration) {
        let time_ms = time.as_secs_f64() * 1_000.0;
        self.seen = Some(match self.seen {
            None => Seen {
                mean_ms: time_ms,
                deviation_ms: time_ms / 4.0,
            },
            Some(seen) => {
                let off_ms = (time_ms - seen.mean_ms).abs();
                Seen {
                    mean_ms: mixed(seen.mean_ms, time_ms),
                    deviation_ms: mixed(seen.deviation_ms, off_ms),
                }
            }
        });
    }

    /// The mean, milliseconds; 0 before the first.
    pub fn typical_ms(&self) -> u64 {
        self.seen.map_or(0, |seen| seen.mean_ms.round() as u64)
    }

    /// What is seldom exceeded, milliseconds; none before the first.
    pub fn longest_ms(&self) -> Option<f64> {
        let seen = self.seen?;
        Some(seen.mean_ms + DEVIATIONS * seen.deviation_ms)
    }

    /// What it seldom stays below, milliseconds; none before the first.
    pub fn shortest_ms(&self) -> Option<f64> {
        let seen = self.seen?;
        Some((seen.mean_ms - DEVIATIONS * seen.deviation_ms).max(0.0))
    }
}

fn mixed(known: f64, newest: f64) -> f64 {
    known * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT
}
