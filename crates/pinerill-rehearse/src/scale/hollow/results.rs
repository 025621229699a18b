//! What hollow nodes saw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::times::Times;

/// Quantiles of a set of times, milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// Half are at most this.
    pub p50: f64,
    /// 99 of 100 are at most this.
    pub p99: f64,
    /// All are at most this.
    pub max: f64,
}

impl Quantiles {
    /// Quantiles of times in microseconds.
    pub fn of_microseconds(times: impl IntoIterator<Item = u64>) -> Self {
        let times = Times::of_microseconds(times);
        Self {
            count: times.count(),
            p50: times.at(0.5),
            p99: times.at(0.99),
            max: times.max(),
        }
    }
}

/// When nodes had a version in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// Nodes that had it.
    pub nodes: u64,
    /// When the last of them had it, Unix microseconds.
    pub last_us: u64,
}

/// What the hollow nodes of one process saw between the start of measuring
/// and its end.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowResults {
    /// How many nodes.
    pub nodes: u64,
    /// Length of the measurement, seconds.
    pub seconds: f64,
    /// Bytes that all of them sent.
    pub bytes_out: u64,
    /// Bytes that all of them received.
    pub bytes_in: u64,
    /// Messages that all of them sent.
    pub messages_out: u64,
    /// Messages that all of them received.
    pub messages_in: u64,
    /// Watches that failed.
    pub failed_watches: u64,
    /// Answers whose version was below the one held: must be 0.
    pub reverted: u64,
    /// When versions were in force, by version.
    pub versions: BTreeMap<u64, SeenVersion>,
    /// Longest time that each node was without a confirmed watch.
    pub unconfirmed: Quantiles,
    /// Items leased.
    pub leased: u64,
    /// Ends that counted.
    pub counted: u64,
    /// Ends that came late.
    pub late: u64,
    /// Workers that the nodes knew at the end, summed.
    pub workers_known: u64,
}

impl HollowResults {
    /// Adds another process's results.
    pub fn add(&mut self, other: &Self) {
        self.nodes += other.nodes;
        self.seconds = self.seconds.max(other.seconds);
        self.bytes_out += other.bytes_out;
        self.bytes_in += other.bytes_in;
        self.messages_out += other.messages_out;
        self.messages_in += other.messages_in;
        self.failed_watches += other.failed_watches;
        self.reverted += other.reverted;
        for (version, seen) in &other.versions {
            let total = self.versions.entry(*version).or_default();
            total.nodes += seen.nodes;
            total.last_us = total.last_us.max(seen.last_us);
        }
        self.unconfirmed = worst(self.unconfirmed, other.unconfirmed);
        self.leased += other.leased;
        self.counted += other.counted;
        self.late += other.late;
        self.workers_known += other.workers_known;
    }
}

impl HollowResults {
    /// When `version` or a later one was in force on the last node, Unix
    /// microseconds; none when some node never got so far. A node that got
    /// two versions at once has only the later one in its list.
    pub fn in_force_us(&self, version: u64) -> Option<u64> {
        let mut nodes = 0;
        for (_, seen) in self.versions.range(version..) {
            nodes += seen.nodes;
            if nodes >= self.nodes {
                return Some(seen.last_us);
            }
        }
        None
    }
}

/// Quantiles can't be added up; the worse of two is an upper bound.
fn worst(one: Quantiles, other: Quantiles) -> Quantiles {
    Quantiles {
        count: one.count + other.count,
        p50: one.p50.max(other.p50),
        p99: one.p99.max(other.p99),
        max: one.max.max(other.max),
    }
}
