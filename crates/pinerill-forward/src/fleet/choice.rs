//! Selects a worker for a call or a batch item: the one expected to produce the first event
//! soonest, with a penalty for other zones.

use std::hash::{DefaultHasher, Hash, Hasher};

use pinerill_calls::directory::WorkerId;
use pinerill_calls::table::AllowedRegions;

use super::prefixes::Prompt;
use super::software::RequiredSoftware;
use super::suspicion;
use super::worker::Worker;
use super::{ChoiceBasis, ChosenWorker, Fleet, WorkerKey};

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
    /// Software that the worker must run.
    pub software: RequiredSoftware,
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

/// Returns whether a worker has neither recently failed this node nor, if reports are credible,
/// been reported by enough other nodes.
pub(super) fn is_healthy(now_ms: u64, worker: &Worker, credible: bool) -> bool {
    let suspected = credible && worker.suspicion.is_corroborated(now_ms);
    !worker.is_avoided(now_ms) && !suspected
}

/// Returns whether the other nodes' reports about these workers are credible.
pub(super) fn are_peer_reports_credible(now_ms: u64, workers: &[&Worker]) -> bool {
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
    /// looks idle and attracts calls.
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
        self.prefer_faster(now_ms, request.service, &mut scored);
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

    /// Returns whether the service has a worker that the request may go to, full or not.
    pub fn has_permitted_worker(&self, request: &PlacementRequest<'_>) -> bool {
        self.candidates(request.service)
            .any(|worker| self.is_permitted_by(request, worker))
    }

    /// Returns the ready workers of the service that the request neither excludes nor bars by
    /// region or software.
    pub(super) fn matching_workers(&self, request: &PlacementRequest<'_>) -> Vec<&Worker> {
        self.candidates(request.service)
            .filter(|worker| self.is_permitted_by(request, worker))
            .collect()
    }

    fn is_permitted_by(&self, request: &PlacementRequest<'_>, worker: &Worker) -> bool {
        !request.except.contains(&worker.entry().id)
            && request.software.allows(&worker.software())
            && self.is_region_allowed(request.homes, worker)
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
                pace: worker.pace,
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

    pub(super) fn is_in_own_zone(&self, worker: &Worker) -> bool {
        worker.entry().zone == self.zone
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
