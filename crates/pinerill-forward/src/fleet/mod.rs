//! Each node's view of all workers, and the selection of a worker for a request.
//!
//! [`Fleet`] does no I/O and reads no clock: its caller passes in the time, directories, load
//! samples, failures and reports of other nodes, and asks it for a worker. Estimates carry the time
//! at which they were received, and expire or fade with age.

mod choice;
mod cost;
mod eligibility;
mod incarnations;
mod items;
pub mod pace;
mod paces;
mod peers;
mod prefixes;
mod slow_start;
mod software;
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
use pinerill_calls::version_history::VersionHistory;

use self::eligibility::ConfirmationLease;
use self::incarnations::Incarnations;
use self::pace::USUAL_PACE;
use self::paces::Paces;
use self::peers::PeerReports;

pub use choice::{Placement, PlacementRequest};
pub use eligibility::Eligibility;
pub use items::ItemTime;
pub use pace::WorkerPace;
pub use paces::{KnownPace, MAX_PACES_PER_MESSAGE};
pub(crate) use peers::{hash_name, hash_with_node};
pub use peers::{ReportOrder, WorkerCount, WorkerKey};
pub use prefixes::{PrefixMemory, Prompt};
pub use slow_start::SlowStartPermit;
pub use software::{
    ListedVersions, RequiredSoftware, ServiceKey, SoftwareVersion, StreamOrigin, WorkerSoftware,
};
pub use worker::Worker;

/// Settings for the selection of workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that a worker processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost in milliseconds of a worker in another zone.
    pub other_zone_ms: f64,
    /// Fraction of a worker's slots up to which batch items start there; slots in use by calls
    /// count towards it.
    pub batch_share: f64,
    /// Time in milliseconds, from when a worker is shown as leaving, after which no new request may
    /// reach it.
    pub leave_notice_ms: u64,
    /// Age in milliseconds below which a worker's load sample tells how long its work takes at this
    /// moment; 0, the default, to ignore it.
    pub moment_age_ms: u64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            prefill_tokens_per_ms: 50.0,
            other_zone_ms: 40.0,
            batch_share: 0.84,
            leave_notice_ms: 3_000,
            moment_age_ms: 0,
        }
    }
}

/// All known workers, by identifier and by service, as seen from one zone.
#[derive(Debug)]
pub struct Fleet {
    zone: String,
    /// Regions of the zones; zones without a known region are missing.
    regions: BTreeMap<String, String>,
    settings: ChoiceSettings,
    workers: HashMap<WorkerId, Worker>,
    by_service: HashMap<String, Vec<WorkerId>>,
    by_key: HashMap<WorkerKey, WorkerId>,
    incarnations: Incarnations,
    versions: VersionHistory,
    /// Zones whose workers receive no new requests. `None` before the leader has sent any state.
    evacuations: Option<Evacuations>,
    /// Slow-start settings of the services that limit requests to cold workers.
    slow_starts: HashMap<String, SlowStart>,
    peers: PeerReports,
    paces: Paces,
    /// Time on the node's clock as of which the directory matches the platform list. Negative if
    /// the list was read before the node started, `None` before the first confirmation.
    listed_ms: Option<i64>,
}

/// A worker that is no longer listed in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedWorker {
    /// Last directory entry of the worker.
    pub entry: Arc<WorkerEntry>,
    /// Whether a later incarnation of the worker is listed, so that its process has certainly
    /// ended.
    pub is_restarted: bool,
}

impl Fleet {
    /// Creates a fleet without workers, as seen from `zone`.
    pub fn new(zone: &str, settings: ChoiceSettings) -> Self {
        Fleet {
            zone: zone.to_owned(),
            regions: BTreeMap::new(),
            settings,
            workers: HashMap::new(),
            by_service: HashMap::new(),
            by_key: HashMap::new(),
            incarnations: Incarnations::default(),
            versions: VersionHistory::default(),
            evacuations: None,
            slow_starts: HashMap::new(),
            peers: PeerReports::default(),
            paces: Paces::default(),
            listed_ms: None,
        }
    }

