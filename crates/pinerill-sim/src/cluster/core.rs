//! The cluster: machines, links, clients' calls and the queue of events.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_replica::{Envelope, ReplicaId, Role};
use pinerill_storage::MemoryStore;

use super::checks::GroupChecks;
use super::clock::LocalClock;
use super::event::{Event, EventQueue};
use super::machine::Machine;
use super::network::{Endpoint, Network};
use super::observed::{Applied, AppliedLog};
use super::service::{CallAnswer, CallId, CallKind, CallResult, ClientId, GroupService, Timer};
use super::settings::ClusterSettings;
use crate::defect::Defect;
use crate::random::SimRng;
use crate::trace::Trace;

/// Place of a machine's first identity; later ones count on from there.
const FIRST_REPLICA: u64 = 1;

/// A simulated cluster with one group.
pub struct Cluster<S: GroupService> {
    pub(super) now_ms: u64,
    pub(super) settings: ClusterSettings,
    pub(super) defect: Option<Defect>,
    pub(super) rng: SimRng,
    pub(super) queue: EventQueue<S>,
    pub(super) machines: Vec<Machine<S>>,
    pub(super) network: Network,
    pub(super) checks: GroupChecks,
    pub(super) applied: Arc<Mutex<AppliedLog>>,
    pub(super) trace: Trace,
    pub(super) faults: BTreeMap<&'static str, u64>,
    pub(super) observed: BTreeMap<&'static str, u64>,
    /// Lost identities that no repair has replaced yet, and their successors.
    /// A learner that is to be added stands twice.
    pub(super) lost: Vec<(ReplicaId, ReplicaId)>,
    pub(super) frozen_clients: BTreeMap<ClientId, u64>,
    /// Candidacies begun so far.
    pub(super) candidacies: usize,
    pub(super) starts: u64,
    traced_violations: usize,
    pub(super) next_request: u64,
    open_calls: BTreeMap<CallId, ClientId>,
    next_call: u64,
    next_replica: u64,
}

impl<S: GroupService> Cluster<S> {
    /// A cluster whose machines are all founders and run.
    pub fn new(
        settings: ClusterSettings,
        defect: Option<Defect>,
        mut rng: SimRng,
        trace: Trace,
    ) -> Self {
        let network = Network::new(settings.quality, rng.fork());
        let mut cluster = Cluster {
            now_ms: 0,
            defect,
            queue: EventQueue::new(),
            machines: Vec::new(),
            network,
            checks: GroupChecks::default(),
            applied: Arc::default(),
            trace,
            faults: BTreeMap::new(),
            observed: BTreeMap::new(),
            lost: Vec::new(),
            frozen_clients: BTreeMap::new(),
            candidacies: 0,
            starts: 0,
            traced_violations: 0,
            next_request: 0,
            open_calls: BTreeMap::new(),
            next_call: 0,
            next_replica: FIRST_REPLICA,
            rng,
            settings,
        };
        cluster.found();
        cluster
    }

    fn found(&mut self) {
        for _ in 0..self.settings.machines + self.settings.learners {
            let replica = self.new_replica();
            let clock = LocalClock::new(0, self.settings.skew_ppm, &mut self.rng);
            self.machines.push(Machine {
                store: MemoryStore::new(replica),
                replica,
                clock,
                process: None,
                frozen_until_ms: 0,
            });
        }
        let replicas: Vec<ReplicaId> = self.machines.iter().map(|one| one.replica).collect();
        let (founders, learners) = replicas.split_at(self.settings.machines);
        for place in 0..replicas.len() {
            let is_founder = place < founders.len();
            self.start_process(place, if is_founder { founders } else { &[] });
            self.machines[place].store.sync();
        }
        self.lost.extend(learners.iter().map(|one| (*one, *one)));
    }

    pub(super) fn new_replica(&mut self) -> ReplicaId {
        let replica = ReplicaId(self.next_replica);
        self.next_replica += 1;
        replica
    }

    /// The virtual time, milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// The run's randomness.
    pub fn rng(&mut self) -> &mut SimRng {
        &mut self.rng
    }

    /// The defect in force.
    pub fn defect(&self) -> Option<Defect> {
        self.defect
    }

    /// Number of control machines.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The place of the machine that has this identity now.
    pub fn place_of(&self, replica: ReplicaId) -> Option<usize> {
        self.machines.iter().position(|one| one.replica == replica)
    }

