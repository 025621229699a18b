//! The run: events in order, faults by plan, then rest and the last checks.

use pinerill_storage::GroupStore;

use super::core::Cluster;
use super::event::Event;
use super::fault::{ClientFault, Fault, PlannedFault, Trigger};
use super::observed::{hash_of, Applied};
use super::repair::Repairs;
use super::service::{CallAnswer, CallResult, ClientId, GroupService, Timer};
use super::settings::{Plan, GROUP};
use crate::scenario::RunReport;

/// How often it is looked whether everything rests, virtual milliseconds.
const REST_STEP_MS: u64 = 200;
/// Events at one moment after which a run is taken to be stuck.
const MAX_EVENTS: u64 = 20_000_000;

/// What clients do with a cluster, and what they check.
pub trait Workload<S: GroupService> {
    /// Begins; wakes its clients.
    fn start(&mut self, cluster: &mut Cluster<S>);

    /// A client's timer has run out.
    fn woken(&mut self, cluster: &mut Cluster<S>, client: ClientId, timer: Timer);

    /// A client hears what became of a call.
    fn answered(&mut self, cluster: &mut Cluster<S>, answer: CallAnswer<S>);

    /// A command was applied for the first time anywhere.
    fn applied(&mut self, cluster: &mut Cluster<S>, applied: &Applied);

    /// Something happens to one of its clients, which it picks.
    fn disturb(&mut self, cluster: &mut Cluster<S>, fault: ClientFault);

    /// No more new operations; all faults have ended.
    fn wind_down(&mut self, cluster: &mut Cluster<S>);

    /// Whether every client has come to rest.
    fn rests(&mut self, cluster: &mut Cluster<S>) -> bool;

    /// The last checks.
    fn finish(&mut self, cluster: &mut Cluster<S>);

    /// Operations begun, and those whose outcome was never learnt.
    fn operations(&self) -> (u64, u64);
}

/// One run.
pub struct Simulation<S: GroupService, W> {
    cluster: Cluster<S>,
    workload: W,
    repairs: Repairs,
    /// Faults that wait for a repair or an election.
    waiting: Vec<PlannedFault>,
    candidacies: usize,
    elections: usize,
    events: u64,
}

impl<S: GroupService, W: Workload<S>> Simulation<S, W> {
    /// Runs the plan and reports.
    pub fn run(cluster: Cluster<S>, workload: W, plan: &Plan) -> RunReport {
        let mut simulation = Simulation {
            cluster,
            workload,
            repairs: Repairs::default(),
            waiting: Vec::new(),
            candidacies: 0,
            elections: 0,
            events: 0,
        };
        simulation.begin(plan);
        simulation.run_until(plan.duration_ms);
        simulation.come_to_rest(plan.rest_limit_ms);
        simulation.check_replicas_agree();
        simulation.workload.finish(&mut simulation.cluster);
        simulation.cluster.trace_violations();
        simulation.report()
    }

    fn begin(&mut self, plan: &Plan) {
        for planned in &plan.faults {
            match planned.trigger {
                Trigger::At(at_ms) => {
                    self.cluster.queue.add(at_ms, Event::Inject(planned.fault));
                }
                _ => self.waiting.push(*planned),
            }
        }
        self.repairs.start(&mut self.cluster);
        self.workload.start(&mut self.cluster);
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some((at_ms, event)) = self.cluster.queue.take_next() {
            if at_ms > end_ms {
                self.cluster.queue.add(at_ms, event);
                break;
            }
            self.cluster.now_ms = at_ms;
            self.events += 1;
            self.handle(event);
            self.pass_on_applied();
            self.plan_after_elections();
            self.cluster.trace_violations();
            if self.events > MAX_EVENTS {
                self.cluster
                    .violate("a run ends", "too many events".to_owned());
                break;
            }
        }
        self.cluster.now_ms = self.cluster.now_ms.max(end_ms);
    }

    fn handle(&mut self, event: Event<S>) {
        let cluster = &mut self.cluster;
        match event {
            Event::Message(envelope) => cluster.on_message(envelope),
            Event::Round { machine, start } => cluster.on_round(machine, start),
            Event::Synced { machine, start } => cluster.on_synced(machine, start),
            Event::Call {
                call,
                client,
                machine,
                kind,
            } => cluster.on_call(call, client, machine, kind),
            Event::Answer(answer) => self.deliver(answer),
            Event::CallTimeout { call, machine } => {
                if let Some(client) = cluster.caller(call) {
                    self.deliver(CallAnswer {
                        call,
                        client,
                        machine,
                        result: CallResult::TimedOut,
                    });
                }
            }
            Event::Wake { client, timer } => self.wake(client, timer),
            Event::Restart { machine } => cluster.restart(machine),
            Event::Heal(cut) => cluster.network.heal(cut),
            Event::RestoreQuality => cluster.network.quality = cluster.settings.quality,
            Event::Inject(fault) => self.inject(fault),
        }
    }

    /// Whether the client is frozen; `event` then waits until it thaws.
    fn wait_for_thaw(&mut self, client: ClientId, event: impl FnOnce() -> Event<S>) -> bool {
        let cluster = &mut self.cluster;
        let until_ms = cluster.frozen_clients.get(&client).copied().unwrap_or(0);
        let frozen = cluster.now_ms < until_ms;
        if frozen {
            cluster.queue.add(until_ms, event());
        }
        frozen
    }

