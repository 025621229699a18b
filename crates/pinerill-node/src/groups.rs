//! The replicated groups as the last watch told them.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::RwLock;
use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::message::{DirectoryUpdate, GroupRecord, META_GROUP};
use tokio::sync::Notify;

use crate::routing::rendezvous_weight;

/// All groups with their backlogs.
#[derive(Debug, Default)]
pub struct Groups {
    records: RwLock<BTreeMap<u32, GroupRecord>>,
    /// How many job groups there are. It never shrinks, since a key must
    /// always lead to the same group.
    job_groups: AtomicU32,
    /// Other records are there; one task waits for them.
    pub changed: Notify,
}

impl Groups {
    /// Takes the changed groups of a watch in.
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

    /// The watch was confirmed: what it told so far says how many job groups
    /// there are, if it has no gap. A list with some missing would send a job
    /// to another group than its first self, and it would run twice.
    pub fn confirm(&self) {
        let records = self.records.read();
        let highest = records.keys().last().copied().unwrap_or(META_GROUP);
        let gapless = (META_GROUP + 1..=highest).all(|group| records.contains_key(&group));
        if gapless {
            self.job_groups.fetch_max(highest, Ordering::Relaxed);
        }
    }

    /// Numbers of the job groups.
    pub fn job_groups(&self) -> RangeInclusive<u32> {
        META_GROUP + 1..=self.job_groups.load(Ordering::Relaxed)
    }

    /// The group of a job. Job groups are numbered from 1 without a gap.
    pub fn group_of(&self, tenant: &TenantName, idempotency_key: &str) -> Option<u32> {
        let count = u64::from(self.job_groups.load(Ordering::Relaxed));
        if count == 0 {
            return None;
        }
        let hash = rendezvous_weight(tenant.as_str(), idempotency_key);
        Some(1 + (hash % count) as u32)
    }

    /// Items that wait, by service and group.
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