    /// The place of some machine.
    pub fn any_place(&mut self) -> usize {
        let count = self.machine_count();
        self.rng.below(count)
    }

    /// The place of the machine that is said to lead, or else of some machine.
    pub fn leader_or_any_place(&mut self, leader: Option<ReplicaId>) -> usize {
        let place = leader.and_then(|leader| self.place_of(leader));
        place.unwrap_or_else(|| self.any_place())
    }

    /// Highest index that is known to be committed anywhere.
    pub fn committed_index(&self) -> u64 {
        self.checks.committed_index()
    }

    /// Records a broken rule.
    pub fn violate(&mut self, rule: &'static str, detail: String) {
        self.checks.violate(self.now_ms, rule, detail);
    }

    /// Counts something that the checks saw happen.
    pub fn observe(&mut self, kind: &'static str) {
        *self.observed.entry(kind).or_default() += 1;
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: impl FnOnce() -> String) {
        self.trace.note(self.now_ms, text);
    }

    /// Adds the violations of the last event to the trace.
    pub(super) fn trace_violations(&mut self) {
        for violation in self.checks.violations().iter().skip(self.traced_violations) {
            self.trace.note(violation.at_ms, || {
                format!("VIOLATION {}: {}", violation.rule, violation.detail)
            });
        }
        self.traced_violations = self.checks.violations().len();
    }

    /// Commands that were applied for the first time since the last call.
    pub(super) fn take_applied(&mut self) -> Vec<Applied> {
        let mut log = self.applied.lock();
        let fresh = log.take_fresh();
        let differing = log.take_differing();
        drop(log);
        for index in differing {
            let detail = format!("replicas applied entry {index} differently");
            self.violate("state machine safety", detail);
        }
        fresh
    }

    /// Calls a machine. The client hears of it exactly once: an answer, a
    /// refusal, or that the time is over.
    pub fn call(
        &mut self,
        client: ClientId,
        machine: usize,
        kind: CallKind<S>,
        timeout_ms: u64,
    ) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.open_calls.insert(call, client);
        let timeout = Event::CallTimeout { call, machine };
        self.queue.add(self.now_ms + timeout_ms, timeout);
        let from = Endpoint::Client(client);
        let to = Endpoint::Machine(machine);
        if let Some(delay) = self.network.delays(from, to, false).first() {
            let event = Event::Call {
                call,
                client,
                machine,
                kind,
            };
            self.queue.add(self.now_ms + delay, event);
        }
        call
    }

    /// Wakes a client after a while.
    pub fn wake(&mut self, client: ClientId, after_ms: u64, timer: Timer) {
        let event = Event::Wake { client, timer };
        self.queue.add(self.now_ms + after_ms, event);
    }

    pub(super) fn send(&mut self, envelope: Envelope) {
        let from = self.place_of(envelope.from).map(Endpoint::Machine);
        let to = self.place_of(envelope.to).map(Endpoint::Machine);
        let (Some(from), Some(to)) = (from, to) else {
            return;
        };
        for delay in self.network.delays(from, to, true) {
            let event = Event::Message(envelope.clone());
            self.queue.add(self.now_ms + delay, event);
        }
    }

    pub(super) fn answer(
        &mut self,
        call: CallId,
        client: ClientId,
        machine: usize,
        result: CallResult<S>,
    ) {
        let from = Endpoint::Machine(machine);
        let to = Endpoint::Client(client);
        if let Some(delay) = self.network.delays(from, to, false).first() {
            let answer = CallAnswer {
                call,
                client,
                machine,
                result,
            };
            self.queue.add(self.now_ms + delay, Event::Answer(answer));
        }
    }

    /// Whether the answer is the first that its client hears of the call.
    pub(super) fn close_call(&mut self, call: CallId) -> bool {
        self.open_calls.remove(&call).is_some()
    }

    pub(super) fn caller(&self, call: CallId) -> Option<ClientId> {
        self.open_calls.get(&call).copied()
    }

    /// The place of the process that leads with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leading = self.machines.iter().enumerate().filter_map(|(place, one)| {
            let status = one.process.as_ref()?.driver.status();
            (status.role == Role::Leader).then_some((status.term, place))
        });
        leading.max().map(|(_, place)| place)
    }
}