    fn deliver(&mut self, answer: CallAnswer<S>) {
        let client = answer.client;
        let mut answer = Some(answer);
        if self.wait_for_thaw(client, || {
            Event::Answer(answer.take().expect("asked for once"))
        }) {
            return;
        }
        let Some(answer) = answer else {
            return;
        };
        if !self.cluster.close_call(answer.call) {
            return;
        }
        if client == ClientId::REPAIR {
            let before = self.repairs.done();
            self.repairs.answered(&mut self.cluster, answer);
            if self.repairs.done() > before {
                self.plan_after_repair();
            }
        } else {
            self.workload.answered(&mut self.cluster, answer);
        }
    }

    fn wake(&mut self, client: ClientId, timer: Timer) {
        if self.wait_for_thaw(client, || Event::Wake { client, timer }) {
            return;
        }
        if client == ClientId::REPAIR {
            self.repairs.woken(&mut self.cluster);
        } else {
            self.workload.woken(&mut self.cluster, client, timer);
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.cluster.inject(fault);
        if let Fault::Client(fault) = fault {
            self.workload.disturb(&mut self.cluster, fault);
        }
    }

    fn plan_after_repair(&mut self) {
        let done = self.repairs.done();
        self.plan_waiting(|trigger| match trigger {
            Trigger::AfterRepair { number, delay_ms } if number == done => Some(delay_ms),
            _ => None,
        });
    }

    fn plan_after_elections(&mut self) {
        while self.candidacies < self.cluster.candidacies {
            self.candidacies += 1;
            let begun = self.candidacies;
            self.plan_waiting(|trigger| match trigger {
                Trigger::AfterCandidacy { number, delay_ms } if number == begun => Some(delay_ms),
                _ => None,
            });
        }
        while self.elections < self.cluster.checks.elections() {
            self.elections += 1;
            let won = self.elections;
            self.plan_waiting(|trigger| match trigger {
                Trigger::AfterElection { number, delay_ms } if number == won => Some(delay_ms),
                _ => None,
            });
        }
    }

    /// Plans the waiting faults for which `due` gives a delay.
    fn plan_waiting(&mut self, due: impl Fn(Trigger) -> Option<u64>) {
        let now_ms = self.cluster.now_ms;
        for planned in &self.waiting {
            if let Some(delay_ms) = due(planned.trigger) {
                let event = Event::Inject(planned.fault);
                self.cluster.queue.add(now_ms + delay_ms, event);
            }
        }
    }

    fn pass_on_applied(&mut self) {
        for applied in self.cluster.take_applied() {
            self.workload.applied(&mut self.cluster, &applied);
        }
    }

    /// Ends all faults and waits until everything rests.
    fn come_to_rest(&mut self, rest_limit_ms: u64) {
        self.cluster.note(|| "all faults end".to_owned());
        self.waiting.clear();
        self.cluster.heal_everything();
        self.workload.wind_down(&mut self.cluster);
        let limit_ms = self.cluster.now_ms + rest_limit_ms;
        loop {
            self.run_until(self.cluster.now_ms + REST_STEP_MS);
            if self.cluster_rests() && self.workload.rests(&mut self.cluster) {
                return;
            }
            if self.cluster.now_ms >= limit_ms {
                let detail = self.why_restless();
                self.cluster.violate("everything comes to rest", detail);
                return;
            }
        }
    }

    fn why_restless(&mut self) -> String {
        let cluster_rests = self.cluster_rests();
        let workload_rests = self.workload.rests(&mut self.cluster);
        let lost = self.cluster.lost.len();
        let leader = self.cluster.leader();
        format!(
            "cluster rests {cluster_rests}, clients rest {workload_rests}, \
             lost disks {lost}, leader {leader:?}"
        )
    }

    /// Whether all machines run, all repairs are done, and every replica has
    /// durably applied what is committed.
    fn cluster_rests(&self) -> bool {
        let cluster = &self.cluster;
        let commit = cluster.committed_index();
        let settled = cluster.leader().is_some();
        settled
            && cluster.lost.is_empty()
            && cluster.machines.iter().all(|machine| {
                let process = machine.process.as_ref();
                process.is_some_and(|one| one.driver.status().applied == commit)
                    && machine.store.pending() == 0
            })
    }

    /// All replicas hold the same state, in memory and in the table.
    fn check_replicas_agree(&mut self) {
        if !self.cluster_rests() {
            return;
        }
        let mut states = Vec::new();
        for machine in &self.cluster.machines {
            let Some(process) = &machine.process else {
                continue;
            };
            let reader = machine.store.reader(GROUP);
            let unbounded = std::ops::Bound::Unbounded;
            let table = reader.and_then(|one| one.scan(unbounded, unbounded, usize::MAX));
            let table = table.unwrap_or_default();
            let memory = pinerill_control::machine::StateMachine::snapshot(
                &process.driver.machine().read().inner,
            );
            states.push((hash_of(&memory), hash_of(&table)));
        }
        let differing = states.iter().position(|state| *state != states[0]);
        if let Some(place) = differing {
            let detail = format!("machine {place} differs from machine 0: {states:?}");
            self.cluster.violate("replicas agree at rest", detail);
        }
    }

    fn report(self) -> RunReport {
        let (operations, unknown_outcomes) = self.workload.operations();
        RunReport {
            operations,
            unknown_outcomes,
            faults: self.cluster.faults,
            observed: self.cluster.observed,
            violations: self.cluster.checks.into_violations(),
            trace: self.cluster.trace.into_lines(),
        }
    }
}
