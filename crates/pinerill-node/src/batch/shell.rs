//! The I/O shell around the planner: feeds it inputs and carries out its outputs.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pinerill_types::job::LeasedItem;
use pinerill_types::{EngineId, ServiceName};
use pinerill_wire::message::{AttemptRef, Request};
use tokio::sync::{mpsc, watch};

use super::calls::{GroupCall, GroupCalls};
use super::control::BatchControl;
use super::message::{Backlog, Event, Input, NodeIdentity, Output, RunCommand, RunEnd};
use super::observer::EngineObserver;
use super::planner::Planner;
use super::run::{EngineRun, PartialAnswer, TimedCommand};
use crate::clock;
use crate::configuration::Configuration;
use crate::dispatcher::Dispatcher;
use crate::engine::AnswerReader;
use crate::groups::Groups;
use crate::membership::{Fleet, Served};
use crate::metrics::Metrics;
use crate::node::Node;

/// Time between two refreshes while there is batch work.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two refreshes while there is no batch work.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// The batch loop of one node. It owns the planner and the tasks of all runs.
pub struct BatchShell {
    planner: Planner,
    observer: EngineObserver,
    calls: GroupCalls,
    fleet: Arc<Fleet>,
    groups: Arc<Groups>,
    configuration: Arc<Configuration>,
    metrics: Arc<Metrics>,
    control: Arc<BatchControl>,
    /// Services with items that wait for a lease.
    backlogged: BTreeSet<ServiceName>,
    runs: HashMap<AttemptRef, watch::Sender<TimedCommand>>,
    partials: HashMap<AttemptRef, PartialAnswer>,
    inputs: mpsc::UnboundedSender<ShellInput>,
    received: mpsc::UnboundedReceiver<ShellInput>,
}

/// A message from a background task to the shell.
pub(super) enum ShellInput {
    /// An input to pass on to the planner unchanged.
    Planner(Input),
    /// A run ended; holds its outcome and the part of the answer that it read.
    Ended(AttemptRef, RunEnd, Box<PartialAnswer>),
}

impl BatchShell {
    /// Creates the batch loop of a node. Nothing happens until [`Self::run`].
    pub fn new(node: &Node, dispatcher: Arc<Dispatcher>) -> Self {
        let identity = NodeIdentity {
            name: node.settings.name.clone(),
            incarnation: node.incarnation,
        };
        // An unbounded channel is safe here: it carries one response per open call
        // and one end per run, and the planner bounds the number of both.
        let (inputs, received) = mpsc::unbounded_channel();
        Self {
            planner: Planner::new(identity),
            observer: EngineObserver::new(node.fleet.clone(), dispatcher),
            calls: GroupCalls::new(node.api.clone(), inputs.clone()),
            fleet: node.fleet.clone(),
            groups: node.groups.clone(),
            configuration: node.configuration.clone(),
            metrics: node.metrics.clone(),
            control: node.batch.clone(),
            backlogged: BTreeSet::new(),
            runs: HashMap::new(),
            partials: HashMap::new(),
            inputs,
            received,
        }
    }

    /// Runs until a planned stop has begun and all batch work of the node has been
    /// finished or returned.
    pub async fn run(mut self) {
        let control = self.control.clone();
        let mut draining = false;
        while !(draining && self.planner.is_idle()) {
            let pause = if self.planner.is_idle() {
                IDLE_INTERVAL
            } else {
                BUSY_INTERVAL
            };
            tokio::select! {
                biased;
                () = self.fleet.online_arrived.notified() => {}
                Some(input) = self.received.recv() => self.handle_message(input),
                () = control.stop_begun(), if !draining => {
                    draining = true;
                    let grace_ms = control.grace_ms();
                    self.step(Input::Drain { grace_ms });
                }
                () = self.groups.changed.notified() => {
                    let backlog = self.groups.backlog();
                    self.backlogged = services_with_backlog(&backlog);
                    self.step(Input::Backlog(backlog));
                }
                () = tokio::time::sleep(pause) => {}
            }
            self.refresh();
        }
        self.control.finish();
    }

    /// Passes the current policies, engine states and received messages to the
    /// planner, and updates the metrics.
    fn refresh(&mut self) {
        if let Some(policies) = self.observer.policies(&self.configuration) {
            self.step(Input::Policies(policies));
        }
        let views = self.observer.views(&self.backlogged);
        self.step(Input::Engines(views));
        while let Ok(input) = self.received.try_recv() {
            self.handle_message(input);
        }
        let totals = self.planner.totals();
        self.metrics.batch_running.set(totals.running as i64);
        self.metrics.batch_paused.set(totals.paused as i64);
        self.metrics.batch_window.set(totals.window as i64);
        self.control
            .set_running_at_most_once(self.planner.running_at_most_once());
    }

