//! Who said what, and how it is merged.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use pinerill_types::{NodeName, WorkerName};
use pinerill_wire::message::{
    GroupRecord, LeavingSign, NodeRecord, PeerDirectoryResponse, WorkerRecord, WorkerState,
};

/// A node that has not watched for so long is gone, milliseconds.
pub const NODE_LIFE_MS: u64 = 5_000;
/// What a silent control machine said is forgotten after this, milliseconds.
pub const PEER_LIFE_MS: u64 = 10_000;

/// A node that watches here.
#[derive(Debug)]
struct Watcher {
    record: NodeRecord,
    seen_ms: u64,
}

/// What another control machine said last.
#[derive(Debug, Default)]
struct PeerView {
    nodes: BTreeMap<NodeName, NodeRecord>,
    groups: BTreeMap<u32, GroupRecord>,
    heard_ms: u64,
}

impl PeerView {
    fn new(told: PeerDirectoryResponse, heard_ms: u64) -> Self {
        let nodes = told.nodes.into_iter().map(|node| (node.name.clone(), node));
        let groups = told.groups.into_iter().map(|group| (group.group, group));
        Self {
            nodes: nodes.collect(),
            groups: groups.collect(),
            heard_ms,
        }
    }
}

/// Names whose merged record may have changed.
#[derive(Debug, Default)]
pub(super) struct Touched {
    pub(super) workers: BTreeSet<WorkerName>,
    pub(super) nodes: BTreeSet<NodeName>,
    pub(super) groups: BTreeSet<u32>,
}

/// All that was said.
#[derive(Debug, Default)]
pub(super) struct Sources {
    platform: BTreeMap<WorkerName, WorkerRecord>,
    /// Newest incarnation of a worker that said it is leaving.
    signs: BTreeMap<WorkerName, u64>,
    watchers: BTreeMap<NodeName, Watcher>,
    groups: BTreeSet<u32>,
    led: BTreeMap<u32, GroupRecord>,
    peers: BTreeMap<SocketAddr, PeerView>,
    first_hand_revision: u64,
}

impl Sources {
    pub(super) fn first_hand_revision(&self) -> u64 {
        self.first_hand_revision
    }

    /// Replaces the list. Signs of workers that left it go with them, so that
    /// a name can come back.
    pub(super) fn take_platform_list(
        &mut self,
        workers: Vec<WorkerRecord>,
    ) -> BTreeSet<WorkerName> {
        let present = workers
            .into_iter()
            .filter(|worker| worker.state != WorkerState::Gone)
            .map(|worker| (worker.name.clone(), worker));
        let before = std::mem::replace(&mut self.platform, present.collect());
        for name in before.keys() {
            if !self.platform.contains_key(name) {
                self.signs.remove(name);
            }
        }
        let names = before.into_keys().chain(self.platform.keys().cloned());
        names.collect()
    }

    /// Whether the merged view may have changed.
    pub(super) fn node_seen(&mut self, node: &NodeRecord, now_ms: u64) -> bool {
        let before = self.watchers.get_mut(&node.name);
        if let Some(watcher) = before {
            watcher.seen_ms = now_ms;
            if watcher.record == *node {
                return false;
            }
            watcher.record = node.clone();
        } else {
            let watcher = Watcher {
                record: node.clone(),
                seen_ms: now_ms,
            };
            self.watchers.insert(node.name.clone(), watcher);
        }
        self.first_hand_revision += 1;
        true
    }

    /// Whether the sign is new.
    pub(super) fn sign_leaving(&mut self, sign: &LeavingSign) -> bool {
        let newest = self.signs.entry(sign.worker.clone()).or_insert(0);
        if sign.incarnation <= *newest {
            return false;
        }
        *newest = sign.incarnation;
        self.first_hand_revision += 1;
        true
    }

    pub(super) fn set_groups(&mut self, groups: BTreeSet<u32>) -> BTreeSet<u32> {
        let before = std::mem::replace(&mut self.groups, groups);
        before.symmetric_difference(&self.groups).copied().collect()
    }

    pub(super) fn lead_groups(&mut self, groups: Vec<GroupRecord>) -> BTreeSet<u32> {
        let led: BTreeMap<u32, GroupRecord> =
            groups.into_iter().map(|one| (one.group, one)).collect();
        if led == self.led {
            return BTreeSet::new();
        }
        let before = std::mem::replace(&mut self.led, led);
        self.first_hand_revision += 1;
        let groups = before.into_keys().chain(self.led.keys().copied());
        groups.collect()
    }

