//! What the parts of a node share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use pinerill_calls::directory::WorkerId;
use pinerill_calls::protocol::{CallerProtocol, LoadSample, WorkerProtocol};
use pinerill_calls::settings::NodeSettings;
use pinerill_calls::table::RouteIndex;
use pinerill_process::clock::{timeout_at, BootTime};
use tokio::sync::{Notify, Semaphore};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::batch::Runs;
use crate::cluster::ClusterClient;
use crate::confirmation::HealthChecks;
use crate::crash::broken_runs::CrashEvidence;
use crate::crash::CrashTracker;
use crate::dispatch::Dispatcher;
use crate::exchange::{BreakReason, ConnectionPool};
use crate::fleet::{BatchCapacity, Chosen, Fleet, Prompt, SlowStartPermit, Wanted};
use crate::monitoring::{Beliefs, Metrics};
use crate::peers::Peers;
use crate::quota::NodeQuota;
use crate::slow_start::SlowStartDemand;
use crate::waking::ResumeGate;

/// Part of the time for a planned stop in which calls are still taken: callers
/// need some seconds to learn of it.
const TAKING_PART: f64 = 0.35;

/// Time after its start in which a node holds calls until it has a route table: a cluster
/// whose processes all start at once has a leader and a table after some 0.4 s, and a node
/// that has none after this time can't say when it will. Their bodies are not read yet.
const STARTING_TIME: Duration = Duration::from_millis(1_200);
/// Calls held so at most; the rest is refused at once. A burst brings a node some 10 a
/// second here.
const CALLS_HELD_AT_START: usize = 64;

/// Pause between two looks whether the leader has answered after a suspension.
const WAKING_LOOK_PAUSE: Duration = Duration::from_millis(10);

/// A node.
pub struct Node {
    pub(crate) settings: NodeSettings,
    /// The node in this start of its process.
    pub(crate) start: String,
    pub(crate) caller_protocol: Arc<dyn CallerProtocol>,
    worker_protocol: Arc<dyn WorkerProtocol>,
    pub(crate) cluster: ClusterClient,
    pub(crate) peers: Peers,
    table: RwLock<Option<Arc<RouteIndex>>>,
    table_taken: Notify,
    /// Calls that may wait for the first table.
    starting: Semaphore,
    fleet: Mutex<Fleet>,
    connections: Arc<ConnectionPool>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) runs: Arc<Runs>,
    pub(crate) crashes: CrashTracker,
    pub(crate) health_checks: HealthChecks,
    pub(crate) waking: ResumeGate,
    pub(crate) quota: NodeQuota,
    pub(crate) slow_starts: SlowStartDemand,
    pub(crate) metrics: Metrics,
    pub(crate) beliefs: Beliefs,
    started: BootTime,
    pub(crate) stopping: CancellationToken,
    /// When it began to stop, on its clock; 0 before.
    stop_began_ms: AtomicU64,
}

/// What a node is made of.
pub(crate) struct NodeParts {
    pub(crate) settings: NodeSettings,
    pub(crate) start: String,
    pub(crate) caller_protocol: Arc<dyn CallerProtocol>,
    pub(crate) worker_protocol: Arc<dyn WorkerProtocol>,
    pub(crate) cluster: ClusterClient,
    pub(crate) peers: Peers,
    pub(crate) fleet: Fleet,
    pub(crate) metrics: Metrics,
    pub(crate) stopping: CancellationToken,
}

impl Node {
    pub(crate) fn new(parts: NodeParts) -> Self {
        Node {
            settings: parts.settings,
            start: parts.start,
            caller_protocol: parts.caller_protocol,
            worker_protocol: parts.worker_protocol,
            cluster: parts.cluster,
            peers: parts.peers,
            table: RwLock::new(None),
            table_taken: Notify::new(),
            starting: Semaphore::new(CALLS_HELD_AT_START),
            fleet: Mutex::new(parts.fleet),
            connections: Arc::default(),
            dispatcher: Dispatcher::default(),
            runs: Arc::default(),
            crashes: CrashTracker::default(),
            health_checks: HealthChecks::default(),
            waking: ResumeGate::default(),
            quota: NodeQuota::default(),
            slow_starts: SlowStartDemand::default(),
            metrics: parts.metrics,
            beliefs: Beliefs::default(),
            started: BootTime::now(),
            stopping: parts.stopping,
            stop_began_ms: AtomicU64::new(0),
        }
    }

