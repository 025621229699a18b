//! Soft state of the leader: what it can ask again and never writes down.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use pinerill_calls::directory::DirectoryHistory;
use pinerill_calls::message::{WatchRequest, ZoneRelays};
use pinerill_quota::lender::Lender;
use pinerill_quota::limit::Tolerance;

use super::quota::LimitIndex;
use crate::leases::{LeaseBook, LeaseSettings};

/// A node that was not heard for this long is not counted.
const NODE_LIFE_MS: u64 = 2_500;

/// Nodes are not sent to a control machine that was silent for this long.
const MACHINE_LIFE_MS: u64 = 4_000;

/// Relays of a zone: with two, one that is lost halves the pace at which the zone hears of
/// others until it counts no more here.
const RELAYS: usize = 2;

/// A node that watches.
struct Node {
    /// When it was last heard.
    heard_ms: u64,
    zone: String,
    /// Where it hears the other nodes of its zone.
    peer: SocketAddr,
}

/// How far limits may be exceeded, over all nodes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tolerances {
    /// Those of tenants.
    pub(super) quota: Tolerance,
    /// Those of workers that are still cold.
    pub(super) slow_start: Tolerance,
}

/// One leadership of this machine.
pub(super) struct Leadership {
    term: u64,
    began_ms: u64,
    last_command_ms: u64,
    /// The platform list as it was read.
    pub(super) directory: DirectoryHistory,
    /// Nodes that watch, by name.
    nodes: HashMap<String, Node>,
    /// When each control machine was last heard, by data folder.
    machines: BTreeMap<u64, u64>,
    /// Which node runs which item.
    pub(super) leases: LeaseBook,
    /// Lends the tokens of tenants' calls.
    pub(super) lender: Lender,
    /// The limits by which it does.
    pub(super) limits: LimitIndex,
    /// Lends permits for requests to workers that are still cold, by worker.
    pub(super) slow_starts: Lender,
    /// When a majority was last asked whether this machine leads, and said so.
    pub(super) confirmed_ms: Option<u64>,
}

impl Leadership {
    pub(super) fn begin(term: u64, now_ms: u64, tolerances: Tolerances) -> Self {
        Leadership {
            term,
            began_ms: now_ms,
            last_command_ms: now_ms,
            directory: DirectoryHistory::default(),
            nodes: HashMap::new(),
            machines: BTreeMap::new(),
            leases: LeaseBook::new(LeaseSettings::default(), now_ms),
            lender: Lender::begin(tolerances.quota, now_ms),
            limits: LimitIndex::default(),
            slow_starts: Lender::begin(tolerances.slow_start, now_ms),
            confirmed_ms: None,
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// How long it has lasted.
    pub(super) fn lasted_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.began_ms)
    }

    /// Time since the last command of this leadership.
    pub(super) fn elapsed_ms(&mut self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.last_command_ms);
        self.last_command_ms = now_ms;
        elapsed
    }

    /// Notes that a node was heard; returns how many there are.
    pub(super) fn hear_node(&mut self, request: &WatchRequest, now_ms: u64) -> u32 {
        let node = Node {
            heard_ms: now_ms,
            zone: request.zone.clone(),
            peer: request.peer,
        };
        self.nodes.insert(request.node.clone(), node);
        self.nodes
            .retain(|_, node| now_ms.saturating_sub(node.heard_ms) <= NODE_LIFE_MS);
        self.nodes.len() as u32
    }

    /// Where the nodes of a zone hear each other, in a steady order.
    pub(super) fn peers(&self, zone: &str) -> Vec<SocketAddr> {
        let nodes = self.nodes.values().filter(|node| node.zone == zone);
        let mut addresses: Vec<SocketAddr> = nodes.map(|node| node.peer).collect();
        addresses.sort_unstable();
        addresses
    }

    /// The relays of all zones: of each the nodes whose names come first, since one that
    /// restarts or joins then seldom changes who they are.
    pub(super) fn relays(&self) -> Vec<ZoneRelays> {
        let mut zones: BTreeMap<&str, Vec<(&str, SocketAddr)>> = BTreeMap::new();
        for (name, node) in &self.nodes {
            let zone = zones.entry(node.zone.as_str()).or_default();
            zone.push((name.as_str(), node.peer));
        }
        let relays = zones.into_iter().map(|(zone, mut nodes)| {
            nodes.sort_unstable();
            let first = nodes.into_iter().take(RELAYS);
            ZoneRelays {
                zone: zone.to_owned(),
                addresses: first.map(|(_, address)| address).collect(),
            }
        });
        relays.collect()
    }

    /// Notes that a control machine was heard.
    pub(super) fn hear_machine(&mut self, replica: u64, now_ms: u64) {
        self.machines.insert(replica, now_ms);
    }

    /// Time since each control machine was heard.
    pub(super) fn silence(&self, now_ms: u64) -> BTreeMap<u64, u64> {
        let heard = self.machines.iter();
        heard
            .map(|(replica, at)| (*replica, now_ms.saturating_sub(*at)))
            .collect()
    }

    /// Control machines that were heard in this leadership and are silent
    /// for long.
    pub(super) fn lost_machines(&self, now_ms: u64) -> Vec<u64> {
        let silence = self.silence(now_ms).into_iter();
        silence
            .filter(|(_, silent_ms)| *silent_ms > MACHINE_LIFE_MS)
            .map(|(replica, _)| replica)
            .collect()
    }

    /// Workers listed; none before the first reading.
    pub(super) fn worker_count(&self) -> Option<usize> {
        Some(self.directory.present()?.workers().len())
    }
}
