//! Selects a worker for a call or a batch item: the one expected to produce the first event
//! soonest, with a penalty for other zones.

use std::hash::{DefaultHasher, Hash, Hasher};

use pinerill_calls::directory::WorkerId;
use pinerill_calls::table::AllowedRegions;

use super::prefixes::Prompt;
use super::suspicion;
use super::worker::Worker;
use super::{ChoiceBasis, ChosenWorker, Fleet, WorkerKey};

/// Cost in milliseconds of a full worker compared with an idle one; it grows with the square of the
/// utilization. A step takes hardly longer when other requests run beside it, but the known load is
/// slightly stale, so that several nodes are likely to take the last free slots at once.
const FULL_WORKER_COST_MS: f64 = 30.0;
/// Cost in milliseconds of a worker that is still slow after its start.
const COLD_WORKER_COST_MS: f64 = 50.0;
/// Remaining prefill time in milliseconds that weighs as much as full utilization when a worker is
/// chosen for a batch item.
const PREFILL_SCALE_MS: f64 = 200.0;
/// Fraction of a prefix's prefill time that is counted at the worker to which all nodes of a zone
/// send that prefix, while this node does not know whether the worker has processed it.
const PREFERRED_WORKER_PREFILL_FACTOR: f64 = 0.5;

/// Slots left free at a worker of another zone, because its known load is staler than within its
/// own zone.
const REMOTE_ZONE_SPARE_SLOTS: f64 = 1.0;

/// Requirements that a call or batch item has on its worker.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Prompt of the call, from which the prefill time is estimated.
    pub prompt: &'a Prompt,
    /// Identifiers of workers that must not be chosen.
    pub except: &'a [WorkerId],
    /// Whether the call must not be retried, so that it is lost if its worker fails.
    pub runs_once: bool,
    /// Regions in which the call may be served.
    pub homes: &'a AllowedRegions,
}

/// Result of selecting a worker for a call.
#[derive(Debug, Clone)]
pub enum Placement {
    /// The chosen worker has a free slot.
    Available(ChosenWorker),
    /// No permitted worker has a free slot.
    Full,
    /// The service has no permitted worker.
    NoWorker,
}

/// Capacity available for batch items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchCapacity {
    /// Number of items that this node may start.
    pub items: u32,
}

/// Returns whether a worker has neither recently failed this node nor, if reports are credible,
/// been reported by enough other nodes.
fn is_healthy(now_ms: u64, worker: &Worker, credible: bool) -> bool {
    let suspected = credible && worker.suspicion.is_corroborated(now_ms);
    !worker.is_avoided(now_ms) && !suspected
}

/// Returns whether the other nodes' reports about these workers are credible.
fn are_peer_reports_credible(now_ms: u64, workers: &[&Worker]) -> bool {
    let suspected = workers
        .iter()
        .filter(|one| one.suspicion.is_corroborated(now_ms));
    suspicion::is_credible(suspected.count(), workers.len())
}

