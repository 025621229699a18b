//! The workers and engines that this node uses, shared by all its parts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};
use pinerill_types::settings::NodeSettings;
use pinerill_types::{EngineId, NodeName, ServiceName, WorkerName, ZoneName};
use pinerill_wire::message::{DirectoryUpdate, LeavingSign, WorkerRecord, WorkerState};
use tokio::sync::Notify;

use super::directory::Directory;
use super::health::Health;
use super::report::{EngineReport, Role, WorkerReport};
use crate::clock;
use crate::configuration::{Catalog, ServicePlan};
use crate::engine::{worker_client, EngineClient, LoadHeader};
use crate::metrics::Metrics;
use crate::routing::{rendezvous_owner, select_workers, Candidate, LoadEstimate, PrefixHints};

/// One worker that this node uses.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: WorkerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// 0 for the node's own zone, 1 for the nearest neighbour, ….
    pub zone_rank: u32,
    /// Its pooled connections.
    pub http: reqwest::Client,
    /// Whether it may get new work.
    pub health: Mutex<Health>,
    /// This node drives its batch.
    pub driven: AtomicBool,
}

impl Worker {
    /// Whether it may get new work now.
    pub fn accepts_work(&self, now_ms: u64) -> bool {
        let health = self.health.lock();
        !health.is_leaving() && !health.is_suspected(now_ms)
    }

    /// Whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.health.lock().is_leaving()
    }

    /// Whether this node drives its batch.
    pub fn is_driven(&self) -> bool {
        self.driven.load(Ordering::Relaxed)
    }
}

/// What an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Holding {
    role: Role,
    models: Vec<String>,
    adapters: Vec<String>,
}

/// One engine that this node uses.
#[derive(Debug)]
pub struct Engine {
    /// Its full name.
    pub id: EngineId,
    /// Its worker.
    pub worker: Arc<Worker>,
    /// Calls to it.
    pub client: EngineClient,
    /// What is known of its load.
    pub load: Mutex<LoadEstimate>,
    /// Online requests of this node there.
    pub online: AtomicU32,
    /// Signs of online work there so far.
    pub online_signs: AtomicU64,
    /// Batch items of this node that are paused or preempted there.
    holding: Mutex<Holding>,
}

impl Engine {
    /// Address and path, as other engines import from it.
    pub fn source(&self) -> String {
        format!("{}/engines/{}", self.worker.address, self.id.engine)
    }

    /// Whether it holds what a service needs.
    pub fn serves(&self, plan: &ServicePlan) -> bool {
        let holding = self.holding.lock();
        let adapter = plan.adapter.as_ref();
        holding.models.contains(&plan.model)
            && adapter.is_none_or(|adapter| holding.adapters.contains(adapter))
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.holding.lock().role
    }

    /// The engine as the routing choice sees it.
    pub fn candidate(&self, now_ms: u64, cached_tokens: u32) -> Candidate {
        let load = self.load.lock();
        let own = self.online.load(Ordering::Relaxed);
        Candidate {
            online: own as f32 + load.online_elsewhere(now_ms),
            slots: load.slots(),
            suspected: !self.worker.accepts_work(now_ms),
            zone_rank: self.worker.zone_rank,
            driven: self.worker.is_driven(),
            cached_tokens,
        }
    }

    /// The head of an answer carried the load.
    pub fn take_load_header(&self, now_ms: u64, header: &LoadHeader) {
        let own = self.online.load(Ordering::Relaxed);
        self.load.lock().header(now_ms, header, own);
    }

    /// Online work was seen here.
    pub fn sign_online(&self) {
        self.online_signs.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes a report in. Returns whether it holds something else now.
    fn take_report(&self, now_ms: u64, report: &EngineReport, metrics: &Metrics) -> bool {
        let own = self.online.load(Ordering::Relaxed);
        let preemptions = self.load.lock().report(now_ms, report, own);
        metrics.preemptions.inc_by(preemptions);
        let online = report.running.saturating_sub(report.batch_running);
        if preemptions > 0 || online > 0 {
            self.sign_online();
        }
        let holding = Holding {
            role: report.role,
            models: report.models.clone(),
            adapters: report.adapters.clone(),
        };
        let mut current = self.holding.lock();
        let changed = *current != holding;
        *current = holding;
        changed
    }
}

/// A worker with its engines.
#[derive(Debug, Clone)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: Arc<Worker>,
    /// Its engines by number.
    pub engines: Vec<Arc<Engine>>,
}