    fn handle_message(&mut self, input: ShellInput) {
        match input {
            ShellInput::Planner(input) => self.step(input),
            ShellInput::Ended(attempt, end, partial) => {
                self.runs.remove(&attempt);
                self.partials.insert(attempt, *partial);
                self.step(Input::Ended { attempt, end });
            }
        }
    }

    fn step(&mut self, input: Input) {
        let outputs = self.planner.step(clock::now_ms(), input);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Lease(message) => self.call(GroupCall::Lease, Request::LeaseItems(message)),
            Output::Renew(message) => self.call(GroupCall::Renew, Request::RenewLeases(message)),
            Output::Report(message) => {
                let count = message.reports.len();
                self.call(GroupCall::Report(count), Request::EndAttempts(message));
            }
            Output::Start {
                attempt,
                item,
                engine,
                lease_end_ms,
            } => self.start(attempt, item, &engine, lease_end_ms),
            Output::Command { attempt, command } => self.send_command(attempt, command),
            Output::Forget(attempt) => {
                self.partials.remove(&attempt);
            }
            Output::Count(event) => self.count(event),
        }
    }

    fn call(&self, call: GroupCall, request: Request) {
        self.calls.start(call, request);
    }

    fn send_command(&self, attempt: AttemptRef, command: RunCommand) {
        let since = Instant::now();
        if let Some(commands) = self.runs.get(&attempt) {
            commands.send_replace(TimedCommand { command, since });
        }
    }

    fn start(
        &mut self,
        attempt: AttemptRef,
        item: Arc<LeasedItem>,
        engine: &EngineId,
        lease_end_ms: u64,
    ) {
        let request_id = request_id(attempt);
        let earlier = self.partials.remove(&attempt);
        let catalog = self.configuration.catalog();
        let plan = catalog.and_then(|catalog| catalog.service(&item.service).cloned());
        let found = self.fleet.engine(engine);
        let served = plan.as_ref().zip(found.as_ref());
        let served = served.and_then(|(plan, engine)| engine.serves(plan));
        let (Some(plan), Some(engine), Some(served)) = (plan, found, served) else {
            let partial = empty_partial(&request_id, None);
            let end = RunEnd::NotRun("the service, the engine or its model has gone".to_owned());
            let _ = self
                .inputs
                .send(ShellInput::Ended(attempt, end, Box::new(partial)));
            return;
        };
        // A partial answer can only be continued by the model version that
        // generated it.
        let earlier = earlier.filter(|partial| partial.served.as_ref() == Some(&served));
        let partial = earlier.unwrap_or_else(|| empty_partial(&request_id, Some(served.clone())));
        let now = Instant::now();
        let (sender, commands) = watch::channel(TimedCommand {
            command: RunCommand::Run,
            since: now,
        });
        self.runs.insert(attempt, sender);
        let run = EngineRun {
            engine,
            fleet: self.fleet.clone(),
            metrics: self.metrics.clone(),
            plan,
            served,
            item,
            request_id,
            lease_end_ms,
            commands,
            partial,
        };
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let (end, partial) = run.run().await;
            let _ = inputs.send(ShellInput::Ended(attempt, end, Box::new(partial)));
        });
    }

    fn count(&self, event: Event) {
        let metrics = &self.metrics;
        match event {
            Event::Leased(count) => metrics.batch_leased.inc_by(count),
            Event::Yielded => metrics.batch_yields.inc(),
            Event::Moved => metrics.batch_moves.inc(),
            Event::LeaseLost => metrics.leases_lost.inc(),
            Event::Verdict(label) => metrics.batch_items.with_label_values(&[label]).inc(),
        }
    }
}

fn empty_partial(request_id: &str, served: Option<Served>) -> PartialAnswer {
    PartialAnswer {
        served,
        reader: AnswerReader::new(request_id),
    }
}

/// Returns the services with at least one item that waits for a lease.
fn services_with_backlog(backlog: &Backlog) -> BTreeSet<ServiceName> {
    let waiting = backlog
        .iter()
        .filter(|(_, groups)| groups.values().any(|pending| *pending > 0));
    waiting.map(|(service, _)| service.clone()).collect()
}

/// Returns the identifier of an attempt at engines. It is unique per attempt.
pub fn request_id(attempt: AttemptRef) -> String {
    format!("{}.{}.{}", attempt.job, attempt.index, attempt.attempt)
}