    pub(super) fn take_peer(
        &mut self,
        address: SocketAddr,
        told: PeerDirectoryResponse,
        now_ms: u64,
    ) -> Touched {
        let mut touched = Touched::default();
        for sign in &told.leaving {
            if self.sign_leaving(sign) {
                touched.workers.insert(sign.worker.clone());
            }
        }
        let view = PeerView::new(told, now_ms);
        let before = self.peers.remove(&address).unwrap_or_default();
        touched.add_differences(&before, &view);
        self.peers.insert(address, view);
        touched
    }

    pub(super) fn expire(&mut self, now_ms: u64) -> Touched {
        let mut touched = Touched::default();
        let watchers = self.watchers.len();
        self.watchers.retain(|name, watcher| {
            let live = now_ms.saturating_sub(watcher.seen_ms) < NODE_LIFE_MS;
            if !live {
                touched.nodes.insert(name.clone());
            }
            live
        });
        if self.watchers.len() < watchers {
            self.first_hand_revision += 1;
        }
        self.peers.retain(|_, view| {
            let live = now_ms.saturating_sub(view.heard_ms) < PEER_LIFE_MS;
            if !live {
                touched.add_differences(view, &PeerView::default());
            }
            live
        });
        touched
    }

    pub(super) fn first_hand(&self) -> PeerDirectoryResponse {
        let leaving = self.signs.iter().map(|(worker, incarnation)| LeavingSign {
            worker: worker.clone(),
            incarnation: *incarnation,
        });
        PeerDirectoryResponse {
            epoch: 0,
            revision: 0,
            nodes: self
                .watchers
                .values()
                .map(|one| one.record.clone())
                .collect(),
            leaving: leaving.collect(),
            groups: self.led.values().cloned().collect(),
        }
    }

    /// The platform's record with the strongest sign.
    pub(super) fn worker(&self, name: &WorkerName) -> Option<WorkerRecord> {
        let mut record = self.platform.get(name)?.clone();
        record.leaving_incarnation = self.signs.get(name).copied().unwrap_or(0);
        Some(record)
    }

    /// The record of a node, if it watches anywhere. One that moved to
    /// another control machine is listed at both for a while: the newer
    /// version of the bundle is the newer record, and a node that came back
    /// after a planned stop is not draining.
    pub(super) fn node(&self, name: &NodeName) -> Option<NodeRecord> {
        let own = self.watchers.get(name).map(|one| &one.record);
        let others = self.peers.values().filter_map(|view| view.nodes.get(name));
        others
            .chain(own)
            .max_by_key(|node| (!node.draining, node.bundle_version))
            .cloned()
    }

    pub(super) fn node_names(&self) -> BTreeSet<NodeName> {
        let told = self.peers.values().flat_map(|view| view.nodes.keys());
        self.watchers.keys().chain(told).cloned().collect()
    }

    /// A group's record: as its leader tells it, or without one.
    pub(super) fn group(&self, group: u32) -> Option<GroupRecord> {
        if let Some(led) = self.led.get(&group) {
            return Some(led.clone());
        }
        if !self.groups.contains(&group) {
            return None;
        }
        // After a change of leaders two may claim the group for a moment;
        // the one heard last is more likely right.
        let claims = self.peers.values().filter_map(|view| {
            let claim = view.groups.get(&group);
            claim.map(|claim| (view.heard_ms, claim))
        });
        let newest = claims.max_by_key(|(heard_ms, _)| *heard_ms);
        let record = newest.map(|(_, claim)| claim.clone());
        Some(record.unwrap_or(GroupRecord {
            group,
            leader: None,
            backlog: Vec::new(),
        }))
    }
}

impl Touched {
    /// Names that only one of two views has, or that differ in them.
    fn add_differences(&mut self, before: &PeerView, after: &PeerView) {
        self.nodes.extend(differing(&before.nodes, &after.nodes));
        self.groups.extend(differing(&before.groups, &after.groups));
    }
}

fn differing<K: Ord + Clone, V: PartialEq>(
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
) -> Vec<K> {
    let gone = before.keys().filter(|key| !after.contains_key(key));
    let changed = after
        .iter()
        .filter(|(key, value)| before.get(key) != Some(value))
        .map(|(key, _)| key);
    gone.chain(changed).cloned().collect()
}
