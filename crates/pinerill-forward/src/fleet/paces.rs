//! Combines this node's and its peers' observations into the paces of the workers of this zone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::pace::{
    combined_gap_us, median, pace, GapWindow, Observation, WorkerPace, OBSERVATION_LIFETIME_MS,
    USUAL_PACE,
};
use super::{Fleet, ReportOrder, WorkerKey};

/// Limit on the paces in one message, up to 11 bytes each.
pub const MAX_PACES_PER_MESSAGE: usize = 110;
/// Limit on the workers whose pace a node shows in its metrics.
const MAX_TOLD_PACES: usize = 200;
/// Upper bound on the expected run time of a call, in milliseconds.
const MAX_RUN_MS: f64 = 5_000.0;
/// Weight of the latest run in the moving average of a service's run time.
const NEWEST_RUN_WEIGHT: f64 = 0.1;

/// Pace of a worker, with what it is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownPace {
    /// The worker.
    pub worker: WorkerKey,
    /// Time that work takes there, relative to the median of the service.
    pub pace: f64,
    /// Number of gaps behind it, of all nodes.
    pub samples: u32,
    /// Age of the latest observation in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug, Default)]
struct WorkerObservations {
    own: GapWindow,
    is_unsent: bool,
    sent_ms: u64,
    of_peers: HashMap<SocketAddr, Observation>,
    pace: Option<KnownPace>,
    /// Pace that counts when a call is placed while the pace is unknown: that of the fastest worker
    /// of the service, so that the worker gets calls and its pace becomes known.
    assumed_pace: Option<f64>,
}

impl WorkerObservations {
    fn current(&self, now_ms: u64) -> Vec<Observation> {
        let own = self.own.observation();
        let all = self.of_peers.values().copied().chain(own);
        all.filter(|one| !one.is_expired(now_ms)).collect()
    }
}

/// Observed paces of workers, and usual run times of services.
#[derive(Debug, Default)]
pub(super) struct Paces {
    workers: HashMap<WorkerKey, WorkerObservations>,
    run_ms: HashMap<String, f64>,
    orders: HashMap<SocketAddr, (ReportOrder, u64)>,
}

impl Paces {
    /// Returns the expected run time of a call of the service at a worker of usual pace, in
    /// milliseconds; 0 if unknown.
    pub(super) fn run_ms(&self, service: &str) -> f64 {
        self.run_ms.get(service).copied().unwrap_or(0.0)
    }
}

impl Fleet {
    /// Returns the pace of a worker: the time that work takes there, relative to the median of its
    /// service in this zone. 1 if it is unknown or within the tolerance.
    pub fn pace_of(&self, id: &str) -> f64 {
        self.workers.get(id).map_or(USUAL_PACE, |one| one.pace)
    }

