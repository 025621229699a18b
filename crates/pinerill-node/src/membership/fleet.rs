//! The workers and engines that this node uses, shared by request handling,
//! batch, the control watch and the worker poller.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};
use pinerill_types::settings::NodeSettings;
use pinerill_types::{EngineId, NodeName, ZoneName};
use pinerill_wire::message::{DirectoryUpdate, LeavingSign, WorkerRecord, WorkerState};
use tokio::sync::Notify;

use super::directory::Directory;
use super::engine::{Engine, Worker, WorkerEntry};
use super::report::WorkerReport;
use super::view::{engines_by_service, FleetView};
use crate::clock;
use crate::configuration::Catalog;
use crate::engine::{parse_load_header, LoadHeader};
use crate::metrics::Metrics;
use crate::routing::{rendezvous_owner, select_workers, PrefixHints};

/// Selects the workers that this node uses and publishes them as a
/// [`FleetView`], which is rebuilt when the directory, the bundle or the state
/// of a worker changes.
#[derive(Debug)]
pub struct Fleet {
    node: NodeName,
    zones: Vec<ZoneName>,
    subset: usize,
    directory: Mutex<Directory>,
    catalog: Mutex<Option<Arc<Catalog>>>,
    view: RwLock<Arc<FleetView>>,
    draining: AtomicBool,
    metrics: Arc<Metrics>,
    leaving: Mutex<BTreeSet<LeavingSign>>,
    /// Prompt prefixes that engines reported as cached.
    pub hints: Mutex<PrefixHints>,
    /// Interrupts the open control watch so that a newly leaving worker or the
    /// draining of this node is reported at once.
    pub watch_interrupt: Notify,
    /// Notifies all waiters that engines or their load changed.
    pub changed: Notify,
    /// Notifies the worker poller that the view was rebuilt.
    pub members_changed: Notify,
    /// Wakes the batch scheduler when online work may have arrived.
    pub online_arrived: Notify,
}

impl Fleet {
    /// Creates a fleet without workers; they come with the first directory.
    pub fn new(settings: &NodeSettings, metrics: Arc<Metrics>) -> Self {
        let mut zones = vec![settings.zone.clone()];
        zones.extend(settings.neighbours.iter().cloned());
        Self {
            node: settings.name.clone(),
            zones,
            subset: settings.worker_subset as usize,
            directory: Mutex::default(),
            catalog: Mutex::default(),
            view: RwLock::default(),
            draining: AtomicBool::new(false),
            metrics,
            leaving: Mutex::default(),
            hints: Mutex::default(),
            watch_interrupt: Notify::new(),
            changed: Notify::new(),
            members_changed: Notify::new(),
            online_arrived: Notify::new(),
        }
    }

    /// Returns the zones whose workers this node may use, nearest first.
    pub fn zones(&self) -> &[ZoneName] {
        &self.zones
    }

    /// Returns the epoch and revision of the directory.
    pub fn directory_position(&self) -> (u64, u64) {
        self.directory.lock().position()
    }

