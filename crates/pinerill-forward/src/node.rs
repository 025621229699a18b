//! State shared by the modules of a node.
//!
//! All servers and background tasks that `run` starts hold an `Arc<Node>`.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use pinerill_calls::directory::WorkerId;
use pinerill_calls::message::ServiceCapacity;
use pinerill_calls::protocol::{CallerProtocol, LoadSample, WorkerProtocol};
use pinerill_calls::settings::NodeSettings;
use pinerill_calls::table::RouteIndex;
use pinerill_process::clock::{timeout_at, BootTime};
use tokio::sync::{Notify, Semaphore};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::batch::ItemRuns;
use crate::cluster::ClusterClient;
use crate::confirmation::HealthChecks;
use crate::crash::broken_runs::CrashEvidence;
use crate::crash::CrashTracker;
use crate::dispatch::report::TenantKey;
use crate::dispatch::Dispatcher;
use crate::drain::Drain;
use crate::exchange::{BreakReason, ConnectionPool};
use crate::fleet::{
    ChosenWorker, Fleet, ItemTime, PlacementRequest, Prompt, SlowStartPermit, WorkerKey,
};
use crate::monitoring::{KnownState, Metrics};
use crate::peers::Peers;
use crate::quota::NodeQuota;
use crate::resumption::Resumptions;
use crate::slow_start::SlowStartDemand;
use crate::waking::ResumeGate;

/// Time after the node's start until which calls wait for the first route table, with their bodies
/// still unread. A cluster whose processes all start at once has a leader and a table after about
/// 0.4 s. A node without a table after this time cannot estimate when it will get one.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum number of calls that wait for the first route table; further calls are rejected at
/// once. A node receives about 10 calls per second in a burst.
const MAX_CALLS_WAITING_FOR_TABLE: usize = 64;

/// Interval between two checks whether the known state was refreshed after a suspension.
const REFRESH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A node: its settings, its known state, and its connections to workers, peers and the leader.
pub struct Node {
    pub(crate) settings: NodeSettings,
    /// Identifies this run of the node's process: the node's name and a random number.
    pub(crate) incarnation: String,
    pub(crate) caller_protocol: Arc<dyn CallerProtocol>,
    worker_protocol: Arc<dyn WorkerProtocol>,
    pub(crate) cluster: ClusterClient,
    pub(crate) peers: Peers,
    table: RwLock<Option<Arc<RouteIndex>>>,
    table_installed: Notify,
    /// Limits the number of calls that wait for the first route table.
    first_table_permits: Semaphore,
    fleet: Mutex<Fleet>,
    connections: Arc<ConnectionPool>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) runs: Arc<ItemRuns>,
    pub(crate) crashes: CrashTracker,
    pub(crate) resumptions: Resumptions,
    pub(crate) health_checks: HealthChecks,
    pub(crate) waking: ResumeGate,
    pub(crate) quota: NodeQuota,
    pub(crate) slow_starts: SlowStartDemand,
    pub(crate) metrics: Metrics,
    pub(crate) known_state: KnownState,
    started: BootTime,
    pub(crate) stopping: CancellationToken,
    pub(crate) drain: Drain,
}

