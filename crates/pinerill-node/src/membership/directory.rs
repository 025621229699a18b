//! Local copy of the workers and nodes that the control machines list. Performs no
//! I/O.

use std::collections::BTreeMap;

use pinerill_types::{NodeName, WorkerName};
use pinerill_wire::message::{DirectoryUpdate, NodeRecord, WorkerRecord};

/// Workers and nodes as of one revision of the directory.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    epoch: u64,
    revision: u64,
    workers: BTreeMap<WorkerName, WorkerRecord>,
    nodes: BTreeMap<NodeName, NodeRecord>,
}

impl Directory {
    /// Returns epoch and revision, from which the next watch continues.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// Returns the listed workers by name.
    pub fn workers(&self) -> &BTreeMap<WorkerName, WorkerRecord> {
        &self.workers
    }

    /// Returns the listed nodes by name.
    pub fn nodes(&self) -> &BTreeMap<NodeName, NodeRecord> {
        &self.nodes
    }

    /// Applies an update. Returns false and changes nothing if it is older than
    /// the current revision of the same epoch, or if it belongs to another epoch
    /// and is not full.
    pub fn apply(&mut self, update: &DirectoryUpdate) -> bool {
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
