//! Selects a worker for a batch item, and the number of items that a node may start.

use std::collections::HashSet;

use pinerill_calls::message::ServiceCapacity;

use super::choice::{are_peer_reports_credible, is_healthy, PlacementRequest};
use super::pace::USUAL_PACE;
use super::worker::Worker;
use super::{ChosenWorker, Fleet};

/// Remaining prefill time in milliseconds that weighs as much as full utilization when a worker is
/// chosen for a batch item.
const PREFILL_SCALE_MS: f64 = 200.0;
/// Cost, in units of full utilization, of a worker that is slower than usual by the time of one whole
/// run, for an item without slack; for an item with slack, of one that is faster by as much.
const PACE_COST: f64 = 1.0;
/// Cost, in the same unit, of a worker at which an item would be late: more than any utilization and
/// pace.
const LATE_COST: f64 = 8.0;
/// Fraction of an item's expected run time by which it must end before its due time, since run times
/// vary.
const TIME_RESERVE: f64 = 0.25;

/// Time of an item that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemTime {
    /// Expected remaining run time at a worker of usual pace, in milliseconds.
    pub remaining_ms: f64,
    /// Time until the item is due, in milliseconds; negative if it is late.
    pub until_due_ms: f64,
}

impl ItemTime {
    /// Returns the cost of a worker of this pace, in units of full utilization; 0 at the usual pace
    /// if the item ends in time there.
    fn pace_cost(&self, pace: f64) -> f64 {
        let expected_ms = self.remaining_ms * pace;
        let slack_ms = self.until_due_ms - expected_ms * (1.0 + TIME_RESERVE);
        match slack_ms >= 0.0 {
            true => (USUAL_PACE - pace) * PACE_COST,
            false => LATE_COST + (pace - USUAL_PACE) * PACE_COST,
        }
    }
}

impl Fleet {
    /// Selects the least loaded worker for a batch item that leaves slots free for calls. Workers
    /// of other zones are considered only while this zone has no healthy worker, because items can
    /// wait and the load of other zones is unknown. Returns `None` if no worker has capacity for
    /// the item.
    pub fn choose_for_item(
        &self,
        now_ms: u64,
        request: &PlacementRequest<'_>,
    ) -> Option<ChosenWorker> {
        self.choose_for_timed_item(now_ms, request, None)
    }

    /// Like [`Fleet::choose_for_item`], for an item whose remaining time is known: an item with slack
    /// goes to slower workers at which it ends in time, any other to faster ones.
    pub fn choose_for_timed_item(
        &self,
        now_ms: u64,
        request: &PlacementRequest<'_>,
        time: Option<ItemTime>,
    ) -> Option<ChosenWorker> {
        let share = self.settings.batch_share;
        let matching = self.matching_workers(request);
        let credible = are_peer_reports_credible(now_ms, &matching);
        let healthy = |worker: &&Worker| is_healthy(now_ms, worker, credible);
        // Items wait for warm workers: the limited capacity of cold workers is left to calls,
        // unless there are no warm ones.
        let any_warm = matching
            .iter()
            .any(|one| healthy(one) && !self.needs_permit(now_ms, one));
        let may_begin = |worker: &&Worker| match any_warm {
            true => !self.needs_permit(now_ms, worker),
            false => self.may_receive_request(now_ms, worker),
        };
        let candidates = || matching.iter().copied().filter(healthy).filter(may_begin);
        let own_zone_serves = candidates().any(|worker| self.is_in_own_zone(worker));
        let paces_differ = candidates().any(|worker| worker.pace != USUAL_PACE);
        let time = time.filter(|_| paces_differ);
        let with_free_slot = candidates().filter(|worker| {
            let in_reach = self.is_in_own_zone(worker) || !own_zone_serves;
            in_reach && free_batch_slots(now_ms, worker, share) >= 1 && !worker.is_full(now_ms)
        });
        let scored = with_free_slot.map(|worker| {
            let utilization = worker.occupied(now_ms) / worker.slots();
            let own_prefill_ms = self.prefill_ms(worker, request.prompt, false);
            let prefill = (worker.remaining_prefill_ms(now_ms) + own_prefill_ms) / PREFILL_SCALE_MS;
            let pace = time.map_or(0.0, |time| time.pace_cost(worker.pace));
            (utilization + prefill + pace, worker)
        });
        let (_, best) = scored.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(self.to_chosen_worker(now_ms, best, request.prompt))
    }