/// Engines that serve one service.
#[derive(Debug, Default)]
pub struct ServiceEngines {
    /// Those that answer requests.
    pub decode: Vec<Arc<Engine>>,
    /// Those that only do prefill.
    pub prefill: Vec<Arc<Engine>>,
    /// Place of an engine in `decode`.
    pub index: HashMap<EngineId, usize>,
}

impl ServiceEngines {
    fn insert(&mut self, engine: &Arc<Engine>) {
        if engine.role() == Role::Prefill {
            self.prefill.push(engine.clone());
            return;
        }
        self.index.insert(engine.id.clone(), self.decode.len());
        self.decode.push(engine.clone());
    }
}

/// All that requests look up, replaced as a whole.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Workers by name.
    pub workers: BTreeMap<WorkerName, WorkerEntry>,
    /// Engines by service.
    pub services: HashMap<ServiceName, ServiceEngines>,
}

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
    /// Online work arrived at an engine whose batch this node drives.
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
        let services = self.services_of(&workers);
        *view_slot = Arc::new(FleetView { workers, services });
        drop(view_slot);
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
        new_entry(zone_rank, record)
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

    fn services_of(
        &self,
        workers: &BTreeMap<WorkerName, WorkerEntry>,
    ) -> HashMap<ServiceName, ServiceEngines> {
        let catalog = self.catalog.lock().clone();
        let mut services: HashMap<ServiceName, ServiceEngines> = HashMap::new();
        for plan in catalog.iter().flat_map(|catalog| catalog.services()) {
            let engines = services.entry(plan.name.clone()).or_default();
            let all = workers.values().flat_map(|entry| &entry.engines);
            all.filter(|engine| engine.serves(plan))
                .for_each(|engine| engines.insert(engine));
        }
        services
    }

    /// A load report of a worker came.
    pub fn take_report(&self, entry: &WorkerEntry, report: &WorkerReport) {
        let now_ms = clock::now_ms();
        let first_sign = entry
            .worker
            .health
            .lock()
            .report(report.incarnation, report.leaving);
        if first_sign {
            self.note_leaving(&entry.worker);
        }
        let mut changed = false;
        for engine_report in &report.engines {
            let number = usize::from(engine_report.engine);
            if let Some(engine) = entry.engines.get(number) {
                changed |= engine.take_report(now_ms, engine_report, &self.metrics);
            }
        }
        if changed {
            self.rebuild();
        }
        self.changed.notify_waiters();
    }

    /// A worker refused as leaving.
    pub fn refused_leaving(&self, worker: &Worker) {
        let first = worker.health.lock().sign_leaving();
        if first {
            self.note_leaving(worker);
        }
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

fn new_entry(zone_rank: u32, record: &WorkerRecord) -> reqwest::Result<WorkerEntry> {
    let worker = Arc::new(Worker {
        name: record.name.clone(),
        address: record.address,
        zone: record.zone.clone(),
        zone_rank,
        http: worker_client()?,
        health: Mutex::new(Health::new(record)),
        driven: AtomicBool::new(false),
    });
    let engines = (0..record.engines)
        .map(|number| Arc::new(new_engine(&worker, number)))
        .collect();
    Ok(WorkerEntry { worker, engines })
}

fn new_engine(worker: &Arc<Worker>, number: u16) -> Engine {
    let base = format!("http://{}/engines/{number}", worker.address);
    Engine {
        id: EngineId {
            worker: worker.name.clone(),
            engine: number,
        },
        client: EngineClient::new(worker.http.clone(), base),
        worker: worker.clone(),
        load: Mutex::default(),
        online: AtomicU32::new(0),
        online_signs: AtomicU64::new(0),
        holding: Mutex::default(),
    }
}
