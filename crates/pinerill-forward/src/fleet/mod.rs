//! Workers as this node sees them, and the choice of one.
//!
//! [`Fleet`] is pure: it is told of directories, load samples and failures and
//! is asked for a worker. Its beliefs carry the time at which they were learnt
//! and fade with it.

mod choice;
mod eligibility;
mod incarnations;
mod peers;
mod prefixes;
mod slow_start;
mod suspicion;
mod worker;
mod zones;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::protocol::LoadSample;
use pinerill_calls::table::SlowStart;

use self::eligibility::ConfirmationLease;
use self::incarnations::Incarnations;
use self::peers::PeerReports;

pub use choice::{BatchCapacity, Placement, PlacementRequest};
pub use eligibility::Eligibility;
pub use peers::{ReportOrder, WorkerCount, WorkerKey};
pub use prefixes::{PrefixMemory, Prompt};
pub use slow_start::SlowStartPermit;
pub use worker::Worker;

/// Weights of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that a worker reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What a worker in another zone costs, milliseconds.
    pub other_zone_ms: f64,
    /// Part of a worker's slots up to which items of jobs begin there; calls count.
    pub batch_share: f64,
    /// Time from a worker's notice after which nothing new may reach it, milliseconds.
    pub leave_notice_ms: u64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            prefill_tokens_per_ms: 50.0,
            other_zone_ms: 40.0,
            batch_share: 0.84,
            leave_notice_ms: 3_000,
        }
    }
}

/// All workers, by service.
#[derive(Debug)]
pub struct Fleet {
    zone: String,
    /// Regions of the zones, as far as they are known.
    regions: BTreeMap<String, String>,
    settings: ChoiceSettings,
    workers: HashMap<WorkerId, Worker>,
    by_service: HashMap<String, Vec<WorkerId>>,
    by_key: HashMap<WorkerKey, WorkerId>,
    incarnations: Incarnations,
    /// Zones whose workers get nothing new; none before the leader told.
    evacuations: Option<Evacuations>,
    /// How cold workers of a service are spared.
    slow_starts: HashMap<String, SlowStart>,
    peers: PeerReports,
    /// As of when the directory is what the platform list shows, on the node's clock; before
    /// zero if the list was read before the node began.
    listed_ms: Option<i64>,
}

/// A worker that the directory names no more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedWorker {
    /// Its last entry.
    pub entry: Arc<WorkerEntry>,
    /// It has started again since, so that its process has ended for certain.
    pub is_restarted: bool,
}

impl Fleet {
    /// A fleet without workers, seen from a zone.
    pub fn new(zone: &str, settings: ChoiceSettings) -> Self {
        Fleet {
            zone: zone.to_owned(),
            regions: BTreeMap::new(),
            settings,
            workers: HashMap::new(),
            by_service: HashMap::new(),
            by_key: HashMap::new(),
            incarnations: Incarnations::default(),
            evacuations: None,
            slow_starts: HashMap::new(),
            peers: PeerReports::default(),
            listed_ms: None,
        }
    }

    /// The same fleet with the region of each zone.
    pub fn with_regions(mut self, regions: BTreeMap<String, String>) -> Self {
        self.regions = regions;
        self
    }

    /// Takes in a whole directory. What is known of workers that stay is kept;
    /// one that was seen leaving stays so. Of a worker that has started again only the
    /// newest start that was ever listed counts, and nothing that was known of it before.
    /// Returns the workers that are gone.
    pub fn apply_directory(&mut self, now_ms: u64, entries: &[WorkerEntry]) -> Vec<RemovedWorker> {
        let mut earlier = std::mem::take(&mut self.workers);
        self.by_service.clear();
        self.by_key.clear();
        self.incarnations.remove_expired(now_ms);
        for entry in entries {
            if !self.incarnations.record_if_newest(now_ms, &entry.id) {
                continue;
            }
            let worker = match earlier.remove(&entry.id) {
                Some(mut known) => {
                    known.update_entry(now_ms, entry);
                    known
                }
                None => Worker::new(now_ms, entry.clone()),
            };
            self.workers.insert(entry.id.clone(), worker);
            self.by_key
                .insert(WorkerKey::from_id(&entry.id), entry.id.clone());
            let service = self.by_service.entry(entry.service.clone());
            service.or_default().push(entry.id.clone());
        }
        self.recompute_peer_counts();
        let removed = earlier.into_values();
        removed
            .map(|worker| RemovedWorker {
                is_restarted: self.incarnations.has_newer(&worker.entry().id),
                entry: worker.entry().clone(),
            })
            .collect()
    }

