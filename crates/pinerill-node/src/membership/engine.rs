//! Workers and engines with what is known of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_types::{EngineId, WorkerName, ZoneName};
use pinerill_wire::message::WorkerRecord;

use super::health::Health;
use super::report::{EngineReport, Role};
use super::serving::{Holding, Served};
use crate::configuration::ServicePlan;
use crate::engine::{worker_client, EngineClient, LoadHeader};
use crate::metrics::Metrics;
use crate::routing::{Candidate, LoadEstimate};

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
    /// Answers of its engines that began so far.
    pub answers: AtomicU64,
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

/// What a report told anew of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReportNews {
    /// Other nodes have more online requests there than before.
    pub(super) more_online: bool,
    /// It holds other models or adapters, or has another role.
    pub(super) holds_other: bool,
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
    /// Prompt tokens of this node's online requests that it has still to
    /// prefill, as far as known.
    pub pending_tokens: AtomicU32,
    /// Batch work of a service that it serves waits or runs.
    pub shared_with_batch: AtomicBool,
    /// Signs that online work arrived there so far.
    pub online_activity_count: AtomicU64,
    /// Preemptions that it reported so far.
    pub preemptions: AtomicU64,
    holding: Mutex<Holding>,
}

impl Engine {
    /// Address and path, as other engines import from it.
    pub fn kv_source(&self) -> String {
        format!("{}/engines/{}", self.worker.address, self.id.engine)
    }

    /// The version that it holds of what a service needs: that of the bundle,
    /// or another one.
    pub fn serves(&self, plan: &ServicePlan) -> Option<Served> {
        self.holding.lock().serves(plan)
    }

    /// It refused for want of this model; the next report says what it holds.
    pub(super) fn forget_model(&self, model: &str) {
        self.holding.lock().models.retain(|held| held != model);
    }

    /// It refused to decode; the next report says which role it has.
    pub(super) fn only_prefills(&self) {
        self.holding.lock().role = Role::Prefill;
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
            shared_with_batch: self.shared_with_batch.load(Ordering::Relaxed),
            cached_tokens,
            pending_tokens: self.pending_tokens.load(Ordering::Relaxed),
        }
    }

    /// The head of an answer carried the load. Returns whether it is a sign of
    /// online work.
    pub(super) fn take_load_header(&self, now_ms: u64, header: &LoadHeader) -> bool {
        self.worker.answers.fetch_add(1, Ordering::Relaxed);
        let own = self.online.load(Ordering::Relaxed);
        let more = self.load.lock().header(now_ms, header, own);
        if more {
            self.count_online_activity();
        }
        more
    }

    /// Whether batch work of its services waits. It shares its slots with batch
    /// then, and as long as the last report says that some runs.
    pub(crate) fn update_shared_with_batch(&self, waits: bool) {
        let shared = waits || self.load.lock().batch_running() > 0;
        self.shared_with_batch.store(shared, Ordering::Relaxed);
    }

    /// Online work was seen here.
    pub fn count_online_activity(&self) {
        self.online_activity_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes a report in.
    pub(super) fn take_report(
        &self,
        now_ms: u64,
        report: &EngineReport,
        metrics: &Metrics,
    ) -> ReportNews {
        let own = self.online.load(Ordering::Relaxed);
        let news = self.load.lock().report(now_ms, report, own);
        metrics.preemptions.inc_by(news.preemptions);
        self.preemptions
            .fetch_add(news.preemptions, Ordering::Relaxed);
        if news.more_online {
            self.count_online_activity();
        }
        ReportNews {
            more_online: news.more_online,
            holds_other: self.holding.lock().take(report),
        }
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

impl WorkerEntry {
    /// A worker of the directory, of which nothing else is known.
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
        holding: Mutex::default(),
    }
}
