//! Adaptive connect timeout, derived per zone from recent connect times. Pure.
//!
//! A worker whose machine has disappeared does not respond at all, and each node has to find
//! that out by itself. Half a second of waiting for such a worker makes a call late; a small
//! multiple of the usual connect time does not, and the call can safely go to another worker
//! because nothing was sent.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of recent connect times that are kept per zone.
const SAMPLES_PER_ZONE: usize = 32;
/// Fewest samples from which a timeout is derived. The number is low because a node of a large
/// fleet opens connections rarely.
const MIN_SAMPLES: usize = 2;
/// Quantile of the connect times that counts as the usual time. A lost packet is retransmitted
/// only after a second; at this quantile such losses don't change the usual time as long as they
/// affect less than a quarter of the connections.
const USUAL_TIME_QUANTILE: f64 = 0.75;
/// Factor between the usual connect time and the timeout.
const TIMEOUT_MULTIPLE: u32 = 6;
/// Shortest timeout. It keeps a worker that is slow to accept connections from being treated as
/// unreachable.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);
/// Timeout while a zone has too few samples: two round trips within a region, with a margin.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest timeout. It suffices because all workers are in the node's region.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(500);

/// Recent times of successful connects, by the zone of the worker.
#[derive(Debug, Default)]
pub struct ConnectTimes {
    by_zone: HashMap<String, VecDeque<Duration>>,
}

impl ConnectTimes {
    /// Records how long a successful connect to a worker of this zone took.
    pub fn record(&mut self, zone: &str, time: Duration) {
        let times = self.by_zone.entry(zone.to_owned()).or_default();
        times.push_back(time);
        if times.len() > SAMPLES_PER_ZONE {
            times.pop_front();
        }
    }

    /// Returns the connect timeout for workers of this zone; [`DEFAULT_TIMEOUT`] while there are
    /// too few samples.
    pub fn connect_timeout(&self, zone: &str) -> Duration {
        let Some(times) = self
            .by_zone
            .get(zone)
            .filter(|times| times.len() >= MIN_SAMPLES)
        else {
            return DEFAULT_TIMEOUT;
        };
        let mut sorted: Vec<Duration> = times.iter().copied().collect();
        sorted.sort_unstable();
        let usual = sorted[((sorted.len() - 1) as f64 * USUAL_TIME_QUANTILE) as usize];
        (usual * TIMEOUT_MULTIPLE).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