    /// Takes in a reading of the list that this node made itself and that began at a moment on
    /// its clock. None, and nothing is taken, if the directory shows the list as of a later
    /// moment: a reading of many slow pages may end behind the leader's news, and would bring
    /// back a worker that is gone as one that stays.
    pub fn apply_listing(
        &mut self,
        now_ms: u64,
        began_ms: i64,
        entries: &[WorkerEntry],
    ) -> Option<Vec<RemovedWorker>> {
        if self.listed_ms >= Some(began_ms) {
            return None;
        }
        let removed = self.apply_directory(now_ms, entries);
        self.confirm_directory(began_ms);
        Some(removed)
    }

    /// The directory is what the list showed at a moment, or showed since.
    pub fn confirm_directory(&mut self, listed_ms: i64) {
        self.listed_ms = self.listed_ms.max(Some(listed_ms));
    }

    /// As of when the directory is known to be what the list shows.
    pub fn listed_ms(&self) -> Option<i64> {
        self.listed_ms
    }

    /// A worker said of itself that it stays, when it was asked at that moment.
    pub fn confirm_worker(&mut self, asked_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.confirm(asked_ms);
        }
    }

    /// Whether a worker may be sent something new now.
    pub fn eligibility(&self, now_ms: u64, id: &str) -> Eligibility {
        let Some(worker) = self.workers.get(id) else {
            return Eligibility::Leaving;
        };
        if worker.entry().state == WorkerState::Draining {
            return Eligibility::Leaving;
        }
        if self.is_evacuated(&worker.entry().zone) {
            return Eligibility::Evacuated;
        }
        let lease = ConfirmationLease::new(self.settings.leave_notice_ms);
        match lease.is_valid(
            now_ms,
            self.listed_ms
                .max(worker.confirmed_ms().map(|ms| ms as i64)),
        ) {
            true => Eligibility::Confirmed,
            false => Eligibility::Unconfirmed,
        }
    }

    /// Whether the directory has any worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The worker, if it is still listed.
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Notes that a request of this node is sent there, whose prompt takes
    /// some time to read. Returns the permit with which it goes, if one is held.
    pub fn begin_request(
        &mut self,
        now_ms: u64,
        id: &str,
        prefill_ms: f64,
    ) -> Option<SlowStartPermit> {
        let worker = self.workers.get_mut(id)?;
        worker.in_flight += 1;
        worker.expect_prefill(now_ms, prefill_ms);
        worker.take_permit(now_ms)
    }

    /// The same by the worker's key.
    pub fn expect_prefill_at(&mut self, now_ms: u64, key: WorkerKey, prefill_ms: f64) {
        if let Some(id) = self.by_key.get(&key).cloned() {
            self.expect_prefill(now_ms, &id, prefill_ms);
        }
    }

    /// Notes that another node sent a prompt there.
    pub fn expect_prefill(&mut self, now_ms: u64, id: &str, prefill_ms: f64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.expect_prefill(now_ms, prefill_ms);
        }
    }

    /// Notes that a request there has ended.
    pub fn end_request(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    /// Promises a place at a worker of this zone to another node, if one is free there
    /// and the worker is sound. Until `until_ms` it counts as taken.
    pub fn promise_slot(&mut self, now_ms: u64, id: &str, until_ms: u64) -> Option<WorkerKey> {
        let known = self.workers.get(id)?;
        let is_restricted =
            self.needs_permit(now_ms, known) || self.is_evacuated(&known.entry().zone);
        let zone = &self.zone;
        let worker = self.workers.get_mut(id)?;
        let serves = worker.entry().zone == *zone
            && worker.entry().state == WorkerState::Ready
            && !is_restricted
            && !worker.is_avoided(now_ms)
            && worker.has_free_slot(now_ms, 0.0);
        serves.then(|| {
            worker.promise_slot(now_ms, until_ms);
            WorkerKey::from_id(id)
        })
    }

    /// The worker of a place that was promised or handed over, if the call may go there: one
    /// that runs once only if the worker is proven.
    pub fn promised_worker(
        &self,
        now_ms: u64,
        key: WorkerKey,
        wanted: &PlacementRequest<'_>,
    ) -> Option<ChosenWorker> {
        let worker = self.workers.get(self.by_key.get(&key)?)?;
        let entry = worker.entry();
        let fits = entry.service == wanted.service && !wanted.except.contains(&entry.id);
        let serves = entry.state == WorkerState::Ready
            && !self.is_evacuated(&entry.zone)
            && self.may_receive_request(now_ms, worker)
            && !worker.is_avoided(now_ms);
        let is_risky = wanted.runs_once && !worker.is_proven(now_ms);
        let is_region_allowed = self.is_region_allowed(wanted.homes, worker);
        (fits && serves && is_region_allowed && !is_risky)
            .then(|| self.to_chosen_worker(now_ms, worker, wanted.prompt))
    }

    /// The service of a worker, if it is listed.
    pub fn service_of(&self, id: &str) -> Option<&str> {
        Some(self.workers.get(id)?.entry().service.as_str())
    }

    /// Takes in a load sample of an answer.
    pub fn record_load(&mut self, now_ms: u64, id: &str, sample: LoadSample) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_load(now_ms, sample);
        }
    }

    /// Notes that a worker answered as it should.
    pub fn record_success(&mut self, now_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            let service = &worker.entry().service;
            let cold_ms = self
                .slow_starts
                .get(service)
                .map(|slow_start| slow_start.duration_ms);
            worker.record_success(now_ms, cold_ms.unwrap_or(0));
        }
    }

    /// Notes that a worker could not be reached, broke off or was silent.
    pub fn record_failure(&mut self, now_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_failure(now_ms);
        }
    }

    /// Another node got no answer of a worker.
    pub fn record_suspicion(&mut self, now_ms: u64, node: SocketAddr, key: WorkerKey) {
        let id = self.by_key.get(&key);
        if let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) {
            worker.suspicion.record(now_ms, node);
        }
    }

    /// A worker ended a connection on which it had a request of another node.
    pub fn record_peer_connection_loss(&mut self, now_ms: u64, key: WorkerKey) {
        let id = self.by_key.get(&key);
        if let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) {
            worker.record_peer_connection_loss(now_ms);
        }
    }

    /// Notes that a worker had no room.
    pub fn mark_full(&mut self, now_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mark_full(now_ms);
        }
    }

    /// Notes that another worker answers at this one's address.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mark_draining();
        }
    }

    /// Remembers that a worker has read a prompt.
    pub fn remember_prompt(&mut self, now_ms: u64, id: &str, prompt: &Prompt) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.prefixes.remember(now_ms, prompt);
        }
    }

    fn candidates(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter()
            .filter_map(|id| self.workers.get(id))
            .filter(|worker| worker.entry().state == WorkerState::Ready)
            .filter(|worker| !self.is_evacuated(&worker.entry().zone))
    }
}

/// A chosen worker.
#[derive(Debug, Clone)]
pub struct ChosenWorker {
    /// The worker.
    pub entry: Arc<WorkerEntry>,
    /// Time that reading the prompt is expected to take there, milliseconds.
    pub prefill_ms: f64,
    /// What decided.
    pub basis: ChoiceBasis,
}

/// What was believed of a worker as it was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceBasis {
    /// Requests there.
    pub occupied: f64,
    /// Age of what others are believed to do there, milliseconds; none if
    /// nothing is known of it.
    pub load_age_ms: Option<u64>,
    /// It is in this node's zone.
    pub near: bool,
}

impl std::fmt::Display for ChoiceBasis {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "occupied {:.1}, load ", self.occupied)?;
        match self.load_age_ms {
            Some(age) => write!(formatter, "{age} ms old")?,
            None => formatter.write_str("unknown")?,
        }
        formatter.write_str(if self.near { ", near" } else { ", far" })
    }
}
