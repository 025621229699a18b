//! Places waiting items at engines and requests more items.

use std::collections::BTreeMap;

use pinerill_types::ServiceName;
use pinerill_wire::message::AttemptRef;

use super::{Planner, Stage};
use crate::batch::demand::lease_demand;
use crate::batch::message::Output;

/// Longest wait of a leased item for an engine, milliseconds. After that it is
/// returned to its group, so that another node can run it.
const MAX_READY_MS: u64 = 5_000;
/// Number of undelivered reports from which on no more items are leased.
const MAX_QUEUED_REPORTS: usize = 4_096;

impl Planner {
    /// Starts the waiting items for which an engine has a free slot, those with the
    /// earliest deadline first.
    pub(super) fn start_ready(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let waiting: Vec<AttemptRef> = self.ready.iter().map(|(_, one)| *one).collect();
        for attempt in waiting {
            let Some(item) = self.items.get_mut(&attempt) else {
                continue;
            };
            let Some(lease_end_ms) = self.leases.expiry_for_start(now_ms, attempt) else {
                continue;
            };
            let service = &item.lease.service;
            let Some(engine) = self.engines.choose_engine(now_ms, service, &item.tried) else {
                continue;
            };
            self.engines.record_start(now_ms, &engine, attempt, service);
            self.ready.remove(&(item.lease.deadline_ms, attempt));
            item.stage = Stage::AtEngine(engine.clone());
            out.push(Output::Start {
                attempt,
                item: item.lease.clone(),
                engine,
                lease_end_ms,
            });
        }
    }

    /// Returns items to their groups that have waited too long for an engine or
    /// have no engine left to try.
    pub(super) fn release_stale(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let stale: Vec<AttemptRef> = self
            .ready
            .iter()
            .map(|(_, attempt)| *attempt)
            .filter(|attempt| self.is_stale(now_ms, *attempt))
            .collect();
        for attempt in stale {
            self.return_to_group(now_ms, attempt, out);
        }
    }

    fn is_stale(&self, now_ms: u64, attempt: AttemptRef) -> bool {
        let Some(item) = self.items.get(&attempt) else {
            return false;
        };
        let Stage::Ready { since_ms } = item.stage else {
            return false;
        };
        let waited = since_ms + MAX_READY_MS <= now_ms;
        waited || !self.engines.has_untried(&item.lease.service, &item.tried)
    }

    /// Creates lease requests for the free slots that neither waiting items nor
    /// unanswered requests will fill.
    pub(super) fn request_items(&mut self, now_ms: u64) {
        if self.drain_until_ms.is_some() || self.outbox.len() >= MAX_QUEUED_REPORTS {
            return;
        }
        let mut wanted = lease_demand(&self.engines, self.hints.backlog(), now_ms);
        for (_, attempt) in &self.ready {
            if let Some(item) = self.items.get(attempt) {
                subtract(&mut wanted, &item.lease.service, 1);
            }
        }
        for want in self.leases.requested() {
            subtract(&mut wanted, &want.service, want.limit);
        }
        let leases = &self.leases;
        let requests = self
            .hints
            .lease_requests(now_ms, wanted, |group| !leases.has_request(group));
        for (group, wants) in requests {
            self.leases.add_request(now_ms, group, wants);
        }
    }
}

fn subtract(wanted: &mut BTreeMap<ServiceName, u32>, service: &ServiceName, count: u32) {
    if let Some(wanted) = wanted.get_mut(service) {
        *wanted = wanted.saturating_sub(count);
    }
}
