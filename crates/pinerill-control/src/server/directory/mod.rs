//! Workers, nodes and leaders as this control machine knows them. Soft state
//! and pure: callers bring the time.
//!
//! What is known at first hand (nodes that watch here, signs that they saw,
//! groups led here) goes to the other control machines; what those and the
//! platform's list say is merged with it. Watchers get the merged view as
//! changes since a revision.

mod listing;
mod sources;

pub use listing::Listed;
pub use sources::{NODE_LIFE_MS, PEER_LIFE_MS};

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pinerill_types::{NodeName, WorkerName, ZoneName};
use pinerill_wire::message::{
    DirectoryUpdate, GroupRecord, LeavingSign, NodeBundle, NodeRecord, PeerDirectoryResponse,
    WorkerRecord,
};

use listing::Listing;
use sources::Sources;

/// The directory of one control machine.
#[derive(Debug)]
pub struct Directory {
    /// Random number of this process: revisions of another one mean nothing.
    epoch: u64,
    sources: Sources,
    listing: Listing,
}

impl Directory {
    /// An empty directory; `epoch` is a random number of this process.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sources: Sources::default(),
            listing: Listing::default(),
        }
    }

    /// The revision now.
    pub fn revision(&self) -> u64 {
        self.listing.revision()
    }

    /// Grows with each change of a worker's record.
    pub fn workers_revision(&self) -> u64 {
        self.listing.workers_revision()
    }

    /// Replaces the platform's list.
    pub fn take_platform_list(&mut self, workers: Vec<WorkerRecord>) {
        let touched = self.sources.take_platform_list(workers);
        self.publish_workers(touched);
    }

    /// A node watches here.
    pub fn node_seen(&mut self, node: &NodeRecord, now_ms: u64) {
        if self.sources.node_seen(node, now_ms) {
            self.publish_nodes([node.name.clone()]);
        }
    }

    /// A node saw that a worker is leaving.
    pub fn sign_leaving(&mut self, sign: &LeavingSign) {
        if self.sources.sign_leaving(sign) {
            self.publish_workers([sign.worker.clone()]);
        }
    }

    /// All groups of the cluster.
    pub fn set_groups(&mut self, groups: impl IntoIterator<Item = u32>) {
        let touched = self.sources.set_groups(groups.into_iter().collect());
        self.publish_groups(touched);
    }

    /// The groups that this machine leads, with their backlogs.
    pub fn lead_groups(&mut self, groups: Vec<GroupRecord>) {
        let touched = self.sources.lead_groups(groups);
        self.publish_groups(touched);
    }

    /// What the control machine at `address` knows at first hand.
    pub fn take_peer(&mut self, address: SocketAddr, told: PeerDirectoryResponse, now_ms: u64) {
        let touched = self.sources.take_peer(address, told, now_ms);
        self.publish_nodes(touched.nodes);
        self.publish_workers(touched.workers);
        self.publish_groups(touched.groups);
    }

    /// Forgets nodes and peers that were silent for too long.
    pub fn expire(&mut self, now_ms: u64) {
        let touched = self.sources.expire(now_ms);
        self.publish_nodes(touched.nodes);
        self.publish_groups(touched.groups);
    }

    /// What changed since a watcher's revision, for its zones (all when
    /// empty); none when nothing did. A worker never moves to another zone
    /// under its name.
    pub fn update_since(
        &self,
        epoch: u64,
        revision: u64,
        zones: &[ZoneName],
    ) -> Option<DirectoryUpdate> {
        let known = (epoch == self.epoch).then_some(revision);
        let mut update = self.listing.update_since(known, zones)?;
        update.epoch = self.epoch;
        Some(update)
    }

    /// What another control machine should know, when it is newer than what
    /// it has.
    pub fn first_hand_since(&self, epoch: u64, revision: u64) -> Option<PeerDirectoryResponse> {
        let newest = self.sources.first_hand_revision();
        if epoch == self.epoch && revision >= newest {
            return None;
        }
        let mut told = self.sources.first_hand();
        told.epoch = self.epoch;
        told.revision = newest;
        Some(told)
    }

    /// The place of the platform's workers.
    pub fn workers(&self) -> Vec<WorkerRecord> {
        self.listing.workers().cloned().collect()
    }

    /// How many workers, nodes and groups are listed.
    pub fn listed(&self) -> Listed {
        self.listing.listed()
    }

    /// Records that watchers' questions have looked at so far.
    pub fn examined(&self) -> u64 {
        self.listing.examined()
    }

    /// Who leads a group, as far as is known.
    pub fn leader(&self, group: u32) -> Option<SocketAddr> {
        self.listing.group(group)?.leader
    }

    /// Live nodes and the versions in force there.
    pub fn node_bundles(&self) -> Vec<NodeBundle> {
        let names: BTreeSet<NodeName> = self.sources.node_names();
        let records = names.iter().filter_map(|name| self.sources.node(name));
        records
            .map(|node| NodeBundle {
                node: node.name.clone(),
                zone: node.zone.clone(),
                version: node.bundle_version,
            })
            .collect()
    }

    fn publish_workers(&mut self, names: impl IntoIterator<Item = WorkerName>) {
        for name in names {
            let record = self.sources.worker(&name);
            self.listing.set_worker(name, record);
        }
    }

    fn publish_nodes(&mut self, names: impl IntoIterator<Item = NodeName>) {
        for name in names {
            let record = self.sources.node(&name);
            self.listing.set_node(name, record);
        }
    }

    fn publish_groups(&mut self, groups: impl IntoIterator<Item = u32>) {
        for group in groups {
            let record = self.sources.group(group);
            self.listing.set_group(group, record);
        }
    }
}
