//! What other nodes have in flight, as they tell.
//!
//! A node of this zone tells its own counts, a relay of another zone those of all
//! nodes there. Both tell whole counts, never differences, so that a message that is
//! lost is made good by the next one. What a silent teller told is forgotten.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_calls::directory::WorkerState;
use serde::{Deserialize, Serialize};

use super::Fleet;

/// Time after which what a silent node or zone told counts no more, milliseconds.
const REPORT_LIFETIME_MS: u64 = 1_500;

/// Part of a zone's places that are taken from which on other zones hear of each change.
const IMMEDIATE_REPORT_UTILIZATION: f64 = 0.5;

/// FNV-1a's first value and its multiplier, 32 bits.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;
/// The same, 64 bits.
const FNV_OFFSET_64: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME_64: u64 = 0x0000_0100_0000_01b3;

/// The finalizer of splitmix64, which spreads numbers that differ little.
fn splitmix64_finalize(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A short name of a worker for messages between nodes: a hash of its identifier.
/// Two workers of one key would cost a worse choice and nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerKey(u32);

impl WorkerKey {
    /// The key of a worker's identifier, the same at every node.
    pub fn from_id(worker: &str) -> Self {
        let hash = worker.bytes().fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
        });
        WorkerKey(hash)
    }

    /// A number drawn by worker and node, the same at every node.
    pub fn hash_with_node(self, node: SocketAddr) -> u64 {
        let name = node.to_string();
        let hash = name.bytes().fold(FNV_OFFSET_64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME_64)
        });
        splitmix64_finalize(hash ^ (u64::from(self.0) << 32 | u64::from(self.0)))
    }
}

/// Requests at one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// The worker.
    pub worker: WorkerKey,
    /// Requests there.
    pub requests: u32,
}

/// Which of two messages of a teller is the newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportOrder {
    /// Number drawn at the teller's start.
    pub start: u64,
    /// Grows with each message of that start.
    pub sequence: u64,
}

impl ReportOrder {
    /// Whether this one comes after a message that was taken in before. Another
    /// start of the teller always does.
    fn is_newer_than(self, earlier: ReportOrder) -> bool {
        self.start != earlier.start || self.sequence > earlier.sequence
    }
}

/// Whose counts they are.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reporter {
    /// A node of this zone.
    Node(SocketAddr),
    /// All nodes of another zone.
    Zone(String),
}

/// What each teller told last.
#[derive(Debug, Default)]
pub(super) struct PeerReports {
    by_reporter: HashMap<Reporter, Report>,
}

#[derive(Debug)]
struct Report {
    order: ReportOrder,
    received_ms: u64,
    counts: Vec<WorkerCount>,
}

impl Report {
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.received_ms + REPORT_LIFETIME_MS
    }
}

impl Fleet {
    /// Requests of this node and places that it promised, by worker.
    pub fn in_flight(&self, now_ms: u64) -> Vec<WorkerCount> {
        self.nonzero_counts(|worker| worker.in_flight + worker.promised_slots(now_ms))
    }

    /// The same of all nodes of this zone.
    pub fn zone_in_flight(&self, now_ms: u64) -> Vec<WorkerCount> {
        self.nonzero_counts(|worker| {
            worker.in_flight + worker.promised_slots(now_ms) + worker.peers_in_flight
        })
    }

    /// Whether other zones should hear of each change in this one: half of its places or more
    /// are taken, or its requests run elsewhere too.
    pub fn needs_immediate_zone_reports(&self, now_ms: u64) -> bool {
        let mut occupied_slots = 0.0;
        let mut total_slots = 0.0;
        for worker in self.workers.values() {
            let in_flight =
                worker.in_flight + worker.promised_slots(now_ms) + worker.peers_in_flight;
            if worker.entry().zone != self.zone {
                if in_flight > 0 {
                    return true;
                }
                continue;
            }
            if worker.entry().state == WorkerState::Ready {
                occupied_slots += f64::from(in_flight);
                total_slots += worker.slots();
            }
        }
        occupied_slots >= total_slots * IMMEDIATE_REPORT_UTILIZATION
    }

    fn nonzero_counts(&self, requests: impl Fn(&super::Worker) -> u32) -> Vec<WorkerCount> {
        let counts = self.workers.iter().map(|(id, worker)| WorkerCount {
            worker: WorkerKey::from_id(id),
            requests: requests(worker),
        });
        counts.filter(|count| count.requests > 0).collect()
    }

    /// Takes in what a node of this zone has in flight; false if something newer came
    /// before.
    pub fn record_peer_counts(
        &mut self,
        now_ms: u64,
        peer: SocketAddr,
        order: ReportOrder,
        counts: Vec<WorkerCount>,
    ) -> bool {
        self.record_counts(now_ms, Reporter::Node(peer), order, counts)
    }

    /// Takes in what all nodes of another zone have in flight; false if something newer
    /// came before.
    pub fn record_zone_counts(
        &mut self,
        now_ms: u64,
        zone: &str,
        order: ReportOrder,
        counts: Vec<WorkerCount>,
    ) -> bool {
        self.record_counts(now_ms, Reporter::Zone(zone.to_owned()), order, counts)
    }

    fn record_counts(
        &mut self,
        now_ms: u64,
        reporter: Reporter,
        order: ReportOrder,
        counts: Vec<WorkerCount>,
    ) -> bool {
        let earlier = self.peers.by_reporter.get(&reporter);
        if earlier.is_some_and(|report| !order.is_newer_than(report.order)) {
            return false;
        }
        if let Some(earlier) = self.peers.by_reporter.remove(&reporter) {
            self.apply_counts(&reporter, &earlier.counts, false);
        }
        self.apply_counts(&reporter, &counts, true);
        let report = Report {
            order,
            received_ms: now_ms,
            counts,
        };
        self.peers.by_reporter.insert(reporter, report);
        true
    }

    /// Whether the nodes of another zone tell what they have in flight.
    pub(super) fn has_current_zone_report(&self, now_ms: u64, zone: &str) -> bool {
        let report = self.peers.by_reporter.get(&Reporter::Zone(zone.to_owned()));
        report.is_some_and(|report| !report.is_expired(now_ms))
    }

    /// Forgets what was told by those that have been silent since.
    pub fn forget_silent_peers(&mut self, now_ms: u64) {
        let reports = self.peers.by_reporter.iter();
        let expired: Vec<Reporter> = reports
            .filter(|(_, report)| report.is_expired(now_ms))
            .map(|(reporter, _)| reporter.clone())
            .collect();
        for reporter in expired {
            if let Some(report) = self.peers.by_reporter.remove(&reporter) {
                self.apply_counts(&reporter, &report.counts, false);
            }
        }
    }

    /// Counts afresh after the directory has changed.
    pub(super) fn recompute_peer_counts(&mut self) {
        for worker in self.workers.values_mut() {
            worker.peers_in_flight = 0;
            worker.zones_in_flight = 0;
        }
        let reports = std::mem::take(&mut self.peers.by_reporter);
        for (reporter, report) in &reports {
            self.apply_counts(reporter, &report.counts, true);
        }
        self.peers.by_reporter = reports;
    }

    fn apply_counts(&mut self, reporter: &Reporter, counts: &[WorkerCount], added: bool) {
        for count in counts {
            let id = self.by_key.get(&count.worker);
            let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) else {
                continue;
            };
            let known = match reporter {
                Reporter::Node(_) => &mut worker.peers_in_flight,
                Reporter::Zone(_) => &mut worker.zones_in_flight,
            };
            *known = match added {
                true => known.saturating_add(count.requests),
                false => known.saturating_sub(count.requests),
            };
        }
    }
}