/// Arguments of [`Node::new`].
pub(crate) struct NodeParts {
    pub(crate) settings: NodeSettings,
    pub(crate) incarnation: String,
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
            drain: Drain::new(Duration::from_secs_f64(parts.settings.stop_s)),
            crashes: CrashTracker::new(&parts.incarnation),
            settings: parts.settings,
            incarnation: parts.incarnation,
            caller_protocol: parts.caller_protocol,
            worker_protocol: parts.worker_protocol,
            cluster: parts.cluster,
            peers: parts.peers,
            table: RwLock::new(None),
            table_installed: Notify::new(),
            first_table_permits: Semaphore::new(MAX_CALLS_WAITING_FOR_TABLE),
            fleet: Mutex::new(parts.fleet),
            connections: Arc::default(),
            dispatcher: Dispatcher::default(),
            runs: Arc::default(),
            resumptions: Resumptions::default(),
            health_checks: HealthChecks::default(),
            waking: ResumeGate::default(),
            quota: NodeQuota::default(),
            slow_starts: SlowStartDemand::default(),
            metrics: parts.metrics,
            known_state: KnownState::default(),
            started: BootTime::now(),
            stopping: parts.stopping,
        }
    }

    /// Returns the milliseconds since this node started, including suspensions of the machine.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Converts a time to milliseconds on the node's clock.
    pub(crate) fn ms_at(&self, moment: BootTime) -> u64 {
        (moment - self.started).as_millis() as u64
    }

    /// Returns the age, in milliseconds, of the platform list that the directory of workers is
    /// based on; the time since the node started if there is no list yet.
    pub fn directory_age_ms(&self) -> u64 {
        self.with_fleet(|fleet, now_ms| {
            let listed_ms = fleet.listed_ms().unwrap_or(0);
            (now_ms as i64).saturating_sub(listed_ms).max(0) as u64
        })
    }

    /// Returns the milliseconds since the last response of a control machine, or since the node
    /// started if there was none.
    pub(crate) fn control_silent_ms(&self) -> u64 {
        let answered_ms = self
            .known_state
            .last_control_answer_ms
            .load(Ordering::Relaxed);
        self.now_ms().saturating_sub(answered_ms)
    }

    /// Returns the protocol spoken with workers.
    pub fn worker_protocol(&self) -> &dyn WorkerProtocol {
        self.worker_protocol.as_ref()
    }

    /// Returns the pool of connections to workers.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Returns the current route table; None before the first.
    pub fn table(&self) -> Option<Arc<RouteIndex>> {
        self.table.read().clone()
    }

    /// Returns the current route table. If there is none, waits until `FIRST_TABLE_TIMEOUT` after
    /// the node's start. Returns None if no table arrives by then, or at once if too many calls
    /// wait already.
    pub(crate) async fn first_table(&self) -> Option<Arc<RouteIndex>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let _permit = self.first_table_permits.try_acquire().ok()?;
        let until = self.started + FIRST_TABLE_TIMEOUT;
        loop {
            let installed = self.table_installed.notified();
            if let Some(table) = self.table() {
                return Some(table);
            }
            timeout_at(until, installed).await.ok()?;
        }
    }

    /// Checks whether the machine was suspended. If so, logs it and has the full state requested
    /// from the leader.
    pub(crate) fn check_suspension(&self) {
        let Some(suspended) = self.waking.check_clocks() else {
            return;
        };
        self.dispatcher.forget_reports();
        // The next request to the leader asks for the full state.
        self.known_state
            .needs_full_update
            .store(true, Ordering::Relaxed);
        log::warn!(
            event = "machine_was_suspended", ms = suspended.as_millis() as u64,
            directory_age_ms = self.directory_age_ms(); ""
        );
    }

    /// Waits while the known state dates from before a suspension of the machine, up to the limit
    /// set by [`ResumeGate`].
    pub(crate) async fn wait_for_refresh(&self) {
        self.check_suspension();
        while let Some(left) = self.waking.remaining_hold() {
            sleep(left.min(REFRESH_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether slots are shared among tenants: the settings ask for it, and the route table
    /// has tenants.
    pub(crate) fn shares_slots(&self) -> bool {
        if !self.settings.share_slots {
            return false;
        }
        let table = self.table.read();
        table
            .as_ref()
            .is_some_and(|index| index.table().tenants.is_some())
    }

    /// Replaces the route table if `index` has a higher version. Returns whether it did.
    pub(crate) fn install_table(&self, index: RouteIndex) -> bool {
        let mut current = self.table.write();
        let version = index.table().version;
        let newer = current
            .as_ref()
            .is_none_or(|known| known.table().version < version);
        if newer {
            self.with_fleet(|fleet, now_ms| {
                fleet.apply_slow_starts(index.table());
                if let Some(earlier) = &*current {
                    fleet.record_moves(now_ms, index.services_moved_to(earlier));
                }
            });
            self.dispatcher.apply_limits(index.table());
            *current = Some(Arc::new(index));
            self.table_installed.notify_waiters();
        }
        newer
    }

    /// Locks the fleet and calls `operation` with it and the current time in milliseconds on the
    /// node's clock.
    pub(crate) fn with_fleet<R>(&self, operation: impl FnOnce(&mut Fleet, u64) -> R) -> R {
        let now_ms = self.now_ms();
        operation(&mut self.fleet.lock(), now_ms)
    }

    /// Chooses a worker for an item of a job. Returns None if no suitable worker has a free slot.
    pub fn choose_for_item(
        &self,
        wanted: &PlacementRequest<'_>,
        time: Option<ItemTime>,
    ) -> Option<ChosenWorker> {
        self.with_fleet(|fleet, now_ms| fleet.choose_for_timed_item(now_ms, wanted, time))
    }

    /// Returns how many items of each service this node may start now, if `nodes` nodes share the
    /// workers.
    pub fn batch_capacities(&self, nodes: u32) -> Vec<ServiceCapacity> {
        self.with_fleet(|fleet, now_ms| fleet.batch_capacities(now_ms, nodes, rand::random))
    }

    /// Returns whether calls wait for slots at this node or at other nodes of the zone.
    pub(crate) fn has_waiting_calls(&self) -> bool {
        self.dispatcher.waiting() > 0 || self.dispatcher.peers_have_waiting_calls(self.now_ms())
    }

    /// Returns whether calls wait for slots of this service here or at other nodes of the zone. Calls
    /// of other services do not use its slots.
    pub(crate) fn has_waiting_calls_of(&self, service: &str) -> bool {
        self.dispatcher.has_waiting_calls_of(self.now_ms(), service)
    }

    /// Occupies a slot of a worker and informs the peers. The slot is released when the returned
    /// value is dropped.
    pub fn occupy_slot(self: &Arc<Self>, chosen: &ChosenWorker, prompt: &Prompt) -> OccupiedSlot {
        let worker = chosen.entry.id.clone();
        let permit = self.with_fleet(|fleet, now_ms| {
            fleet.remember_prompt(now_ms, &worker, prompt);
            fleet.begin_request(now_ms, &worker, chosen.prefill_ms)
        });
        self.peers.broadcast_prompt(&worker, chosen.prefill_ms);
        self.peers.notify_changed();
        OccupiedSlot {
            node: self.clone(),
            worker,
            permit,
            tenant: None,
        }
    }

    /// Records a load sample from a worker's response.
    pub fn record_load(&self, worker: &str, load: LoadSample) {
        self.with_fleet(|fleet, now_ms| fleet.record_load(now_ms, worker, load));
    }

    /// Records a measured time between two events of a stream of a worker, if there is one.
    pub(crate) fn record_gap(&self, worker: &str, gap: Option<Duration>) {
        if let Some(gap) = gap {
            self.with_fleet(|fleet, now_ms| fleet.record_gap(now_ms, worker, gap));
        }
    }

    /// Returns the identifier of a worker; empty if it is not listed any more.
    pub(crate) fn worker_name(&self, worker: WorkerKey) -> String {
        self.with_fleet(|fleet, _| fleet.id_of(worker).map(ToString::to_string))
            .unwrap_or_default()
    }

    /// Records how long a whole call ran at a worker, if that was measured.
    pub(crate) fn record_call_run(&self, worker: &str, run_time: Option<Duration>) {
        if let Some(run_time) = run_time {
            self.with_fleet(|fleet, _| fleet.record_run(worker, run_time));
        }
    }

    /// Records that an attempt failed because the worker was unreachable, closed the connection or
    /// timed out. Ignores reasons that are not the worker's failure.
    pub fn worker_failed(&self, worker: &str, reason: &BreakReason) {
        if !reason.is_failure() {
            return;
        }
        self.metrics.worker_failures.inc();
        if *reason == BreakReason::Refused {
            self.worker_is_gone(worker, CrashEvidence::Refused);
            self.with_fleet(|fleet, _| fleet.mark_not_listening(worker));
        }
        if reason.is_unresponsive() {
            self.peers.broadcast_no_answer(worker);
        }
        if reason.is_disconnect() {
            self.peers.broadcast_connection_loss(worker);
        }
        self.with_fleet(|fleet, now_ms| fleet.record_failure(now_ms, worker));
    }

    /// Records that a worker rejected a request because it had no free slot.
    pub fn worker_full(&self, worker: &str) {
        self.metrics.worker_refusals.inc();
        self.with_fleet(|fleet, now_ms| fleet.mark_full(now_ms, worker));
    }

    /// Reports that a worker's process has ended. A worker that was shutting down has not crashed.
    fn worker_is_gone(&self, worker: &str, evidence: CrashEvidence) {
        let entry = self.with_fleet(|fleet, _| Some(fleet.worker(worker)?.entry().clone()));
        if let Some(entry) = entry {
            self.record_crash(&entry, evidence);
        }
    }

    /// Records that a different worker responds at the address of this worker.
    pub fn worker_replaced(&self, worker: &str) {
        log::info!(event = "worker_replaced", worker; "");
        self.worker_is_gone(worker, CrashEvidence::Replaced);
        self.with_fleet(|fleet, _| fleet.mark_replaced(worker));
    }
}

/// An occupied slot of a worker, released when dropped.
pub struct OccupiedSlot {
    node: Arc<Node>,
    worker: WorkerId,
    permit: Option<SlowStartPermit>,
    /// Tenant whose call occupies the slot; `None` for an item of a job.
    tenant: Option<TenantKey>,
}

impl OccupiedSlot {
    /// Counts the slot as used by a call of the tenant.
    pub(crate) fn counted_for(mut self, tenant: TenantKey) -> Self {
        self.node.dispatcher.record_tenant_start(tenant);
        self.tenant = Some(tenant);
        self
    }

    /// Returns the worker that the slot belongs to.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Returns the node that occupies the slot.
    pub(crate) fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the permit to send the request while the worker is in slow start, if one was taken.
    pub fn permit(&self) -> Option<SlowStartPermit> {
        self.permit
    }

    /// Records that the worker responded correctly.
    pub fn succeeded(&self) {
        self.node
            .with_fleet(|fleet, now_ms| fleet.record_success(now_ms, &self.worker));
    }
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.node
            .with_fleet(|fleet, _| fleet.end_request(&self.worker));
        let dispatcher = &self.node.dispatcher;
        if let Some(tenant) = self.tenant {
            dispatcher.record_tenant_end(tenant);
        }
        let is_taken = dispatcher.pass_freed_slot(&self.node, &self.worker)
            || dispatcher.grant_freed_slot(&self.node, &self.worker)
            || dispatcher.promise_freed_slot(&self.node, &self.worker);
        if !is_taken {
            self.node.dispatcher.changed.notify_one();
            self.node.peers.notify_changed();
        }
    }
}
