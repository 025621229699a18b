//! Workers and engines with the known state of each: health, load and loaded
//! models. Requests, the batch runner and the poller share these objects.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_types::{EngineId, WorkerName, ZoneName};
use pinerill_wire::message::WorkerRecord;

use super::health::Health;
use super::report::{EngineReport, Role};
use super::serving::{EngineCapabilities, Served};
use crate::configuration::ServicePlan;
use crate::engine::{worker_client, EngineClient, LoadHeader, WorkerClient};
use crate::metrics::Metrics;
use crate::routing::{Candidate, LoadEstimate};

/// A worker that this node uses, shared by its engines.
#[derive(Debug)]
pub struct Worker {
    /// Name in the directory.
    pub name: WorkerName,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Zone listed in the directory.
    pub zone: ZoneName,
    /// Distance of the zone: 0 for the node's own zone, 1 for the nearest
    /// neighbour zone, and so on.
    pub zone_rank: u32,
    /// HTTP clients of this worker.
    pub http: WorkerClient,
    /// Health state, which decides whether the worker may get new work.
    pub health: Mutex<Health>,
    /// Whether this node schedules batch work on the worker.
    pub driven: AtomicBool,
    /// Number of responses with a load header received from its engines so far.
    pub answers: AtomicU64,
}

impl Worker {
    /// Returns whether the worker is neither leaving nor suspected at `now_ms`.
    pub fn accepts_work(&self, now_ms: u64) -> bool {
        let health = self.health.lock();
        !health.is_leaving() && !health.is_suspected(now_ms)
    }

    /// Returns whether the worker or the directory says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.health.lock().is_leaving()
    }

    /// Returns whether this node schedules batch work on the worker.
    pub fn is_driven(&self) -> bool {
        self.driven.load(Ordering::Relaxed)
    }
}

/// Changes of an engine that a load report revealed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReportChanges {
    /// Other nodes run more online requests on the engine than before.
    pub(super) more_online: bool,
    /// The loaded models or adapters, or the role, differ from before.
    pub(super) capabilities_changed: bool,
}

/// An engine that this node uses.
#[derive(Debug)]
pub struct Engine {
    /// Worker name and number of the engine.
    pub id: EngineId,
    /// The worker that runs this engine.
    pub worker: Arc<Worker>,
    /// HTTP client for the engine's API.
    pub client: EngineClient,
    /// Load estimate from reports and load headers.
    pub load: Mutex<LoadEstimate>,
    /// Number of this node's online requests on the engine.
    pub online: AtomicU32,
    /// Estimated prompt tokens of this node's online requests that the engine
    /// still has to prefill.
    pub pending_tokens: AtomicU32,
    /// Whether batch work of a service on this engine is queued or running.
    pub shared_with_batch: AtomicBool,
    /// Number of times that new online work was detected on the engine.
    pub online_activity_count: AtomicU64,
    /// Number of preemptions in the reports so far.
    pub preemptions: AtomicU64,
    capabilities: Mutex<EngineCapabilities>,
}

impl Engine {
    /// Returns `ip:port/engines/e`, the source that another engine names to
    /// import a KV cache from this one.
    pub fn kv_source(&self) -> String {
        format!("{}/engines/{}", self.worker.address, self.id.engine)
    }

    /// Returns the versions of the service's model and adapter that the engine
    /// has loaded, which may differ from those of the bundle. None if it lacks
    /// either one.
    pub fn serves(&self, plan: &ServicePlan) -> Option<Served> {
        self.capabilities.lock().serves(plan)
    }

    /// Removes a model that the engine refused as not loaded. The next report
    /// replaces the list.
    pub(super) fn remove_model(&self, model: &str) {
        self.capabilities.lock().models.retain(|held| held != model);
    }

    /// Sets the role to prefill only after the engine refused to decode. The
    /// next report replaces the role.
    pub(super) fn mark_prefill_only(&self) {
        self.capabilities.lock().role = Role::Prefill;
    }