impl Fleet {
    /// Selects the worker with the lowest cost among those with a free slot. Workers that recently
    /// failed are considered only if there are no others. The load of workers in a zone that sends
    /// no reports is known only from their answers: such a worker of unknown load is considered
    /// only if this zone has no healthy worker or if the call `explores`. `may_send` is called with
    /// a worker's key and its number of free slots and returns whether this node may send to it.
    ///
    /// A call that runs once goes only to proven workers while there are any, and calls that may be
    /// retried probe the others. The reason is that a worker that closes each connection at once
    /// looks idle and attracts calls. Without this rule, if six of 72 workers do so for 5 s and a
    /// fifth of the calls run once, 425 attempts are answered with a failure.
    pub fn place(
        &self,
        now_ms: u64,
        request: &PlacementRequest<'_>,
        explores: bool,
        mut may_send: impl FnMut(WorkerKey, usize) -> bool,
    ) -> Placement {
        let matching = self.matching_workers(request);
        if matching.is_empty() {
            return Placement::NoWorker;
        }
        let credible = are_peer_reports_credible(now_ms, &matching);
        let is_healthy = |worker: &Worker| is_healthy(now_ms, worker, credible);
        let any_healthy = matching.iter().any(|one| is_healthy(one));
        let is_proven = |worker: &Worker| is_healthy(worker) && worker.is_proven(now_ms);
        let only_proven = request.runs_once && matching.iter().any(|one| is_proven(one));
        let own_zone_serves = matching.iter().any(|one| {
            self.is_in_own_zone(one) && is_healthy(one) && self.may_receive_request(now_ms, one)
        });
        let preferred_worker = self.preferred_worker(request);
        let reporting = self.reporting_zones(now_ms, &matching);
        let available = matching.into_iter().filter(|worker| {
            let excluded =
                (any_healthy && !is_healthy(worker)) || (only_proven && !is_proven(worker));
            let known = self.is_in_own_zone(worker)
                || reporting.contains(&worker.entry().zone)
                || worker.is_load_known(now_ms);
            let spare = if self.is_in_own_zone(worker) {
                0.0
            } else {
                REMOTE_ZONE_SPARE_SLOTS
            };
            !excluded
                && (known || explores || !own_zone_serves)
                && self.may_receive_request(now_ms, worker)
                && worker.has_free_slot(now_ms, spare)
        });
        let scored = available.map(|worker| {
            let is_preferred = preferred_worker == Some(worker.entry().id.as_str());
            let prefill_ms = self.prefill_ms(worker, request.prompt, is_preferred);
            (self.cost_ms(now_ms, worker, prefill_ms), worker)
        });
        let mut scored: Vec<(f64, &Worker)> = scored.collect();
        scored.sort_by(|left, right| left.0.total_cmp(&right.0));
        let best = scored.into_iter().find(|(_, worker)| {
            let key = WorkerKey::from_id(&worker.entry().id);
            may_send(key, worker.free_slots(now_ms))
        });
        match best {
            Some((_, best)) => {
                Placement::Available(self.to_chosen_worker(now_ms, best, request.prompt))
            }
            None => Placement::Full,
        }
    }

    /// Selects the least loaded worker for a batch item that leaves slots free for calls. Workers
    /// of other zones are considered only while this zone has no healthy worker, because items can
    /// wait and the load of other zones is unknown. Returns `None` if no worker has capacity for
    /// the item.
    pub fn choose_for_item(
        &self,
        now_ms: u64,
        request: &PlacementRequest<'_>,
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
        let with_free_slot = candidates().filter(|worker| {
            let in_reach = self.is_in_own_zone(worker) || !own_zone_serves;
            let has_batch_slot = worker.occupied(now_ms) + 1.0 <= worker.slots() * share;
            in_reach && has_batch_slot && !worker.is_full(now_ms)
        });
        let scored = with_free_slot.map(|worker| {
            let utilization = worker.occupied(now_ms) / worker.slots();
            let own_prefill_ms = self.prefill_ms(worker, request.prompt, false);
            let prefill = (worker.remaining_prefill_ms(now_ms) + own_prefill_ms) / PREFILL_SCALE_MS;
            (utilization + prefill, worker)
        });
        let (_, best) = scored.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(self.to_chosen_worker(now_ms, best, request.prompt))
    }

