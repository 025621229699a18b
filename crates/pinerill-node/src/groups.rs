//! The replicated groups as the last watch told them.

use std::collections::BTreeMap;

use parking_lot::RwLock;
use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::message::{DirectoryUpdate, GroupRecord, META_GROUP};
use tokio::sync::Notify;

use crate::routing::rendezvous_weight;

/// All groups with their backlogs.
#[derive(Debug, Default)]
pub struct Groups {
    records: RwLock<BTreeMap<u32, GroupRecord>>,
    /// Another set of records is there.
    pub changed: Notify,
}

impl Groups {
    /// Takes the changed groups of a watch in.
    pub fn take(&self, update: &DirectoryUpdate) {
        let mut records = self.records.write();
        if update.full {
            records.clear();
        }
        for record in &update.groups {
            records.insert(record.group, record.clone());
        }
        drop(records);
        self.changed.notify_waiters();
    }

    /// Numbers of the job groups.
    pub fn job_groups(&self) -> Vec<u32> {
        let records = self.records.read();
        let numbers = records.keys().copied();
        numbers.filter(|group| *group != META_GROUP).collect()
    }

    /// The group of a job. Job groups are numbered from 1 without a gap.
    pub fn group_of(&self, tenant: &TenantName, idempotency_key: &str) -> Option<u32> {
        let count = self.job_groups().len() as u64;
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