    /// Records the time between two events of a stream of a worker of this zone.
    pub fn record_gap(&mut self, now_ms: u64, id: &str, gap: Duration) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.entry().zone != self.zone {
            return;
        }
        let gap_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        let key = WorkerKey::from_id(id);
        let observations = self.paces.workers.entry(key).or_default();
        if observations.own.record(now_ms, gap_us) {
            observations.is_unsent = true;
        }
    }

    /// Records how long a whole call ran at a worker.
    pub fn record_run(&mut self, id: &str, run: Duration) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let run_ms = (run.as_secs_f64() * 1_000.0 / self.pace_of(id)).min(MAX_RUN_MS);
        let service = worker.entry().service.clone();
        let average = self.paces.run_ms.entry(service).or_insert(run_ms);
        *average += (run_ms - *average) * NEWEST_RUN_WEIGHT;
    }

    /// Records the paces that a node of this zone has observed. Returns false, and changes nothing,
    /// if the same or a newer message of that node arrived before.
    pub fn record_peer_paces(
        &mut self,
        now_ms: u64,
        peer: SocketAddr,
        order: ReportOrder,
        paces: &[WorkerPace],
    ) -> bool {
        let earlier = self.paces.orders.get(&peer);
        if earlier.is_some_and(|(earlier, _)| !order.is_newer_than(*earlier)) {
            return false;
        }
        self.paces.orders.insert(peer, (order, now_ms));
        for pace in paces.iter().take(MAX_PACES_PER_MESSAGE) {
            let is_local = self.is_local_key(pace.worker);
            let Some(observation) = Observation::from_peer(now_ms, pace).filter(|_| is_local)
            else {
                continue;
            };
            let observations = self.paces.workers.entry(pace.worker).or_default();
            observations.of_peers.insert(peer, observation);
        }
        true
    }

    /// Returns the own observations with gaps that were not sent yet, at most as many as fit into a
    /// message; those that were sent least recently first. They then count as sent.
    pub fn take_unsent_paces(&mut self, now_ms: u64) -> Vec<WorkerPace> {
        let workers = self.paces.workers.iter_mut();
        let mut unsent: Vec<_> = workers.filter(|(_, one)| one.is_unsent).collect();
        unsent.sort_unstable_by_key(|(_, one)| one.sent_ms);
        unsent.truncate(MAX_PACES_PER_MESSAGE);
        let paces = unsent.into_iter().filter_map(|(worker, one)| {
            one.is_unsent = false;
            one.sent_ms = now_ms;
            let observation = one.own.observation()?;
            Some(WorkerPace {
                worker: *worker,
                event_gap_us: observation.gap_us,
                samples: observation.samples,
            })
        });
        paces.collect()
    }

    /// Returns whether a worker with this key is listed in this zone.
    fn is_local_key(&self, key: WorkerKey) -> bool {
        let worker = self.by_key.get(&key).and_then(|id| self.workers.get(id));
        worker.is_some_and(|worker| self.is_in_own_zone(worker))
    }

    /// Computes the paces anew, and forgets workers that are not listed in this zone and observations
    /// that have expired. Returns the workers that have left or reentered the tolerance.
    pub fn refresh_paces(&mut self, now_ms: u64) -> Vec<KnownPace> {
        let mut paces = std::mem::take(&mut self.paces);
        paces
            .orders
            .retain(|_, (_, at_ms)| now_ms < at_ms.saturating_add(OBSERVATION_LIFETIME_MS));
        paces.workers.retain(|worker, _| self.is_local_key(*worker));
        paces
            .run_ms
            .retain(|service, _| self.by_service.contains_key(service));
        let mut changed = Vec::new();
        for ids in self.by_service.values() {
            let local = ids.iter().filter(|id| {
                let worker = self.workers.get(id.as_str());
                worker.is_some_and(|worker| worker.entry().zone == self.zone)
            });
            let local: Vec<WorkerKey> = local.map(|id| WorkerKey::from_id(id)).collect();
            refresh_service(now_ms, &mut paces.workers, &local, &mut changed);
        }
        for (key, observations) in &paces.workers {
            let id = self.by_key.get(key);
            if let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) {
                let known = observations.pace.map(|known| known.pace);
                worker.pace = known.unwrap_or(USUAL_PACE);
                worker.placing_pace = known.or(observations.assumed_pace).unwrap_or(USUAL_PACE);
            }
        }
        self.paces = paces;
        changed
    }

    /// Returns the workers that are out of tolerance, at most 200 of them.
    pub fn unusual_paces(&self) -> Vec<KnownPace> {
        let known = self.paces.workers.values().filter_map(|one| one.pace);
        let unusual = known.filter(|known| known.pace != USUAL_PACE);
        unusual.take(MAX_TOLD_PACES).collect()
    }
}

/// Computes the paces of the workers of one service anew and adds those to `changed` that have left
/// or reentered the tolerance.
fn refresh_service(
    now_ms: u64,
    workers: &mut HashMap<WorkerKey, WorkerObservations>,
    of_service: &[WorkerKey],
    changed: &mut Vec<KnownPace>,
) {
    let mut gaps = Vec::new();
    for key in of_service {
        let worker = workers.entry(*key).or_default();
        worker.of_peers.retain(|_, one| !one.is_expired(now_ms));
        let mut current = worker.current(now_ms);
        let gap_us = combined_gap_us(now_ms, &mut current);
        gaps.push((*key, gap_us, current));
    }
    let mut known: Vec<f64> = gaps.iter().filter_map(|(_, gap_us, _)| *gap_us).collect();
    let median_us = median(&mut known);
    let lowest_us = known.iter().copied().reduce(f64::min);
    let assumed = lowest_us
        .zip(median_us)
        .map(|(lowest, median)| pace(lowest, median, false));
    for (key, gap_us, current) in gaps {
        let Some(worker) = workers.get_mut(&key) else {
            continue;
        };
        let before = worker.pace.map_or(USUAL_PACE, |known| known.pace);
        let was_out = before != USUAL_PACE;
        let pace = match (gap_us, median_us) {
            (Some(gap_us), Some(median_us)) => pace(gap_us, median_us, was_out),
            _ => USUAL_PACE,
        };
        let latest_ms = current.iter().map(|one| one.at_ms).max();
        let known = KnownPace {
            worker: key,
            pace,
            samples: current.iter().map(|one| u32::from(one.samples)).sum(),
            age_ms: now_ms.saturating_sub(latest_ms.unwrap_or(now_ms)),
        };
        worker.pace = gap_us.map(|_| known);
        worker.assumed_pace = assumed;
        if was_out != (pace != USUAL_PACE) {
            changed.push(known);
        }
    }
}