    /// Notes that the node begins to stop.
    pub(crate) fn begin_stop(&self) {
        let now_ms = self.now_ms().max(1);
        self.stop_began_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether it stops and a call that came now could not end in time.
    pub(crate) fn takes_no_more(&self) -> bool {
        let began_ms = self.stop_began_ms.load(Ordering::Relaxed);
        let taking_ms = self.settings.stop_s * TAKING_PART * 1_000.0;
        began_ms > 0 && (self.now_ms() - began_ms) as f64 > taking_ms
    }

    /// Milliseconds of a steady clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// A moment on the node's clock, milliseconds.
    pub(crate) fn ms_at(&self, moment: BootTime) -> u64 {
        (moment - self.started).as_millis() as u64
    }

    /// Age of the reading of the platform list that the directory of workers goes by,
    /// milliseconds; the age of this process before the first.
    pub fn directory_age_ms(&self) -> u64 {
        self.with_fleet(|fleet, now_ms| {
            let listed_ms = fleet.listed_ms().unwrap_or(0);
            (now_ms as i64).saturating_sub(listed_ms).max(0) as u64
        })
    }

    /// Time since a control machine answered, milliseconds.
    pub(crate) fn control_silent_ms(&self) -> u64 {
        let heard_ms = self.beliefs.control_heard_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(heard_ms)
    }

    /// How workers are spoken to.
    pub fn worker_protocol(&self) -> &dyn WorkerProtocol {
        self.worker_protocol.as_ref()
    }

    /// Idle connections to workers.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// The route table in force here; none before the first.
    pub fn table(&self) -> Option<Arc<RouteIndex>> {
        self.table.read().clone()
    }

    /// The route table in force here. A node that has just started waits for its first one
    /// for a moment, unless too many calls do so already.
    pub(crate) async fn first_table(&self) -> Option<Arc<RouteIndex>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let _held = self.starting.try_acquire().ok()?;
        let until = self.started + STARTING_TIME;
        loop {
            let taken = self.table_taken.notified();
            if let Some(table) = self.table() {
                return Some(table);
            }
            timeout_at(until, taken).await.ok()?;
        }
    }

    /// Looks whether the machine was suspended, and says so.
    pub(crate) fn look_at_clocks(&self) {
        let Some(suspended) = self.waking.check_clocks() else {
            return;
        };
        // The leader shall tell all of it again.
        self.beliefs.told_by_others.store(true, Ordering::Relaxed);
        log::warn!(
            event = "machine_was_suspended", ms = suspended.as_millis() as u64,
            directory_age_ms = self.directory_age_ms(); ""
        );
    }

    /// Waits while what is believed is as old as before a suspension of the machine.
    pub(crate) async fn until_awake(&self) {
        self.look_at_clocks();
        while let Some(left) = self.waking.remaining_hold() {
            sleep(left.min(WAKING_LOOK_PAUSE)).await;
        }
    }

    /// Takes in a route table unless one as new is in force.
    pub(crate) fn take_table(&self, index: RouteIndex) -> bool {
        let mut held = self.table.write();
        let version = index.table().version;
        let newer = held
            .as_ref()
            .is_none_or(|known| known.table().version < version);
        if newer {
            self.with_fleet(|fleet, _| fleet.take_slow_starts(index.table()));
            *held = Some(Arc::new(index));
            self.table_taken.notify_waiters();
        }
        newer
    }

    /// Looks at the workers.
    pub(crate) fn with_fleet<R>(&self, look: impl FnOnce(&mut Fleet, u64) -> R) -> R {
        let now_ms = self.now_ms();
        look(&mut self.fleet.lock(), now_ms)
    }