    /// Sets the region of each zone.
    pub fn with_regions(mut self, regions: BTreeMap<String, String>) -> Self {
        self.regions = regions;
        self
    }

    /// Replaces the directory and returns the workers that are no longer listed. The state of
    /// workers that remain is kept, and a worker that was draining stays so. Of a restarted worker
    /// only the newest incarnation ever listed counts, and it starts without the state of earlier
    /// ones.
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
        self.record_versions(now_ms);
        self.recompute_peer_counts();
        let removed = earlier.into_values();
        removed
            .map(|worker| RemovedWorker {
                is_restarted: self.incarnations.has_newer(&worker.entry().id),
                entry: worker.entry().clone(),
            })
            .collect()
    }

    /// Applies a listing that this node read itself and whose read began at `began_ms` on its
    /// clock. Returns `None` and changes nothing if the directory is already confirmed as of that
    /// time or later. Without this check, a read of many slow pages that ends after a newer update
    /// from the leader would bring back a removed worker as one that stays.
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

    /// Records the software versions that a listing states for workers whose version is not known.
    /// An incarnation keeps its version, so that an older listing is as good as a newer one.
    pub fn learn_versions(&mut self, now_ms: u64, entries: &[WorkerEntry]) {
        for entry in entries {
            let worker = self.workers.get_mut(&entry.id);
            if let (Some(worker), Some(version)) = (worker, &entry.version) {
                worker.learn_version(version);
            }
        }
        self.record_versions(now_ms);
    }

    /// Records that the directory matches the platform list as of `listed_ms` or later.
    pub fn confirm_directory(&mut self, listed_ms: i64) {
        self.listed_ms = self.listed_ms.max(Some(listed_ms));
        self.versions.confirm(listed_ms);
    }

    /// Returns the time as of which the directory is known to match the platform list, or `None` if
    /// it was never confirmed.
    pub fn listed_ms(&self) -> Option<i64> {
        self.listed_ms
    }

    /// Records that a worker, when asked at `asked_ms`, confirmed that it stays.
    pub fn confirm_worker(&mut self, asked_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.confirm(asked_ms);
        }
    }

    /// Returns whether a worker may be sent a new request now. Workers that are not listed count as
    /// leaving.
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

    /// Returns whether the directory lists no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the worker, or `None` if it is not listed.
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Records that this node sends the worker a request with an estimated prefill time. Returns
    /// the slow-start permit that the request uses up, if a valid one is held.
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

    /// Like [`Fleet::expect_prefill`], with the worker given by its key.
    pub fn expect_prefill_at(&mut self, now_ms: u64, key: WorkerKey, prefill_ms: f64) {
        if let Some(id) = self.by_key.get(&key).cloned() {
            self.expect_prefill(now_ms, &id, prefill_ms);
        }
    }

    /// Records that another node sent the worker a prompt with this estimated prefill time.
    pub fn expect_prefill(&mut self, now_ms: u64, id: &str, prefill_ms: f64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.expect_prefill(now_ms, prefill_ms);
        }
    }

    /// Records that one of this node's requests at the worker has ended.
    pub fn end_request(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    /// Promises a slot at a worker of this zone to another node. The slot counts as occupied until
    /// `until_ms`. Returns `None` if the worker has no free slot or may not be sent requests.
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

    /// Returns the worker of a slot that was promised or handed over to this node, if the request
    /// may go there. A call that runs once may go only to a proven worker.
    pub fn promised_worker(
        &self,
        now_ms: u64,
        key: WorkerKey,
        request: &PlacementRequest<'_>,
    ) -> Option<ChosenWorker> {
        let worker = self.workers.get(self.by_key.get(&key)?)?;
        let entry = worker.entry();
        let fits = entry.service == request.service
            && !request.except.contains(&entry.id)
            && request.software.allows(&worker.software());
        let serves = entry.state == WorkerState::Ready
            && !self.is_evacuated(&entry.zone)
            && self.may_receive_request(now_ms, worker)
            && !worker.is_avoided(now_ms);
        let is_risky = request.runs_once && !worker.is_proven(now_ms);
        let is_region_allowed = self.is_region_allowed(request.homes, worker);
        (fits && serves && is_region_allowed && !is_risky)
            .then(|| self.to_chosen_worker(now_ms, worker, request.prompt))
    }

    /// Returns the identifier of the worker with this key, or `None` if it is not listed.
    pub fn id_of(&self, key: WorkerKey) -> Option<&WorkerId> {
        self.by_key.get(&key)
    }

    /// Returns the service of a worker, or `None` if the worker is not listed.
    pub fn service_of(&self, id: &str) -> Option<&str> {
        Some(self.workers.get(id)?.entry().service.as_str())
    }

    /// Records the load sample of a worker's answer.
    pub fn record_load(&mut self, now_ms: u64, id: &str, sample: LoadSample) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_load(now_ms, sample);
        }
    }

    /// Records a successful answer of a worker.
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

    /// Records that a worker was unreachable, broke the connection or did not answer in time.
    pub fn record_failure(&mut self, now_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_failure(now_ms);
        }
    }

    /// Records that another node got no answer from a worker.
    pub fn record_suspicion(&mut self, now_ms: u64, node: SocketAddr, key: WorkerKey) {
        let id = self.by_key.get(&key);
        if let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) {
            worker.suspicion.record(now_ms, node);
        }
    }

    /// Records that a worker ended a connection that carried another node's request.
    pub fn record_peer_connection_loss(&mut self, now_ms: u64, key: WorkerKey) {
        let id = self.by_key.get(&key);
        if let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) {
            worker.record_peer_connection_loss(now_ms);
        }
    }

    /// Records that a worker reported that it has no free slot.
    pub fn mark_full(&mut self, now_ms: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mark_full(now_ms);
        }
    }

    /// Marks a worker as draining, because another worker answers at its address.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mark_draining();
        }
    }

    /// Records that a worker has processed a prompt.
    pub fn remember_prompt(&mut self, now_ms: u64, id: &str, prompt: &Prompt) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.prefixes.remember(now_ms, prompt);
        }
    }

    /// Returns whether a service has workers that accept new requests.
    pub fn has_candidates(&self, service: &str) -> bool {
        self.candidates(service).next().is_some()
    }

    fn candidates(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter()
            .filter_map(|id| self.workers.get(id))
            .filter(|worker| worker.entry().state == WorkerState::Ready)
            .filter(|worker| !self.is_evacuated(&worker.entry().zone))
    }
}

/// Worker selected for a request.
#[derive(Debug, Clone)]
pub struct ChosenWorker {
    /// Directory entry of the worker.
    pub entry: Arc<WorkerEntry>,
    /// Estimated time in milliseconds to process the prompt there.
    pub prefill_ms: f64,
    /// State of the worker on which the selection was based.
    pub basis: ChoiceBasis,
}

/// Estimates about a worker at the time of its selection, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceBasis {
    /// Estimated number of requests at the worker.
    pub occupied: f64,
    /// Age in milliseconds of the last load sample; `None` if there is none.
    pub load_age_ms: Option<u64>,
    /// Whether the worker is in this node's zone.
    pub near: bool,
    /// Time that work takes there, relative to the median of its service in this zone.
    pub pace: f64,
}

impl std::fmt::Display for ChoiceBasis {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "occupied {:.1}, load ", self.occupied)?;
        match self.load_age_ms {
            Some(age) => write!(formatter, "{age} ms old")?,
            None => formatter.write_str("unknown")?,
        }
        formatter.write_str(if self.near { ", near" } else { ", far" })?;
        match self.pace == USUAL_PACE {
            true => Ok(()),
            false => write!(formatter, ", pace {:.2}", self.pace),
        }
    }
}
