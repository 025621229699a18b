//! Waiting calls and preemptible items of the nodes in a zone, and this node's share in serving
//! them. Pure.
//!
//! A call may wait at one node while a slot becomes free at a second, and the batch item that could
//! yield its slot runs at a third. With ten nodes these are often the same node; with fifty nodes
//! and as many items they hardly ever are. Nodes therefore broadcast how many calls wait and how
//! many items could be preempted. Each node preempts its share of what the zone is short of, and a
//! slot that becomes free is promised to a single waiting node, because otherwise all waiting nodes
//! would see it and send a call there.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::claims::Contender;

/// Time for which a node's report counts, in milliseconds. Nodes report again after 500 ms.
const REPORT_TTL_MS: u64 = 700;
/// Time after a preemption for calls of other nodes in which no more items of that service are
/// preempted for them, in milliseconds. By then these nodes have reported what still waits there.
const PREEMPTION_PAUSE_MS: u64 = 30;

/// Waiting calls and preemptible items of one service at one node, as broadcast to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Number of calls that wait for a slot.
    pub waiting: u32,
    /// Number of running items that could be preempted.
    pub yielding: u32,
}

impl ServiceDemand {
    /// Returns the number of waiting calls that remain after the node has preempted all its own
    /// items.
    fn lacking(&self) -> u32 {
        self.waiting.saturating_sub(self.yielding)
    }

    /// Returns the number of preemptible items that the node does not need for its own calls.
    fn spare(&self) -> u32 {
        self.yielding.saturating_sub(self.waiting)
    }
}

#[derive(Debug)]
struct PeerReport {
    at_ms: u64,
    demand: Vec<ServiceDemand>,
}

/// The latest demand reports of the other nodes in the zone.
#[derive(Debug, Default)]
pub struct ZoneDemand {
    reports: HashMap<SocketAddr, PeerReport>,
    /// Time of the last preemption for calls of other nodes, by service.
    preempted_ms: HashMap<String, u64>,
}

impl ZoneDemand {
    /// Replaces the report of a peer. An empty `demand` removes it.
    pub fn update(&mut self, now_ms: u64, peer: SocketAddr, demand: Vec<ServiceDemand>) {
        if demand.is_empty() {
            self.reports.remove(&peer);
            return;
        }
        let report = PeerReport {
            at_ms: now_ms,
            demand,
        };
        self.reports.insert(peer, report);
    }

    /// Returns the number of calls of a service that wait at other nodes.
    pub fn waiting(&self, now_ms: u64, service: &str) -> u32 {
        self.fresh_reports(now_ms, service)
            .map(|(_, one)| one.waiting)
            .sum()
    }

    /// Returns the other nodes that have waiting calls of a service.
    pub fn contenders(&self, now_ms: u64, service: &str) -> Vec<Contender> {
        let nodes = self.fresh_reports(now_ms, service);
        let waiting = nodes.filter(|(_, one)| one.waiting > 0);
        waiting
            .map(|(node, one)| Contender {
                node,
                waiting: one.waiting,
            })
            .collect()
    }

    /// Returns whether any call waits at another node, whatever its service.
    pub fn any_waiting(&self, now_ms: u64) -> bool {
        let mut fresh = self
            .reports
            .values()
            .filter(|report| report.is_fresh(now_ms));
        fresh.any(|report| report.demand.iter().any(|one| one.waiting > 0))
    }

    /// Selects the node that gets a free slot of a service, with a probability proportional to the
    /// calls that wait there, and counts one of these as served. `draw` is a random number between
    /// 0 and 1. Returns `None` if no call of the service waits.
    pub fn promise_slot(&mut self, now_ms: u64, service: &str, draw: f64) -> Option<SocketAddr> {
        let waiting = self.waiting(now_ms, service);
        if waiting == 0 {
            return None;
        }
        let mut to_skip = (draw * f64::from(waiting)) as u32;
        let mut chosen = None;
        for (peer, one) in self.fresh_reports(now_ms, service) {
            if one.waiting > to_skip {
                chosen = Some(peer);
                break;
            }
            to_skip -= one.waiting;
        }
        let peer = chosen?;
        let demand = &mut self.reports.get_mut(&peer)?.demand;
        let one = demand.iter_mut().find(|one| one.service == service)?;
        one.waiting -= 1;
        Some(peer)
    }

    /// Returns how many items of this node are to be preempted for calls of other nodes. Calls that
    /// a node cannot serve by preempting its own items are divided among the nodes in proportion to
    /// their spare items. `draw`, a random number between 0 and 1, decides whether a fraction of an
    /// item is rounded up. Returns 0 during the pause after the last preemption.
    pub fn preemption_share(&mut self, now_ms: u64, own: &ServiceDemand, draw: f64) -> usize {
        let spare = own.spare();
        let preempted = self.preempted_ms.get(&own.service);
        if spare == 0 || preempted.is_some_and(|at| now_ms < at + PREEMPTION_PAUSE_MS) {
            return 0;
        }
        let others = self.fresh_reports(now_ms, &own.service);
        let (lacking, spare_of_others) = others.fold((0, 0), |(lacking, spare), (_, one)| {
            (lacking + one.lacking(), spare + one.spare())
        });
        let part = f64::from(spare) / f64::from(spare + spare_of_others);
        let share = (f64::from(lacking) * part).min(f64::from(spare));
        let whole = share.floor();
        let rounded = whole + f64::from(u8::from(draw < share - whole));
        if rounded > 0.0 {
            self.preempted_ms.insert(own.service.clone(), now_ms);
        }
        rounded as usize
    }

    fn fresh_reports<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
    ) -> impl Iterator<Item = (SocketAddr, &'a ServiceDemand)> {
        let fresh = self
            .reports
            .iter()
            .filter(move |(_, report)| report.is_fresh(now_ms));
        fresh.filter_map(move |(peer, report)| {
            let mut demand = report.demand.iter();
            Some((*peer, demand.find(|one| one.service == service)?))
        })
    }
}

impl PeerReport {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms <= self.at_ms + REPORT_TTL_MS
    }
}
