//! Tracks the requests that other nodes have in flight, as they report them.
//!
//! Each node of this zone reports its own counts, and a relay in each other zone reports the counts
//! of all nodes there. Reports carry full counts rather than differences, so that the next report
//! makes up for a lost one. The counts of a reporter that has fallen silent are discarded.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_calls::directory::WorkerState;
use serde::{Deserialize, Serialize};

use super::Fleet;

/// Time in milliseconds after which the last report of a silent node or zone no longer counts.
const REPORT_LIFETIME_MS: u64 = 1_500;

/// Fraction of a zone's slots in use from which each change is reported to other zones immediately.
const IMMEDIATE_REPORT_UTILIZATION: f64 = 0.5;

/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_64: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME_64: u64 = 0x0000_0100_0000_01b3;

/// Applies the splitmix64 finalizer, which spreads inputs that differ in few bits.
fn splitmix64_finalize(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns a 32-bit hash of a name; every node computes the same value.
pub(crate) fn hash_name(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns a hash of a number and a node; every node computes the same value.
pub(crate) fn hash_with_node(number: u64, node: SocketAddr) -> u64 {
    let name = node.to_string();
    let hash = name.bytes().fold(FNV_OFFSET_64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME_64)
    });
    splitmix64_finalize(hash ^ number)
}

/// Short identifier of a worker in messages between nodes: a 32-bit hash of the worker's
/// identifier. A collision only makes the choice of a worker less accurate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerKey(u32);

impl WorkerKey {
    /// Returns the key for a worker identifier; every node computes the same key.
    pub fn from_id(worker: &str) -> Self {
        WorkerKey(hash_name(worker))
    }

    /// Returns a hash of the worker and a node; every node computes the same value.
    pub fn hash_with_node(self, node: SocketAddr) -> u64 {
        hash_with_node(u64::from(self.0) << 32 | u64::from(self.0), node)
    }
}

/// Number of requests at one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// Key of the worker's identifier.
    pub worker: WorkerKey,
    /// Requests in flight there, including slots promised to other nodes.
    pub requests: u32,
}

/// Position of a report among all reports of the same reporter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportOrder {
    /// Random number drawn when the reporter starts.
    pub start: u64,
    /// Number that increases with each report of the same start.
    pub sequence: u64,
}

impl ReportOrder {
    /// Returns whether this report supersedes an `earlier` one of the same reporter. A report from
    /// a different start always does.
    pub(crate) fn is_newer_than(self, earlier: ReportOrder) -> bool {
        self.start != earlier.start || self.sequence > earlier.sequence
    }
}

/// Sender of a report.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reporter {
    /// A node of this zone.
    Node(SocketAddr),
    /// The relay of another zone, on behalf of all nodes there.
    Zone(String),
}

/// Last report of each reporter.
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
    /// Returns this node's requests in flight plus the slots it has promised to other nodes, by
    /// worker. Workers without any are left out.
    pub fn in_flight(&self, now_ms: u64) -> Vec<WorkerCount> {
        self.nonzero_counts(|worker| worker.in_flight + worker.promised_slots(now_ms))
    }

    /// Returns the same counts for all nodes of this zone together.
    pub fn zone_in_flight(&self, now_ms: u64) -> Vec<WorkerCount> {
        self.nonzero_counts(|worker| {
            worker.in_flight + worker.promised_slots(now_ms) + worker.peers_in_flight
        })
    }

    /// Returns whether each change of this zone's counts should be reported to other zones
    /// immediately: at least half of its slots are in use, or its nodes have requests at workers of
    /// other zones.
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

    /// Records the counts that a node of this zone reports. Returns false, and changes nothing, if
    /// the same or a newer report of that node arrived before.
    pub fn record_peer_counts(
        &mut self,
        now_ms: u64,
        peer: SocketAddr,
        order: ReportOrder,
        counts: Vec<WorkerCount>,
    ) -> bool {
        self.record_counts(now_ms, Reporter::Node(peer), order, counts)
    }

    /// Records the counts that another zone reports. Returns false, and changes nothing, if the
    /// same or a newer report of that zone's relay arrived before.
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

    /// Returns whether an unexpired report from another zone exists.
    pub(super) fn has_current_zone_report(&self, now_ms: u64, zone: &str) -> bool {
        let report = self.peers.by_reporter.get(&Reporter::Zone(zone.to_owned()));
        report.is_some_and(|report| !report.is_expired(now_ms))
    }

    /// Discards the counts of reporters whose last report has expired.
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

    /// Recomputes the per-worker counts from all reports, after the directory has changed.
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
