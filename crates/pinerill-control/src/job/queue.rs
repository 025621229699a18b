//! Who gets the next lease: fair among tenants, least slack first.
//!
//! Tenants of a service take turns in rounds of [`ROUND_ITEMS`] items. Within
//! a round the tenant whose first job has the earliest deadline goes first,
//! and within a tenant the job with the earliest deadline. So slack decides
//! the order, but never puts one tenant further ahead of a waiting one than
//! two rounds.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::message::ServiceBacklog;
use serde::{Deserialize, Serialize};

use super::record::JobSlot;

/// Items of a tenant's turn.
pub const ROUND_ITEMS: u64 = 64;

/// Jobs with pending items, by service and tenant.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct LeaseQueues {
    services: BTreeMap<ServiceName, ServiceQueue>,
}

/// The next job to lease from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Turn {
    /// The job.
    pub(super) sequence: u64,
    /// Items left of its tenant's turn.
    pub(super) items: u64,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct ServiceQueue {
    pending: u64,
    /// Round of the latest turn. A tenant that comes back starts here, so
    /// that it can't make up for the time when it had nothing to run.
    round: u64,
    tenants: BTreeMap<TenantName, TenantQueue>,
    /// Tenants with pending items, by who goes first.
    ready: BTreeMap<ReadyKey, TenantName>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct TenantQueue {
    /// Items leased, raised to the service's round when it comes back.
    leased: u64,
    jobs: BTreeSet<JobSlot>,
    ready: Option<ReadyKey>,
}

/// A tenant with pending items; ordered by who goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct ReadyKey {
    round: u64,
    job: JobSlot,
}

/// Whose pending items change.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) tenant: &'a TenantName,
    pub(super) job: JobSlot,
}

impl LeaseQueues {
    /// Notes `items` more pending items of a job.
    pub(super) fn add(&mut self, place: Place, items: u32) {
        if items == 0 {
            return;
        }
        let service = self.services.entry(place.service.clone()).or_default();
        service.pending += u64::from(items);
        let first_turn = service.round * ROUND_ITEMS;
        let tenant = service.tenants.entry(place.tenant.clone()).or_default();
        if tenant.jobs.is_empty() {
            tenant.leased = tenant.leased.max(first_turn);
        }
        tenant.jobs.insert(place.job);
        service.refresh(place.tenant);
    }

    /// Notes `items` fewer pending items; `left` is what the job still has.
    pub(super) fn remove(&mut self, place: Place, items: u32, left: u32) {
        self.change(place, items, left, 0);
    }

    /// Notes that `items` pending items were leased in a turn.
    pub(super) fn take_turn(&mut self, place: Place, items: u32, left: u32) {
        self.change(place, items, left, u64::from(items));
    }

    fn change(&mut self, place: Place, items: u32, left: u32, charge: u64) {
        let Some(service) = self.services.get_mut(place.service) else {
            return;
        };
        service.pending -= u64::from(items);
        if service.pending == 0 {
            self.services.remove(place.service);
            return;
        }
        if let Some(tenant) = service.tenants.get_mut(place.tenant) {
            if charge > 0 {
                service.round = service.round.max(tenant.leased / ROUND_ITEMS);
            }
            tenant.leased += charge;
            if left == 0 {
                tenant.jobs.remove(&place.job);
            }
        }
        service.refresh(place.tenant);
    }

    /// The next job of a service to lease from.
    pub(super) fn next_turn(&self, service: &ServiceName) -> Option<Turn> {
        let queue = self.services.get(service)?;
        let (first, name) = queue.ready.first_key_value()?;
        let tenant = queue.tenants.get(name)?;
        Some(Turn {
            sequence: first.job.sequence,
            items: ROUND_ITEMS - tenant.leased % ROUND_ITEMS,
        })
    }

    /// Pending items by service.
    pub(super) fn backlog(&self) -> Vec<ServiceBacklog> {
        let services = self.services.iter();
        services
            .map(|(service, queue)| ServiceBacklog {
                service: service.clone(),
                pending: queue.pending,
            })
            .collect()
    }
}

impl ServiceQueue {
    /// Puts a tenant where it belongs among those that wait.
    fn refresh(&mut self, name: &TenantName) {
        let Some(tenant) = self.tenants.get_mut(name) else {
            return;
        };
        if let Some(old) = tenant.ready.take() {
            self.ready.remove(&old);
        }
        let Some(first) = tenant.jobs.first() else {
            if tenant.leased <= self.round * ROUND_ITEMS {
                self.tenants.remove(name);
            }
            return;
        };
        let key = ReadyKey {
            round: tenant.leased / ROUND_ITEMS,
            job: *first,
        };
        tenant.ready = Some(key);
        self.ready.insert(key, name.clone());
    }
}