    /// Returns the current snapshot, which later changes do not alter.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.read().clone()
    }

    /// Applies a directory update and rebuilds the view, unless the update is
    /// ignored as outdated.
    pub fn apply_directory_update(&self, update: &DirectoryUpdate) {
        if self.directory.lock().apply(update) {
            self.rebuild();
        }
    }

    /// Sets the bundle in force and rebuilds the view.
    pub fn set_catalog(&self, catalog: Arc<Catalog>) {
        *self.catalog.lock() = Some(catalog);
        self.rebuild();
    }

    /// Starts draining this node: it gives up batch scheduling on all workers and
    /// reports the draining to control at once.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.rebuild();
        self.watch_interrupt.notify_one();
    }

    /// Returns whether this node is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn rebuild(&self) {
        let directory = self.directory.lock();
        let mut view_slot = self.view.write();
        let records = directory.workers().values();
        let present = records.filter(|worker| worker.state != WorkerState::Gone);
        let selected = select_workers(&self.node, &self.zones, self.subset, present);
        let mut workers = BTreeMap::new();
        for (rank, record) in selected {
            let known = view_slot.workers.get(&record.name);
            if let Some(entry) = self.entry(rank as u32, record, known) {
                let driven = self.drives(&directory, record);
                entry.worker.driven.store(driven, Ordering::Relaxed);
                workers.insert(record.name.clone(), entry);
            }
        }
        let catalog = self.catalog.lock().clone();
        let services = catalog.map(|catalog| engines_by_service(&workers, &catalog));
        let services = services.unwrap_or_default();
        *view_slot = Arc::new(FleetView { workers, services });
        drop(view_slot);
        self.members_changed.notify_one();
        self.changed.notify_waiters();
    }

    fn entry(
        &self,
        zone_rank: u32,
        record: &WorkerRecord,
        known: Option<&WorkerEntry>,
    ) -> Option<WorkerEntry> {
        let same = known.filter(|entry| {
            entry.worker.address == record.address
                && entry.worker.zone == record.zone
                && entry.engines.len() == usize::from(record.engines)
        });
        if let Some(entry) = same {
            entry.worker.health.lock().update_listing(record);
            return Some(entry.clone());
        }
        WorkerEntry::new(zone_rank, record)
            .map_err(|error| log::error!("no client for worker {}: {error}", record.name))
            .ok()
    }

    /// Returns whether this node schedules batch work on a worker. Rendezvous
    /// hashing picks one owner among the nodes that are not draining in the
    /// worker's zone, or in all zones of this node if that zone has none.
    fn drives(&self, directory: &Directory, worker: &WorkerRecord) -> bool {
        if self.is_draining() {
            return false;
        }
        let own_zone = &self.zones[0];
        let others = directory
            .nodes()
            .values()
            .filter(|node| !node.draining && node.name != self.node)
            .map(|node| (&node.name, &node.zone));
        let live: Vec<(&NodeName, &ZoneName)> = others.chain([(&self.node, own_zone)]).collect();
        let local = live.iter().any(|(_, zone)| **zone == worker.zone);
        let eligible = live.iter().filter(|(_, zone)| {
            if local {
                **zone == worker.zone
            } else {
                self.zones.contains(zone)
            }
        });
        rendezvous_owner(&worker.name, eligible.map(|(name, _)| *name)) == Some(&self.node)
    }

    /// Applies a load report of a worker. Rebuilds the view if the worker's
    /// leaving state or an engine's capabilities changed.
    pub fn apply_report(&self, entry: &WorkerEntry, report: &WorkerReport) {
        let now_ms = clock::now_ms();
        let was_leaving = entry.worker.is_leaving();
        let first_sign = entry
            .worker
            .health
            .lock()
            .apply_report(report.incarnation, report.leaving);
        if first_sign {
            self.announce_leaving(&entry.worker);
        }
        let mut changed = was_leaving != entry.worker.is_leaving();
        let mut more_online = false;
        for engine_report in &report.engines {
            let number = usize::from(engine_report.engine);
            if let Some(engine) = entry.engines.get(number) {
                let changes = engine.apply_report(now_ms, engine_report, &self.metrics);
                changed |= changes.capabilities_changed;
                more_online |= changes.more_online;
            }
        }
        if changed {
            self.rebuild();
        }
        self.changed.notify_waiters();
        if changed || more_online {
            self.online_arrived.notify_one();
        }
    }

    /// Applies the load header of an engine's response and wakes the batch
    /// scheduler if other nodes run more online requests there than before.
    pub fn apply_load_header(&self, engine: &Engine, header: &LoadHeader) {
        if engine.apply_load_header(clock::now_ms(), header) {
            self.online_arrived.notify_one();
        }
    }

    /// Returns an engine of the current view, or None if this node does not use
    /// it.
    pub fn engine(&self, id: &EngineId) -> Option<Arc<Engine>> {
        let view = self.view();
        let entry = view.workers.get(&id.worker)?;
        entry.engines.get(usize::from(id.engine)).cloned()
    }

    /// Records that a worker refused a request because it is leaving.
    pub fn record_leaving_refusal(&self, worker: &Worker) {
        let first = worker.health.lock().mark_leaving();
        if first {
            self.announce_leaving(worker);
            self.rebuild();
        }
    }

    /// Records that an engine refused a request because `model`, which it had
    /// reported, is not loaded.
    pub fn record_missing_model(&self, engine: &Engine, model: &str) {
        engine.remove_model(model);
        self.rebuild();
    }

    /// Records that an engine refused to decode because its role changed to
    /// prefill only.
    pub fn record_role_refusal(&self, engine: &Engine) {
        engine.mark_prefill_only();
        self.rebuild();
    }

    fn announce_leaving(&self, worker: &Worker) {
        log::info!("worker {} is leaving", worker.name);
        self.metrics.leaving_signs.inc();
        // The incarnation is unknown before the first report, and that report
        // says again whether the worker is leaving.
        let Some(incarnation) = worker.health.lock().incarnation() else {
            return;
        };
        self.leaving.lock().insert(LeavingSign {
            worker: worker.name.clone(),
            incarnation,
        });
        self.watch_interrupt.notify_one();
    }

    /// Records a failed connection to a worker or a missing load report.
    pub fn connection_failed(&self, worker: &Worker) {
        self.metrics.connect_failures.inc();
        let now_ms = clock::now_ms();
        let mut health = worker.health.lock();
        let before = health.is_suspected(now_ms);
        health.record_failure(now_ms);
        if !before {
            log::debug!("worker {} is suspected", worker.name);
        }
    }

    /// Returns the leaving workers that control has not acknowledged yet.
    pub fn pending_leaving_signs(&self) -> Vec<LeavingSign> {
        self.leaving.lock().iter().cloned().collect()
    }

    /// Removes leaving workers that control has acknowledged.
    pub fn confirm_leaving_signs(&self, signs: &[LeavingSign]) {
        let mut leaving = self.leaving.lock();
        for sign in signs {
            leaving.remove(sign);
        }
    }
}

/// Applies the `X-Load` header of an engine's response to the fleet. A missing or
/// malformed header is ignored.
pub fn record_response_load(fleet: &Fleet, engine: &Engine, response: &reqwest::Response) {
    let header = response.headers().get("X-Load");
    let text = header.and_then(|value| value.to_str().ok());
    if let Some(load) = text.and_then(parse_load_header) {
        fleet.apply_load_header(engine, &load);
    }
}
