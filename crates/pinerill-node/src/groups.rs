//! Known state of the replicated groups, as received from the control machines through
//! the watch.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::RwLock;
use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::message::{DirectoryUpdate, GroupRecord, META_GROUP};
use tokio::sync::Notify;

use crate::routing::rendezvous_weight;

/// The latest received record of every group, with its backlog.
#[derive(Debug, Default)]
pub struct Groups {
    records: RwLock<BTreeMap<u32, GroupRecord>>,
    /// Number of job groups; 0 until a complete list is confirmed. Never decreases, because
    /// an idempotency key must always map to the same group.
    job_groups: AtomicU32,
    /// Notified after every update of the records. Only one task may wait on it.
    pub changed: Notify,
}

impl Groups {
    /// Applies a directory update: a full update replaces all records, any other one
    /// replaces the records of the groups it contains.
    pub fn apply(&self, update: &DirectoryUpdate) {
        let mut records = self.records.write();
        if update.full {
            records.clear();
        }
        for record in &update.groups {
            records.insert(record.group, record.clone());
        }
        drop(records);
        self.changed.notify_one();
    }

    /// Called when the watch has confirmed the received updates. Sets the number of job
    /// groups from the known records, provided that their numbers have no gap. With an
    /// incomplete list, a resubmitted job would map to another group than its first
    /// submission and run twice.
    pub fn confirm(&self) {
        let records = self.records.read();
        let highest = records.keys().last().copied().unwrap_or(META_GROUP);
        let gapless = (META_GROUP + 1..=highest).all(|group| records.contains_key(&group));
        if gapless {
            self.job_groups.fetch_max(highest, Ordering::Relaxed);
        }
    }

    /// Returns the numbers of the job groups; empty until a complete list is confirmed.
    pub fn job_groups(&self) -> RangeInclusive<u32> {
        META_GROUP + 1..=self.job_groups.load(Ordering::Relaxed)
    }

    /// Returns the group that a job is assigned to by the hash of tenant and idempotency
    /// key, or `None` while the number of job groups is unknown. Job groups are numbered
    /// from 1 without a gap.
    pub fn group_of(&self, tenant: &TenantName, idempotency_key: &str) -> Option<u32> {
        let count = u64::from(self.job_groups.load(Ordering::Relaxed));
        if count == 0 {
            return None;
        }
        let hash = rendezvous_weight(tenant.as_str(), idempotency_key);
        Some(1 + (hash % count) as u32)
    }

    /// Returns the number of pending items by service and group; services and groups
    /// without pending items are omitted.
    pub fn backlog(&self) -> BTreeMap<ServiceName, BTreeMap<u32, u64>> {
        let mut backlog: BTreeMap<ServiceName, BTreeMap<u32, u64>> = BTreeMap::new();
        for record in self.records.read().values() {
            for service in record.backlog.iter().filter(|one| one.pending > 0) {
                let groups = backlog.entry(service.service.clone()).or_default();
                groups.insert(record.group, service.pending);
            }
        }
        backlog
    }
}