    /// Returns how many items of each service this node may start if `nodes` nodes share the fleet;
    /// services of which it may start none are missing. The workers of this zone are shared among the
    /// nodes of this zone, whose number is estimated as `nodes` divided by the number of zones with
    /// ready workers. If a service has no workers in this zone, all its workers are shared among all
    /// nodes. `draw` returns random numbers between 0 and 1, which decide whether a fraction of an
    /// item is rounded up: otherwise nobody would start items where nodes outnumber free slots.
    pub fn batch_capacities(
        &self,
        now_ms: u64,
        nodes: u32,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<ServiceCapacity> {
        let nodes = f64::from(nodes.max(1));
        let zone_nodes = (nodes / self.zones_with_workers().max(1) as f64).max(1.0);
        let mut services: Vec<&String> = self.by_service.keys().collect();
        services.sort_unstable();
        let capacities = services.into_iter().map(|service| {
            let ready = || self.candidates(service);
            let is_near = |worker: &&Worker| self.is_in_own_zone(worker);
            let share = match ready().any(|worker| is_near(&worker)) {
                true => self.sum_batch_slots(now_ms, ready().filter(is_near)) / zone_nodes,
                false => self.sum_batch_slots(now_ms, ready()) / nodes,
            };
            ServiceCapacity {
                service: service.clone(),
                items: (share + draw()) as u32,
            }
        });
        capacities.filter(|capacity| capacity.items > 0).collect()
    }

    /// Returns whether a worker of the service that this node uses has a free slot for an item.
    pub fn has_batch_slot(&self, now_ms: u64, service: &str) -> bool {
        let is_near = |worker: &&Worker| self.is_in_own_zone(worker);
        let near = self.sum_batch_slots(now_ms, self.candidates(service).filter(is_near));
        let is_served_here = self.candidates(service).any(|worker| is_near(&worker));
        near > 0.0
            || !is_served_here && self.sum_batch_slots(now_ms, self.candidates(service)) > 0.0
    }

    fn zones_with_workers(&self) -> usize {
        let services = self.by_service.keys();
        let ready = services.flat_map(|service| self.candidates(service));
        let zones: HashSet<&str> = ready.map(|worker| worker.entry().zone.as_str()).collect();
        zones.len()
    }

    /// Returns the number of slots that are free for items at those of the workers that may be sent
    /// items.
    fn sum_batch_slots<'a>(&self, now_ms: u64, workers: impl Iterator<Item = &'a Worker>) -> f64 {
        let may_begin =
            |worker: &&Worker| !worker.is_avoided(now_ms) && !self.needs_permit(now_ms, worker);
        let share = self.settings.batch_share;
        let slots = workers.filter(may_begin);
        let slots: u32 = slots
            .map(|worker| free_batch_slots(now_ms, worker, share))
            .sum();
        f64::from(slots)
    }

    /// Returns the pace at which items of this node are expected to run: the mean of the workers of
    /// this zone, by the slots that are free for items there. 1 if none is free.
    pub fn batch_pace(&self, now_ms: u64) -> f64 {
        let (mut slots, mut weighted) = (0.0, 0.0);
        let services = self.by_service.keys();
        let ready = services.flat_map(|service| self.candidates(service));
        let may_begin = |worker: &&Worker| {
            self.is_in_own_zone(worker)
                && !worker.is_avoided(now_ms)
                && !self.needs_permit(now_ms, worker)
        };
        for worker in ready.filter(may_begin) {
            let free = worker.slots() * self.settings.batch_share - worker.occupied(now_ms);
            slots += free.max(0.0);
            weighted += free.max(0.0) * worker.pace;
        }
        match slots > 0.0 {
            true => weighted / slots,
            false => USUAL_PACE,
        }
    }
}

/// Returns the number of slots of a worker that are free for items: those of its slots that items may
/// use, less the occupied ones.
fn free_batch_slots(now_ms: u64, worker: &Worker, share: f64) -> u32 {
    (worker.slots() * share - worker.occupied(now_ms)).max(0.0) as u32
}
