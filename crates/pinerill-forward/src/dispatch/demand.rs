//! What the nodes of a zone lack, and the part of it that this node makes good. Pure.
//!
//! A call waits at one node while a place becomes free at another, and the item that
//! can spare its place runs at a third. With ten nodes they are often the same; with
//! fifty and as many items they hardly ever are. So nodes tell how many calls wait there
//! and how many items could give way, each makes good its part of what the zone lacks,
//! and a place that becomes free is promised to one of the nodes that wait: if all of
//! them saw it, all would send there.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::claims::Contender;

/// How long what a node told counts, milliseconds: it tells again after half a second.
const TOLD_LIFE_MS: u64 = 700;
/// Time after items gave way to calls of other nodes in which no more do so,
/// milliseconds: until these nodes have told what still waits there.
const SETTLING_MS: u64 = 30;

/// What a node lacks and can spare of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: String,
    /// Calls that wait for a place.
    pub waiting: u32,
    /// Running items that could give way.
    pub yielding: u32,
}

impl ServiceDemand {
    /// Calls that the node's own items can't help.
    fn lacking(&self) -> u32 {
        self.waiting.saturating_sub(self.yielding)
    }

    /// Items that its own calls don't need.
    fn spare(&self) -> u32 {
        self.yielding.saturating_sub(self.waiting)
    }
}

#[derive(Debug)]
struct Told {
    at_ms: u64,
    demand: Vec<ServiceDemand>,
}

/// What the other nodes of the zone told.
#[derive(Debug, Default)]
pub struct ZoneDemand {
    told: HashMap<SocketAddr, Told>,
    /// When items of each service last gave way to other nodes' calls.
    helped_ms: HashMap<String, u64>,
}

impl ZoneDemand {
    /// Takes in what a node told.
    pub fn take(&mut self, now_ms: u64, peer: SocketAddr, demand: Vec<ServiceDemand>) {
        if demand.is_empty() {
            self.told.remove(&peer);
            return;
        }
        let told = Told {
            at_ms: now_ms,
            demand,
        };
        self.told.insert(peer, told);
    }

    /// Calls of a service that wait at other nodes.
    pub fn waiting(&self, now_ms: u64, service: &str) -> u32 {
        self.of_service(now_ms, service)
            .map(|(_, one)| one.waiting)
            .sum()
    }

    /// The other nodes at which calls of a service wait.
    pub fn contenders(&self, now_ms: u64, service: &str) -> Vec<Contender> {
        let nodes = self.of_service(now_ms, service);
        let waiting = nodes.filter(|(_, one)| one.waiting > 0);
        waiting
            .map(|(node, one)| Contender {
                node,
                waiting: one.waiting,
            })
            .collect()
    }

    /// Calls of any service that wait at other nodes.
    pub fn any_waiting(&self, now_ms: u64) -> bool {
        let mut fresh = self.told.values().filter(|told| told.is_fresh(now_ms));
        fresh.any(|told| told.demand.iter().any(|one| one.waiting > 0))
    }

    /// The node to which a free place of a service goes, drawn by the number of calls that
    /// wait there; one of these counts as served. `draw` lies between 0 and 1.
    pub fn promise(&mut self, now_ms: u64, service: &str, draw: f64) -> Option<SocketAddr> {
        let waiting = self.waiting(now_ms, service);
        if waiting == 0 {
            return None;
        }
        let mut passed = (draw * f64::from(waiting)) as u32;
        let mut chosen = None;
        for (peer, one) in self.of_service(now_ms, service) {
            if one.waiting > passed {
                chosen = Some(peer);
                break;
            }
            passed -= one.waiting;
        }
        let peer = chosen?;
        let demand = &mut self.told.get_mut(&peer)?.demand;
        let one = demand.iter_mut().find(|one| one.service == service)?;
        one.waiting -= 1;
        Some(peer)
    }

    /// Items of this node that are to give way to calls of other nodes: its part, by the
    /// items that each node can spare, of the calls that wait where no item can help. A
    /// part of an item is rounded by `draw`, between 0 and 1.
    pub fn share(&mut self, now_ms: u64, own: &ServiceDemand, draw: f64) -> usize {
        let spare = own.spare();
        let helped = self.helped_ms.get(&own.service);
        if spare == 0 || helped.is_some_and(|at| now_ms < at + SETTLING_MS) {
            return 0;
        }
        let others = self.of_service(now_ms, &own.service);
        let (lacking, spare_of_others) = others.fold((0, 0), |(lacking, spare), (_, one)| {
            (lacking + one.lacking(), spare + one.spare())
        });
        let part = f64::from(spare) / f64::from(spare + spare_of_others);
        let share = (f64::from(lacking) * part).min(f64::from(spare));
        let whole = share.floor();
        let rounded = whole + f64::from(u8::from(draw < share - whole));
        if rounded > 0.0 {
            self.helped_ms.insert(own.service.clone(), now_ms);
        }
        rounded as usize
    }

    fn of_service<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
    ) -> impl Iterator<Item = (SocketAddr, &'a ServiceDemand)> {
        let fresh = self
            .told
            .iter()
            .filter(move |(_, told)| told.is_fresh(now_ms));
        fresh.filter_map(move |(peer, told)| {
            let mut demand = told.demand.iter();
            Some((*peer, demand.find(|one| one.service == service)?))
        })
    }
}

impl Told {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms <= self.at_ms + TOLD_LIFE_MS
    }
}
