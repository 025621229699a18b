//! The choice of a worker: the one at which the first event is expected
//! soonest, with a price on distance.

use std::hash::{DefaultHasher, Hash, Hasher};

use pinerill_calls::directory::WorkerId;
use pinerill_calls::table::Homes;

use super::prefixes::Prompt;
use super::suspicion;
use super::worker::Worker;
use super::{ChoiceBasis, ChosenWorker, Fleet, WorkerKey};

/// What a full worker costs more than an idle one, milliseconds; it grows with the
/// square of what is filled. A step takes hardly longer beside other requests, but
/// what is known of them is a little old, so that the last free slots are the ones
/// that several nodes take at once.
const FULL_WORKER_COST_MS: f64 = 30.0;
/// What a worker that is still slow after its start costs, milliseconds.
const COLD_WORKER_COST_MS: f64 = 50.0;
/// Prompts still to be read that weigh as much at the choice for an item as all
/// slots being taken, milliseconds.
const PREFILL_SCALE_MS: f64 = 200.0;
/// Part of a prefix's reading time that is counted at the worker to which all
/// nodes of a zone send that prefix, where this node doesn't know it yet.
const PREFERRED_WORKER_PREFILL_FACTOR: f64 = 0.5;

/// Slots that stay free at a worker of another zone: what is known of it is older
/// than what its own zone knows.
const REMOTE_ZONE_SPARE_SLOTS: f64 = 1.0;

/// What a worker is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Workers that are not to be chosen, by identifier.
    pub except: &'a [WorkerId],
    /// The call may run once, so that it is lost if its worker fails.
    pub runs_once: bool,
    /// Regions in which it may be served.
    pub homes: &'a Homes,
}

/// Where a caller's call may go now.
#[derive(Debug, Clone)]
pub enum Placement {
    /// To this worker, which has room.
    Available(ChosenWorker),
    /// No worker that may be asked has room.
    Full,
    /// The service has no worker that may be asked.
    NoWorker,
}

/// Room for items of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchCapacity {
    /// Items that this node may begin.
    pub items: u32,
}

/// Whether a worker neither failed this node a short while ago nor, as far as hearsay is
/// credible, others.
fn is_healthy(now_ms: u64, worker: &Worker, credible: bool) -> bool {
    let suspected = credible && worker.suspicion.is_corroborated(now_ms);
    !worker.is_avoided(now_ms) && !suspected
}

/// Whether what other nodes say of these workers counts.
fn are_peer_reports_credible(now_ms: u64, workers: &[&Worker]) -> bool {
    let suspected = workers
        .iter()
        .filter(|one| one.suspicion.is_corroborated(now_ms));
    suspicion::is_credible(suspected.count(), workers.len())
}

