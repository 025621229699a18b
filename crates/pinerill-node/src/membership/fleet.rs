//! The workers and engines that this node uses, shared by all its parts.

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

/// The workers that this node uses.
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
    /// Prefixes that engines reported as cached.
    pub hints: Mutex<PrefixHints>,
    /// A sign of leaving waits for control.
    pub leaving_seen: Notify,
    /// Engines or their load changed.
    pub changed: Notify,
    /// Other workers are used now.
    pub members_changed: Notify,
    /// There may be a sign of online work; the batch side waits for it.
    pub online_arrived: Notify,
}

impl Fleet {
    /// An empty fleet.
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
            leaving_seen: Notify::new(),
            changed: Notify::new(),
            members_changed: Notify::new(),
            online_arrived: Notify::new(),
        }
    }

    /// Zones whose workers it uses, nearest first.
    pub fn zones(&self) -> &[ZoneName] {
        &self.zones
    }

    /// Epoch and revision of the directory.
    pub fn directory_position(&self) -> (u64, u64) {
        self.directory.lock().position()
    }

    /// The current view.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.read().clone()
    }

    /// The directory changed.
    pub fn take_directory(&self, update: &DirectoryUpdate) {
        if self.directory.lock().take(update) {
            self.rebuild();
        }
    }

    /// Another bundle is in force.
    pub fn take_catalog(&self, catalog: Arc<Catalog>) {
        *self.catalog.lock() = Some(catalog);
        self.rebuild();
    }

    /// This node stops: it drives no batch any more.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.rebuild();
        self.leaving_seen.notify_one();
    }

    /// Whether this node stops.
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
            entry.worker.health.lock().list(record);
            return Some(entry.clone());
        }
        WorkerEntry::new(zone_rank, record)
            .map_err(|error| log::error!("client of worker {}: {error}", record.name))
            .ok()
    }

    /// Whether this node drives a worker's batch: the owner among live nodes
    /// of the worker's zone, or of all zones in sight when that zone has none.
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

    /// A load report of a worker came.
    pub fn take_report(&self, entry: &WorkerEntry, report: &WorkerReport) {
        let now_ms = clock::now_ms();
        let was_leaving = entry.worker.is_leaving();
        let first_sign = entry
            .worker
            .health
            .lock()
            .report(report.incarnation, report.leaving);
        if first_sign {
            self.note_leaving(&entry.worker);
        }
        let mut changed = was_leaving != entry.worker.is_leaving();
        let mut more_online = false;
        for engine_report in &report.engines {
            let number = usize::from(engine_report.engine);
            if let Some(engine) = entry.engines.get(number) {
                let news = engine.take_report(now_ms, engine_report, &self.metrics);
                changed |= news.holds_other;
                more_online |= news.more_online;
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

    /// The head of an answer of an engine carried its load.
    pub fn take_load_header(&self, engine: &Engine, header: &LoadHeader) {
        if engine.take_load_header(clock::now_ms(), header) {
            self.online_arrived.notify_one();
        }
    }

    /// An engine of the current view.
    pub fn engine(&self, id: &EngineId) -> Option<Arc<Engine>> {
        let view = self.view();
        let entry = view.workers.get(&id.worker)?;
        entry.engines.get(usize::from(id.engine)).cloned()
    }

    /// A worker refused as leaving.
    pub fn record_leaving_refusal(&self, worker: &Worker) {
        let first = worker.health.lock().sign_leaving();
        if first {
            self.note_leaving(worker);
            self.rebuild();
        }
    }

    /// An engine refused for want of a model that it was thought to hold.
    pub fn record_missing_model(&self, engine: &Engine, model: &str) {
        engine.forget_model(model);
        self.rebuild();
    }

    /// An engine refused because it only prefills now.
    pub fn record_role_refusal(&self, engine: &Engine) {
        engine.only_prefills();
        self.rebuild();
    }

    fn note_leaving(&self, worker: &Worker) {
        log::info!("worker {} is leaving", worker.name);
        self.metrics.leaving_signs.inc();
        // Without a report yet, the first one brings the sign.
        let Some(incarnation) = worker.health.lock().incarnation() else {
            return;
        };
        self.leaving.lock().insert(LeavingSign {
            worker: worker.name.clone(),
            incarnation,
        });
        self.leaving_seen.notify_one();
    }

    /// A connection to a worker failed, or a report did not come.
    pub fn connection_failed(&self, worker: &Worker) {
        self.metrics.connect_failures.inc();
        let now_ms = clock::now_ms();
        let mut health = worker.health.lock();
        let before = health.is_suspected(now_ms);
        health.fail(now_ms);
        if !before {
            log::debug!("worker {} is suspected", worker.name);
        }
    }

    /// Signs of leaving that control has not confirmed yet.
    pub fn leaving_signs(&self) -> Vec<LeavingSign> {
        self.leaving.lock().iter().cloned().collect()
    }

    /// Control has these signs.
    pub fn leaving_delivered(&self, signs: &[LeavingSign]) {
        let mut leaving = self.leaving.lock();
        for sign in signs {
            leaving.remove(sign);
        }
    }
}

/// Takes in the load that the head of an engine's answer carries.
pub fn record_response_load(fleet: &Fleet, engine: &Engine, response: &reqwest::Response) {
    let header = response.headers().get("X-Load");
    let text = header.and_then(|value| value.to_str().ok());
    if let Some(load) = text.and_then(parse_load_header) {
        fleet.take_load_header(engine, &load);
    }
}
