//! A node as far as jobs concern it: the very planner that serves, over calls
//! that get lost and engines that go on without it.

mod answers;

pub(super) use answers::only_reply;

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerill_control::job::JobCommand;
use pinerill_node::batch::{
    EngineLoad, EngineView, Input, NodeIdentity, Output, Planner, WindowPolicy,
};
use pinerill_types::{EngineId, NodeName, ServiceName};
use pinerill_wire::message::LeaseItems;

use super::engines::{Ending, EnginePool, EngineStyle};
use super::service::{JobGroup, JobQuery};
use super::world::World;
use crate::cluster::{CallId, CallKind, ClientId, Cluster, LocalClock, Timer, MAX_SKEW_PPM};
use crate::defect::{has_shell_defect, ShellDefect};

/// How often the planner looks, milliseconds.
const TICK_MS: u64 = 50;
/// How long a call is waited for, milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// How often it is asked where items wait, milliseconds.
const BACKLOG_MS: u64 = 300;
/// Engines of one node.
const ENGINES: u16 = 2;
const SLOTS: u32 = 8;
/// Share of ticks at which the online load of an engine changes.
const LOAD_CHANGE_SHARE: f64 = 0.02;
/// The node's clock at the start of a run; clocks don't begin at 0.
const CLOCK_START_MS: u64 = 1_000_000;

/// A call that is open.
enum NodeCall {
    Lease,
    Items,
    Preview,
    Renew,
    Report,
    Backlog,
}

/// A node with its engines.
pub(super) struct WorkerNode {
    client: ClientId,
    engines_client: ClientId,
    name: NodeName,
    service: ServiceName,
    clock: LocalClock,
    incarnation: u64,
    planner: Planner,
    calls: BTreeMap<CallId, NodeCall>,
    pool: EnginePool,
    /// Ends of runs that the process has not taken in yet.
    inbox: Vec<Ending>,
    leader: usize,
    backlog_asked_ms: u64,
    loads: Vec<u32>,
    arrivals: u64,
    calm: bool,
}

impl WorkerNode {
    pub(super) fn new(
        number: u32,
        clients: (ClientId, ClientId),
        service: ServiceName,
        style: EngineStyle,
        cluster: &mut Cluster<JobGroup>,
    ) -> Self {
        let (client, engines_client) = clients;
        let name = NodeName(format!("node-{number}"));
        let now_ms = cluster.now_ms();
        let clock = LocalClock::new(now_ms, MAX_SKEW_PPM, cluster.rng());
        let incarnation = cluster.rng().number();
        let mut node = WorkerNode {
            client,
            engines_client,
            planner: new_planner(&name, incarnation),
            name,
            service,
            clock,
            incarnation,
            calls: BTreeMap::new(),
            pool: EnginePool::new(style),
            inbox: Vec::new(),
            leader: 0,
            backlog_asked_ms: 0,
            loads: vec![0; usize::from(ENGINES)],
            arrivals: 0,
            calm: false,
        };
        node.set_policies();
        node
    }

    pub(super) fn client(&self) -> ClientId {
        self.client
    }

    pub(super) fn engines_client(&self) -> ClientId {
        self.engines_client
    }

    /// Whether nothing is held, asked for or to be reported.
    pub(super) fn rests(&self) -> bool {
        self.planner.is_idle() && self.inbox.is_empty()
    }

    /// The process starts again: it knows nothing, and its engines go on.
    pub(super) fn restart(&mut self, cluster: &mut Cluster<JobGroup>) {
        self.incarnation = cluster.rng().number();
        self.planner = new_planner(&self.name, self.incarnation);
        self.calls.clear();
        self.inbox.clear();
        self.set_policies();
    }

    fn set_policies(&mut self) {
        let policy = WindowPolicy {
            tail_weight: 0.5,
            limit: SLOTS,
        };
        let policies = [(self.service.clone(), policy)].into();
        // A new planner has nothing to do yet.
        self.planner.step(CLOCK_START_MS, Input::Policies(policies));
    }

    fn local_ms(&self, cluster: &Cluster<JobGroup>) -> u64 {
        CLOCK_START_MS + self.clock.local_ms(cluster.now_ms())
    }

    /// The process looks around.
    pub(super) fn tick(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        cluster.wake(self.client, TICK_MS, Timer::Next);
        let views = self.engine_views(cluster);
        self.step(cluster, world, Input::Engines(views));
        self.take_endings(cluster, world);
        let now_ms = cluster.now_ms();
        if self.backlog_asked_ms + BACKLOG_MS <= now_ms {
            self.backlog_asked_ms = now_ms;
            let kind = CallKind::Read(JobQuery::Backlog);
            self.call(cluster, NodeCall::Backlog, kind);
        }
    }

    /// No more online requests come.
    pub(super) fn calm_down(&mut self) {
        self.calm = true;
        self.loads.fill(0);
    }