impl Fleet {
    /// The worker for a caller's call among those that have room. Workers that
    /// failed a short while ago count only if there is no other. A worker of a zone that
    /// tells nothing is known only from its answers: one of which nothing is known
    /// counts if this zone has no sound worker, or if the call `explores`. Of a worker with
    /// room, and so many free places, `may_take` says whether this node may send there.
    ///
    /// A call that runs once goes to proven workers alone, while there are some: calls that
    /// may run again find out about the others. A worker that ends each connection at once
    /// looks idle and draws calls. On a day on which six of 72 workers do so for 5 s and a
    /// fifth of the calls runs once, 425 tries were answered with a failure before.
    pub fn place(
        &self,
        now_ms: u64,
        wanted: &PlacementRequest<'_>,
        explores: bool,
        mut may_take: impl FnMut(WorkerKey, usize) -> bool,
    ) -> Placement {
        let matching = self.matching_workers(wanted);
        if matching.is_empty() {
            return Placement::NoWorker;
        }
        let credible = are_peer_reports_credible(now_ms, &matching);
        let is_healthy = |worker: &Worker| is_healthy(now_ms, worker, credible);
        let any_healthy = matching.iter().any(|one| is_healthy(one));
        let is_proven = |worker: &Worker| is_healthy(worker) && worker.is_proven(now_ms);
        let only_proven = wanted.runs_once && matching.iter().any(|one| is_proven(one));
        let zone_serves = matching.iter().any(|one| {
            self.is_in_own_zone(one) && is_healthy(one) && self.may_receive_request(now_ms, one)
        });
        let preferred_worker = self.preferred_worker(wanted);
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
                && (known || explores || !zone_serves)
                && self.may_receive_request(now_ms, worker)
                && worker.has_free_slot(now_ms, spare)
        });
        let scored = available.map(|worker| {
            let is_preferred = preferred_worker == Some(worker.entry().id.as_str());
            let prefill_ms = self.prefill_ms(worker, wanted.prompt, is_preferred);
            (self.cost_ms(now_ms, worker, prefill_ms), worker)
        });
        let mut scored: Vec<(f64, &Worker)> = scored.collect();
        scored.sort_by(|left, right| left.0.total_cmp(&right.0));
        let best = scored.into_iter().find(|(_, worker)| {
            let key = WorkerKey::from_id(&worker.entry().id);
            may_take(key, worker.free_slots(now_ms))
        });
        match best {
            Some((_, best)) => {
                Placement::Available(self.to_chosen_worker(now_ms, best, wanted.prompt))
            }
            None => Placement::Full,
        }
    }

    /// The worker for an item of a job: the emptiest in reach that has room
    /// beside callers' calls. Other zones are in reach while this one has no sound
    /// worker; items can wait, and nothing is known of the load there.
    pub fn choose_for_item(
        &self,
        now_ms: u64,
        wanted: &PlacementRequest<'_>,
    ) -> Option<ChosenWorker> {
        let share = self.settings.batch_share;
        let matching = self.matching_workers(wanted);
        let credible = are_peer_reports_credible(now_ms, &matching);
        let healthy = |worker: &&Worker| is_healthy(now_ms, worker, credible);
        // Items wait for workers that are warm: what cold ones bear is left to calls, unless
        // there are no others.
        let any_warm = matching
            .iter()
            .any(|one| healthy(one) && !self.needs_permit(now_ms, one));
        let may_begin = |worker: &&Worker| match any_warm {
            true => !self.needs_permit(now_ms, worker),
            false => self.may_receive_request(now_ms, worker),
        };
        let candidates = || matching.iter().copied().filter(healthy).filter(may_begin);
        let zone_serves = candidates().any(|worker| self.is_in_own_zone(worker));
        let with_free_slot = candidates().filter(|worker| {
            let in_reach = self.is_in_own_zone(worker) || !zone_serves;
            let has_batch_slot = worker.occupied(now_ms) + 1.0 <= worker.slots() * share;
            in_reach && has_batch_slot && !worker.is_full(now_ms)
        });
        let scored = with_free_slot.map(|worker| {
            let utilization = worker.occupied(now_ms) / worker.slots();
            let own_prefill_ms = self.prefill_ms(worker, wanted.prompt, false);
            let prefill = (worker.remaining_prefill_ms(now_ms) + own_prefill_ms) / PREFILL_SCALE_MS;
            (utilization + prefill, worker)
        });
        let (_, best) = scored.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(self.to_chosen_worker(now_ms, best, wanted.prompt))
    }

    /// Items that this node may begin, if `nodes` nodes share the fleet. The
    /// workers of its zone are shared by the nodes of its zone; where there
    /// are none, all are shared by all.
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

    /// Workers that may be asked at all.
    fn matching_workers(&self, wanted: &PlacementRequest<'_>) -> Vec<&Worker> {
        let candidates = self.candidates(wanted.service);
        candidates
            .filter(|worker| !wanted.except.contains(&worker.entry().id))
            .filter(|worker| self.is_region_allowed(wanted.homes, worker))
            .collect()
    }

    /// Whether a worker stands in a region that is allowed.
    pub(super) fn is_region_allowed(&self, homes: &Homes, worker: &Worker) -> bool {
        let region = self.regions.get(&worker.entry().zone);
        homes.allow(region.map(String::as_str))
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

    /// Zones of these workers whose nodes tell what they have in flight.
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
        let uncached = prompt.tokens - worker.prefixes.known_tokens(prompt).min(prompt.tokens);
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

    /// The worker of this zone to which all its nodes send calls with the same
    /// shared prefix, if nothing else counts (rendezvous hashing).
    fn preferred_worker(&self, wanted: &PlacementRequest<'_>) -> Option<&str> {
        let shared = wanted.prompt.shared_prefix()?;
        let local = self
            .candidates(wanted.service)
            .filter(|one| self.is_in_own_zone(one));
        let preferred = local.max_by_key(|worker| {
            let mut hasher = DefaultHasher::new();
            (shared, worker.entry().id.as_str()).hash(&mut hasher);
            hasher.finish()
        })?;
        Some(preferred.entry().id.as_str())
    }
}
