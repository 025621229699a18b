//! Workers and nodes as control machines list them. Pure.

use std::collections::BTreeMap;

use pinerill_types::{NodeName, WorkerName};
use pinerill_wire::message::{DirectoryUpdate, NodeRecord, WorkerRecord};

/// The directory as of one revision.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    epoch: u64,
    revision: u64,
    workers: BTreeMap<WorkerName, WorkerRecord>,
    nodes: BTreeMap<NodeName, NodeRecord>,
}

impl Directory {
    /// Epoch and revision, for the next watch.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// Workers by name.
    pub fn workers(&self) -> &BTreeMap<WorkerName, WorkerRecord> {
        &self.workers
    }

    /// Nodes by name.
    pub fn nodes(&self) -> &BTreeMap<NodeName, NodeRecord> {
        &self.nodes
    }

    /// Takes an update in. An older one of the same epoch is ignored; one of
    /// another epoch counts only when it is full.
    pub fn take(&mut self, update: &DirectoryUpdate) -> bool {
        let same_epoch = update.epoch == self.epoch;
        let older = same_epoch && update.revision < self.revision;
        if older || (!same_epoch && !update.full) {
            return false;
        }
        if update.full {
            self.workers.clear();
            self.nodes.clear();
        }
        for worker in &update.workers {
            self.workers.insert(worker.name.clone(), worker.clone());
        }
        for name in &update.removed_workers {
            self.workers.remove(name);
        }
        for node in &update.nodes {
            self.nodes.insert(node.name.clone(), node.clone());
        }
        for name in &update.removed_nodes {
            self.nodes.remove(name);
        }
        self.epoch = update.epoch;
        self.revision = update.revision;
        true
    }
}
