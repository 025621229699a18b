//! Limits the requests sent to workers that are still cold.
//!
//! A worker is cold for a while after its start, and after its zone was returned to service. It
//! then handles only a few requests per second from all nodes together. If its service configures a
//! slow-start rate, a request may go to a cold worker only with a permit, which the leader grants.
//! Invariant: a permit admits one request, and none after it has expired.

use pinerill_calls::directory::WorkerId;
use pinerill_calls::message::ColdWorker;
use pinerill_calls::table::{RouteTable, SlowStart};
use pinerill_quota::lender::LONGEST_WAIT_MS;

use super::{Fleet, Worker};

/// Admits one request to a worker that is still cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartPermit {
    /// When the permit expires, in milliseconds on the node's clock.
    until_ms: u64,
}

impl SlowStartPermit {
    /// Creates a permit that was requested at `requested_ms`. It is valid for [`LONGEST_WAIT_MS`]
    /// from then on, because the lender allows for requests that start up to that much later.
    pub fn requested_at(requested_ms: u64) -> Self {
        SlowStartPermit {
            until_ms: requested_ms + LONGEST_WAIT_MS,
        }
    }

    /// Returns whether a request may still be sent with this permit.
    pub fn is_valid(self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}

impl Fleet {
    /// Replaces the slow-start settings of all services with those of a route table.
    pub fn apply_slow_starts(&mut self, table: &RouteTable) {
        let services = table.services.iter();
        self.slow_starts = services
            .filter_map(|service| Some((service.name.clone(), service.slow_start?)))
            .collect();
    }

    /// Records that a worker reported itself cold for another `cold_left_ms` milliseconds.
    pub fn extend_cold_period(&mut self, now_ms: u64, id: &str, cold_left_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.extend_cold_period(now_ms, cold_left_ms);
        }
    }

    /// Records that nothing listens at a worker's address.
    pub fn mark_not_listening(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mark_not_listening();
        }
    }

    /// Returns whether a request with this permit, if any, may be sent to a worker. Called
    /// immediately before the request is written. Workers that are not listed need no permit.
    pub fn is_permitted(&self, now_ms: u64, id: &str, permit: Option<SlowStartPermit>) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let has_valid_permit = permit.is_some_and(|permit| permit.is_valid(now_ms));
        has_valid_permit || !self.needs_permit(now_ms, worker)
    }

    /// Returns whether requests to a worker need a permit.
    pub(super) fn needs_permit(&self, now_ms: u64, worker: &Worker) -> bool {
        worker.is_cold(now_ms) && self.slow_start(worker).is_some()
    }

    /// Returns whether a request could be sent to a worker now: no permit is needed, or one is
    /// held.
    pub(super) fn may_receive_request(&self, now_ms: u64, worker: &Worker) -> bool {
        !self.needs_permit(now_ms, worker) || worker.has_permit(now_ms)
    }

    /// Returns the workers for which this node should request permits. For each service these are
    /// the workers of this zone, or those of other zones while no worker of this zone can serve.
    pub fn cold_workers(&self, now_ms: u64) -> Vec<ColdWorker> {
        let services = self.slow_starts.keys();
        services
            .flat_map(|service| self.cold_workers_for_service(service, now_ms))
            .collect()
    }

    fn cold_workers_for_service(&self, service: &str, now_ms: u64) -> Vec<ColdWorker> {
        let ready = self.candidates(service);
        let healthy: Vec<&Worker> = ready.filter(|one| !one.is_avoided(now_ms)).collect();
        let zone_has_healthy = healthy.iter().any(|one| one.entry().zone == self.zone);
        let needing_permit = healthy.into_iter().filter(|worker| {
            let in_reach = worker.entry().zone == self.zone || !zone_has_healthy;
            in_reach && self.needs_permit(now_ms, worker) && !worker.has_permit(now_ms)
        });
        needing_permit
            .map(|worker| ColdWorker {
                id: worker.entry().id.clone(),
                service: worker.entry().service.clone(),
            })
            .collect()
    }

    /// Stores permits for these workers that were requested at `requested_ms`.
    pub fn add_permits(&mut self, requested_ms: u64, workers: &[WorkerId]) {
        for id in workers {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.set_permit(SlowStartPermit::requested_at(requested_ms));
            }
        }
    }

    fn slow_start(&self, worker: &Worker) -> Option<SlowStart> {
        self.slow_starts.get(&worker.entry().service).copied()
    }
}