    /// The worker for an item of a job.
    pub fn choose_for_item(&self, wanted: &Wanted<'_>) -> Option<Chosen> {
        self.with_fleet(|fleet, now_ms| fleet.choose_for_item(now_ms, wanted))
    }

    /// Items of jobs that may begin here.
    pub fn batch_capacity(&self, nodes: u32) -> BatchCapacity {
        self.with_fleet(|fleet, now_ms| fleet.batch_capacity(now_ms, nodes))
    }

    /// Whether calls wait for places here or at other nodes of the zone.
    pub(crate) fn calls_wait(&self) -> bool {
        self.dispatcher.waiting() > 0 || self.dispatcher.peers_have_waiting_calls(self.now_ms())
    }

    /// Takes a place at a worker.
    pub fn occupy(self: &Arc<Self>, chosen: &Chosen, prompt: &Prompt) -> Occupied {
        let worker = chosen.entry.id.clone();
        let permit = self.with_fleet(|fleet, now_ms| {
            fleet.remember_prompt(now_ms, &worker, prompt);
            fleet.begin(now_ms, &worker, chosen.prefill_ms)
        });
        self.peers.broadcast_prompt(&worker, chosen.prefill_ms);
        self.peers.notify_changed();
        Occupied {
            node: self.clone(),
            worker,
            permit,
        }
    }

    /// Takes in a load sample of an answer.
    pub fn take_load(&self, worker: &str, load: LoadSample) {
        self.with_fleet(|fleet, now_ms| fleet.take_load(now_ms, worker, load));
    }

    /// Notes that a worker could not be reached, broke off or was silent.
    pub fn worker_failed(&self, worker: &str, reason: &BreakReason) {
        if !reason.is_failure() {
            return;
        }
        self.metrics.worker_failures.inc();
        if *reason == BreakReason::Refused {
            self.worker_is_gone(worker, CrashEvidence::Refused);
            self.with_fleet(|fleet, _| fleet.was_gone(worker));
        }
        if reason.is_unresponsive() {
            self.peers.broadcast_no_answer(worker);
        }
        if reason.is_disconnect() {
            self.peers.broadcast_connection_loss(worker);
        }
        self.with_fleet(|fleet, now_ms| fleet.failed(now_ms, worker));
    }

    /// Notes that a worker had no room.
    pub fn worker_full(&self, worker: &str) {
        self.metrics.worker_refusals.inc();
        self.with_fleet(|fleet, now_ms| fleet.was_full(now_ms, worker));
    }

    /// A worker's process is gone; whether it crashed depends on what it was doing.
    fn worker_is_gone(&self, worker: &str, evidence: CrashEvidence) {
        let entry = self.with_fleet(|fleet, _| Some(fleet.worker(worker)?.entry().clone()));
        if let Some(entry) = entry {
            self.record_crash(&entry, evidence);
        }
    }

    /// Notes that another worker answers at this one's address.
    pub fn worker_replaced(&self, worker: &str) {
        log::info!(event = "worker_replaced", worker; "");
        self.worker_is_gone(worker, CrashEvidence::Replaced);
        self.with_fleet(|fleet, _| fleet.was_replaced(worker));
    }
}

/// A place at a worker, given up when dropped.
pub struct Occupied {
    node: Arc<Node>,
    worker: WorkerId,
    permit: Option<SlowStartPermit>,
}

impl Occupied {
    /// The worker.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// What lets the request go to the worker while that is cold.
    pub fn permit(&self) -> Option<SlowStartPermit> {
        self.permit
    }

    /// The worker answered as it should.
    pub fn succeeded(&self) {
        self.node
            .with_fleet(|fleet, now_ms| fleet.succeeded(now_ms, &self.worker));
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.node.with_fleet(|fleet, _| fleet.end(&self.worker));
        let dispatcher = &self.node.dispatcher;
        let is_taken = dispatcher.grant_freed_slot(&self.node, &self.worker)
            || dispatcher.promise_freed_slot(&self.node, &self.worker);
        if !is_taken {
            self.node.dispatcher.changed.notify_one();
            self.node.peers.notify_changed();
        }
    }
}
