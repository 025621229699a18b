//! A tenant's jobs in the group.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_types::TenantName;
use serde::{Deserialize, Serialize};

/// Jobs by tenant.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Tenants {
    tenants: BTreeMap<TenantName, TenantJobs>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct TenantJobs {
    /// Sequence of the job of each idempotency key.
    keys: BTreeMap<String, u64>,
    /// The same jobs by sequence, so newest last.
    jobs: BTreeSet<u64>,
    open_items: u64,
}

impl Tenants {
    /// The job of an idempotency key.
    pub(super) fn job(&self, tenant: &TenantName, idempotency_key: &str) -> Option<u64> {
        self.tenants.get(tenant)?.keys.get(idempotency_key).copied()
    }

    /// Items of a tenant that have not ended.
    pub(super) fn open_items(&self, tenant: &TenantName) -> u64 {
        self.tenants.get(tenant).map_or(0, |one| one.open_items)
    }

    /// Records a new job with all its items open.
    pub(super) fn add(&mut self, tenant: &TenantName, key: &str, job: u64, items: u32) {
        let jobs = self.tenants.entry(tenant.clone()).or_default();
        jobs.keys.insert(key.to_owned(), job);
        jobs.jobs.insert(job);
        jobs.open_items += u64::from(items);
    }

    /// Notes that items of a tenant ended.
    pub(super) fn close_items(&mut self, tenant: &TenantName, items: u32) {
        if let Some(jobs) = self.tenants.get_mut(tenant) {
            jobs.open_items -= u64::from(items);
        }
    }

    /// Forgets a job and its key.
    pub(super) fn remove(&mut self, tenant: &TenantName, key: &str, job: u64) {
        let Some(jobs) = self.tenants.get_mut(tenant) else {
            return;
        };
        jobs.keys.remove(key);
        jobs.jobs.remove(&job);
        if jobs.jobs.is_empty() {
            self.tenants.remove(tenant);
        }
    }

    /// Sequences of a tenant's jobs, newest first.
    pub(super) fn newest_first(&self, tenant: &TenantName) -> impl Iterator<Item = u64> + '_ {
        let jobs = self.tenants.get(tenant).into_iter();
        jobs.flat_map(|one| one.jobs.iter().rev().copied())
    }
}
