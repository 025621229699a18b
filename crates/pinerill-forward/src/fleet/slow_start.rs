//! Which requests may go to workers that are still cold.
//!
//! A worker is cold for a while after its start, or after its zone was returned to service,
//! and bears few requests a second from all nodes together. Where its service says how many,
//! a request goes there only with a permit, which the leader lends. Invariant: one permit
//! lets one request go, and none once its time is up.

use pinerill_calls::directory::WorkerId;
use pinerill_calls::message::ColdWorker;
use pinerill_calls::table::{RouteTable, SlowStart};
use pinerill_quota::lender::LONGEST_WAIT_MS;

use super::{Fleet, Worker};

/// Lets one request go to a worker that is still cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartPermit {
    /// Until when it holds, on the node's clock, milliseconds.
    until_ms: u64,
}

impl SlowStartPermit {
    /// A permit that was asked for at a moment. The lender allows for requests that begin so
    /// much later.
    pub fn requested_at(asked_ms: u64) -> Self {
        SlowStartPermit {
            until_ms: asked_ms + LONGEST_WAIT_MS,
        }
    }

    /// Whether a request may still go by it.
    pub fn is_valid(self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}

impl Fleet {
    /// Takes in how cold workers of each service are spared.
    pub fn apply_slow_starts(&mut self, table: &RouteTable) {
        let services = table.services.iter();
        self.slow_starts = services
            .filter_map(|service| Some((service.name.clone(), service.slow_start?)))
            .collect();
    }

    /// A worker said for how long it is still cold.
    pub fn extend_cold_period(&mut self, now_ms: u64, id: &str, cold_left_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.extend_cold_period(now_ms, cold_left_ms);
        }
    }

    /// Nothing listens at a worker's address.
    pub fn mark_not_listening(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mark_not_listening();
        }
    }

    /// Whether a request may go to a worker with what it holds, right before it is written.
    pub fn is_permitted(&self, now_ms: u64, id: &str, permit: Option<SlowStartPermit>) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let has_valid_permit = permit.is_some_and(|permit| permit.is_valid(now_ms));
        has_valid_permit || !self.needs_permit(now_ms, worker)
    }

    /// Whether requests go to a worker with permits alone.
    pub(super) fn needs_permit(&self, now_ms: u64, worker: &Worker) -> bool {
        worker.is_cold(now_ms) && self.slow_start(worker).is_some()
    }

    /// Whether a request could go to a worker now.
    pub(super) fn may_receive_request(&self, now_ms: u64, worker: &Worker) -> bool {
        !self.needs_permit(now_ms, worker) || worker.has_permit(now_ms)
    }

    /// Workers for which permits can be asked: of each service those of this zone, and the
    /// others while none of its workers in this zone serves.
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
        let wanted = healthy.into_iter().filter(|worker| {
            let in_reach = worker.entry().zone == self.zone || !zone_has_healthy;
            in_reach && self.needs_permit(now_ms, worker) && !worker.has_permit(now_ms)
        });
        wanted
            .map(|worker| ColdWorker {
                id: worker.entry().id.clone(),
                service: worker.entry().service.clone(),
            })
            .collect()
    }

    /// Takes in permits that were asked for at a moment.
    pub fn add_permits(&mut self, asked_ms: u64, workers: &[WorkerId]) {
        for id in workers {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.set_permit(SlowStartPermit::requested_at(asked_ms));
            }
        }
    }

    fn slow_start(&self, worker: &Worker) -> Option<SlowStart> {
        self.slow_starts.get(&worker.entry().service).copied()
    }
}