    fn engine_views(&mut self, cluster: &mut Cluster<JobGroup>) -> Vec<EngineView> {
        for load in &mut self.loads {
            if !self.calm && cluster.rng().chance(LOAD_CHANGE_SHARE) {
                let online = cluster.rng().between(0, u64::from(SLOTS)) as u32;
                self.arrivals += u64::from(online > *load);
                *load = online;
            }
        }
        let service = self.service.clone();
        let views = (0..ENGINES)
            .zip(&self.loads)
            .map(|(engine, online)| EngineView {
                id: EngineId {
                    worker: self.name.as_str().into(),
                    engine,
                },
                services: [service.clone()].into(),
                load: EngineLoad {
                    slots: SLOTS,
                    online: *online,
                },
                accepts_batch: true,
                arrivals: self.arrivals,
                preemptions: 0,
                waiting: false,
            });
        views.collect()
    }

    /// The process takes in what its engines have done.
    pub(super) fn take_endings(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        for ending in std::mem::take(&mut self.inbox) {
            if ending.incarnation == self.incarnation {
                let (attempt, end) = (ending.attempt, ending.end);
                self.step(cluster, world, Input::Ended { attempt, end });
            }
        }
    }

    /// The engines go on.
    pub(super) fn advance_engines(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        let endings = self.pool.advance(cluster.now_ms(), world);
        if !endings.is_empty() {
            self.inbox.extend(endings);
            cluster.wake(self.client, 1, Timer::Serve);
        }
        self.wake_engines(cluster);
    }

    /// The workers die with what runs there.
    pub(super) fn kill_engines(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        self.pool.die();
        self.advance_engines(cluster, world);
    }

    fn wake_engines(&self, cluster: &mut Cluster<JobGroup>) {
        if let Some(at_ms) = self.pool.next_ms() {
            let after_ms = at_ms.saturating_sub(cluster.now_ms()).max(1);
            cluster.wake(self.engines_client, after_ms, Timer::Next);
        }
    }

    fn step(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, input: Input) {
        let now_ms = self.local_ms(cluster);
        for output in self.planner.step(now_ms, input) {
            self.carry_out(cluster, world, output);
        }
    }

    fn carry_out(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, output: Output) {
        let client = self.client.0;
        let now_ms = cluster.now_ms();
        match output {
            Output::Lease(ask) => {
                if has_shell_defect(cluster.defect(), ShellDefect::RunBeforeLeaseCommits) {
                    self.preview(cluster, world, ask.clone());
                }
                self.propose(cluster, world, NodeCall::Lease, JobCommand::Lease(ask));
            }
            Output::Renew(renewal) => {
                let command = JobCommand::Renew(renewal);
                self.propose(cluster, world, NodeCall::Renew, command);
            }
            Output::Report(ends) => {
                cluster.note(|| format!("node {client} reports {:?}", ends.reports));
                self.propose(cluster, world, NodeCall::Report, JobCommand::End(ends));
            }
            Output::Start { attempt, item, .. } => {
                cluster.note(|| format!("node {client} starts {attempt:?}"));
                let item = Arc::clone(&item);
                let rng = cluster.rng();
                self.pool.send(now_ms, rng, self.incarnation, attempt, item);
                self.wake_engines(cluster);
            }
            Output::Command { attempt, command } => {
                cluster.note(|| format!("node {client} tells {attempt:?} {command:?}"));
                self.pool.tell(now_ms, attempt, command);
                self.wake_engines(cluster);
            }
            Output::Forget(_) => {}
            Output::Count(_) => cluster.observe("planner event"),
        }
    }

    fn propose(
        &mut self,
        cluster: &mut Cluster<JobGroup>,
        world: &World,
        call: NodeCall,
        command: JobCommand,
    ) {
        let kind = world.propose(cluster.now_ms(), self.leader, command);
        self.call(cluster, call, kind);
    }

    /// A deliberate defect: the group's leader answers before it commits.
    fn preview(&mut self, cluster: &mut Cluster<JobGroup>, world: &World, ask: LeaseItems) {
        let stamp_ms = world.stamp_ms(cluster.now_ms(), self.leader);
        let kind = CallKind::ReadAnyway(JobQuery::Preview(ask, stamp_ms));
        self.call(cluster, NodeCall::Preview, kind);
    }

    fn call(&mut self, cluster: &mut Cluster<JobGroup>, call: NodeCall, kind: CallKind<JobGroup>) {
        let id = cluster.call(self.client, self.leader, kind, CALL_TIMEOUT_MS);
        self.calls.insert(id, call);
    }
}

fn new_planner(name: &NodeName, incarnation: u64) -> Planner {
    Planner::new(NodeIdentity {
        name: name.clone(),
        incarnation,
    })
}
