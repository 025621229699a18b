//! The replicated groups as the last watch told them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use parking_lot::RwLock;
use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::message::{GroupRecord, META_GROUP};
use tokio::sync::Notify;

use crate::routing::rendezvous_weight;

/// All groups with their backlogs.
#[derive(Debug, Default)]
pub struct Groups {
    records: RwLock<Arc<Vec<GroupRecord>>>,
    /// How many job groups there are. It never shrinks, since a key must
    /// always lead to the same group.
    job_groups: AtomicU32,
    /// Another set of records is there.
    pub changed: Notify,
}

impl Groups {
    /// Takes the records of a watch in; `confirmed` as the watch says. Only a
    /// confirmed list without a gap tells how many groups there are: a list
    /// with some missing would send a job to another group than its first
    /// self, and it would run twice.
    pub fn take(&self, records: Vec<GroupRecord>, confirmed: bool) {
        if confirmed {
            self.learn_count(&records);
        }
        *self.records.write() = Arc::new(records);
        self.changed.notify_waiters();
    }

    fn learn_count(&self, records: &[GroupRecord]) {
        let numbers: BTreeSet<u32> = records.iter().map(|one| one.group).collect();
        let highest = numbers.last().copied().unwrap_or(META_GROUP);
        let gapless = (META_GROUP + 1..=highest).all(|group| numbers.contains(&group));
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
        for record in self.records.read().iter() {
            for service in record.backlog.iter().filter(|one| one.pending > 0) {
                let groups = backlog.entry(service.service.clone()).or_default();
                groups.insert(record.group, service.pending);
            }
        }
        backlog
    }
}