    /// Returns the last known role; `Both` before the first report.
    pub fn role(&self) -> Role {
        self.capabilities.lock().role
    }

    /// Returns the engine's state as input for routing. `cached_tokens` is the
    /// number of the request's prompt tokens expected in the engine's cache.
    pub fn candidate(&self, now_ms: u64, cached_tokens: u32) -> Candidate {
        let load = self.load.lock();
        let own = self.online.load(Ordering::Relaxed);
        Candidate {
            online: own as f32 + load.online_elsewhere(now_ms),
            slots: load.slots(),
            excluded: !self.worker.accepts_work(now_ms),
            zone_rank: self.worker.zone_rank,
            batch_owner: self.worker.is_driven(),
            shared_with_batch: self.shared_with_batch.load(Ordering::Relaxed),
            cached_tokens,
            pending_tokens: self.pending_tokens.load(Ordering::Relaxed),
        }
    }

    /// Updates the load estimate from the header of a response. Returns whether
    /// other nodes run more online requests than before.
    pub(super) fn apply_load_header(&self, now_ms: u64, header: &LoadHeader) -> bool {
        self.worker.answers.fetch_add(1, Ordering::Relaxed);
        let own = self.online.load(Ordering::Relaxed);
        let more = self.load.lock().apply_header(now_ms, header, own);
        if more {
            self.count_online_activity();
        }
        more
    }

    /// Updates whether online requests share the engine's slots with batch
    /// work. That holds if batch work of its services is queued (`waits`) or
    /// was running at the last report.
    pub(crate) fn update_shared_with_batch(&self, waits: bool) {
        let shared = waits || self.load.lock().batch_running() > 0;
        self.shared_with_batch.store(shared, Ordering::Relaxed);
    }

    /// Counts the detection of new online work on the engine.
    pub fn count_online_activity(&self) {
        self.online_activity_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Updates load, preemptions and capabilities from a load report and returns
    /// the changes that callers react to.
    pub(super) fn apply_report(
        &self,
        now_ms: u64,
        report: &EngineReport,
        metrics: &Metrics,
    ) -> ReportChanges {
        let own = self.online.load(Ordering::Relaxed);
        let changes = self.load.lock().apply_report(now_ms, report, own);
        metrics.preemptions.inc_by(changes.preemptions);
        self.preemptions
            .fetch_add(changes.preemptions, Ordering::Relaxed);
        if changes.more_online {
            self.count_online_activity();
        }
        ReportChanges {
            more_online: changes.more_online,
            capabilities_changed: self.capabilities.lock().update(report),
        }
    }
}

/// A worker and all of its engines.
#[derive(Debug, Clone)]
pub struct WorkerEntry {
    /// State shared by the engines.
    pub worker: Arc<Worker>,
    /// Engines, indexed by their number at the worker.
    pub engines: Vec<Arc<Engine>>,
}

impl WorkerEntry {
    /// Creates a worker and its engines from a directory record, with no reports
    /// yet.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub(super) fn new(zone_rank: u32, record: &WorkerRecord) -> reqwest::Result<Self> {
        let worker = Arc::new(Worker {
            name: record.name.clone(),
            address: record.address,
            zone: record.zone.clone(),
            zone_rank,
            http: worker_client()?,
            health: Mutex::new(Health::new(record)),
            driven: AtomicBool::new(false),
            answers: AtomicU64::new(0),
        });
        let engines = (0..record.engines)
            .map(|number| Arc::new(new_engine(&worker, number)))
            .collect();
        Ok(WorkerEntry { worker, engines })
    }
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
        pending_tokens: AtomicU32::new(0),
        shared_with_batch: AtomicBool::new(false),
        online_activity_count: AtomicU64::new(0),
        preemptions: AtomicU64::new(0),
        capabilities: Mutex::default(),
    }
}