    /// Returns how many items this node may start if `nodes` nodes share the fleet. The workers of
    /// this zone are shared among the nodes of this zone, whose number is estimated as `nodes`
    /// divided by the number of zones with ready workers. If the zone has no workers, all workers
    /// are shared among all nodes.
    pub fn batch_capacity(&self, now_ms: u64, nodes: u32) -> BatchCapacity {
        let share = self.settings.batch_share;
        let free = |worker: &Worker| {
            let healthy = !worker.is_avoided(now_ms) && !self.needs_permit(now_ms, worker);
            let free_slots = worker.slots() * share - worker.occupied(now_ms);
            if healthy {
                free_slots.max(0.0)
            } else {
                0.0
            }
        };
        let ready = || {
            let services = self.by_service.keys();
            services.flat_map(|service| self.candidates(service))
        };
        let mut zones: Vec<&str> = ready().map(|worker| worker.entry().zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let local: f64 = ready()
            .filter(|one| self.is_in_own_zone(one))
            .map(free)
            .sum();
        let has_local_workers = zones.contains(&self.zone.as_str());
        let (free_slots, sharing_nodes) = if has_local_workers {
            (local, f64::from(nodes) / zones.len() as f64)
        } else {
            (ready().map(free).sum(), f64::from(nodes))
        };
        BatchCapacity {
            items: (free_slots / sharing_nodes.max(1.0)) as u32,
        }
    }

    /// Returns the ready workers of the service that the request neither excludes nor bars by
    /// region.
    fn matching_workers(&self, request: &PlacementRequest<'_>) -> Vec<&Worker> {
        let candidates = self.candidates(request.service);
        candidates
            .filter(|worker| !request.except.contains(&worker.entry().id))
            .filter(|worker| self.is_region_allowed(request.homes, worker))
            .collect()
    }

    /// Returns whether a worker is in one of the allowed regions.
    pub(super) fn is_region_allowed(&self, homes: &AllowedRegions, worker: &Worker) -> bool {
        let region = self.regions.get(&worker.entry().zone);
        homes.allows(region.map(String::as_str))
    }

    pub(super) fn to_chosen_worker(
        &self,
        now_ms: u64,
        worker: &Worker,
        prompt: &Prompt,
    ) -> ChosenWorker {
        ChosenWorker {
            entry: worker.entry().clone(),
            prefill_ms: self.prefill_ms(worker, prompt, false),
            basis: ChoiceBasis {
                occupied: worker.occupied(now_ms),
                load_age_ms: worker.load_age_ms(now_ms),
                near: self.is_in_own_zone(worker),
            },
        }
    }

    /// Returns the zones of these workers from which current reports exist.
    fn reporting_zones(&self, now_ms: u64, workers: &[&Worker]) -> Vec<String> {
        let mut zones: Vec<&str> = workers
            .iter()
            .map(|one| one.entry().zone.as_str())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let reporting = zones
            .into_iter()
            .filter(|zone| self.has_current_zone_report(now_ms, zone));
        reporting.map(str::to_owned).collect()
    }

    fn is_in_own_zone(&self, worker: &Worker) -> bool {
        worker.entry().zone == self.zone
    }

    fn prefill_ms(&self, worker: &Worker, prompt: &Prompt, is_preferred: bool) -> f64 {
        let uncached = prompt.tokens - worker.prefixes.processed_tokens(prompt).min(prompt.tokens);
        let full_prefill_ms = uncached as f64 / self.settings.prefill_tokens_per_ms;
        if is_preferred {
            full_prefill_ms * PREFERRED_WORKER_PREFILL_FACTOR
        } else {
            full_prefill_ms
        }
    }

    fn cost_ms(&self, now_ms: u64, worker: &Worker, prefill_ms: f64) -> f64 {
        let occupied = worker.occupied(now_ms);
        let utilization = occupied / worker.slots();
        let mut cost = prefill_ms + worker.remaining_prefill_ms(now_ms);
        cost += utilization * utilization * FULL_WORKER_COST_MS;
        if !self.is_in_own_zone(worker) {
            cost += self.settings.other_zone_ms;
        }
        if worker.is_cold(now_ms) && !self.needs_permit(now_ms, worker) {
            cost += COLD_WORKER_COST_MS;
        }
        cost
    }

    /// Returns the worker of this zone to which all its nodes send calls with the same shared
    /// prefix, all else being equal (rendezvous hashing). `None` if the prompt has no shared prefix
    /// or the zone has no ready worker of the service.
    fn preferred_worker(&self, request: &PlacementRequest<'_>) -> Option<&str> {
        let shared = request.prompt.shared_prefix()?;
        let local = self
            .candidates(request.service)
            .filter(|one| self.is_in_own_zone(one));
        let preferred = local.max_by_key(|worker| {
            let mut hasher = DefaultHasher::new();
            (shared, worker.entry().id.as_str()).hash(&mut hasher);
            hasher.finish()
        })?;
        Some(preferred.entry().id.as_str())
    }
}
