//! Runs two planners against a model of the job groups and simulated engines.
//!
//! Faults are drawn from a seed: lost responses, failing engines, changing online
//! load, nodes that freeze past their leases and nodes that restart. Time is
//! virtual. Guards against items that never end, that end with the answer of
//! another item, and at-most-once items that run twice.

mod support;

use std::collections::{BTreeMap, HashMap};

use pinerill_node::batch::{
    Backlog, EngineLoad, EngineView, Input, NodeIdentity, NotAnswered, Output, Planner, RunCommand,
    RunEnd, WindowPolicy, LEASE_MS,
};
use pinerill_types::job::{AttemptEnd, ItemInput, ItemState};
use pinerill_types::{Digest, EngineId, JobId};
use pinerill_wire::message::{AttemptRef, Request, Response, SubmitJob};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::jobs::FakeJobs;

const SEEDS: u64 = 12;
const STEP_MS: u64 = 20;
/// No more faults are injected after this time, milliseconds.
const FAULTS_END_MS: u64 = 60_000;
/// Time by which every item must have ended, milliseconds.
const DEADLINE_MS: u64 = 240_000;
const GROUPS: u32 = 2;
const ITEMS: u32 = 300;
const NODES: usize = 2;
const ENGINES: u16 = 2;
const SLOTS: u32 = 4;

/// A run of an item at an engine.
struct Run {
    attempt: AttemptRef,
    remaining_ms: u64,
    paused: bool,
    end: RunEnd,
}

struct Node {
    planner: Planner,
    incarnation: u64,
    frozen_until_ms: u64,
    runs: Vec<Run>,
    /// Responses in flight, each with its arrival time in milliseconds.
    responses: Vec<(u64, Input)>,
    online: Vec<u32>,
    arrivals: u64,
}

struct Simulation {
    random: Pcg64,
    now_ms: u64,
    jobs: FakeJobs,
    nodes: Vec<Node>,
    /// How often each at-most-once item may have run.
    may_have_run: HashMap<(JobId, u32), u32>,
}

fn planner(node: usize, incarnation: u64) -> Planner {
    let name = format!("node-{node}").as_str().into();
    let mut planner = Planner::new(NodeIdentity { name, incarnation });
    let policy = WindowPolicy {
        tail_weight: 0.5,
        limit: 8,
    };
    let policies = BTreeMap::from([("fanar".into(), policy)]);
    planner.step(0, Input::Policies(policies));
    planner
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let nodes = (0..NODES).map(|node| Node {
            planner: planner(node, 1),
            incarnation: 1,
            frozen_until_ms: 0,
            runs: Vec::new(),
            responses: Vec::new(),
            online: vec![0; usize::from(ENGINES)],
            arrivals: 0,
        });
        let mut simulation = Self {
            random: Pcg64::seed_from_u64(seed),
            now_ms: 0,
            jobs: FakeJobs::default(),
            nodes: nodes.collect(),
            may_have_run: HashMap::new(),
        };
        (1..=GROUPS).for_each(|group| simulation.submit(group));
        simulation
    }

    fn submit(&mut self, group: u32) {
        let items = (0..ITEMS).map(|index| ItemInput {
            custom_id: index.to_string(),
            url: "/v1/completions".to_owned(),
            body: "{}".to_owned(),
            at_most_once: index % 3 == 0,
        });
        let part = SubmitJob {
            group,
            tenant: "crew".into(),
            service: "fanar".into(),
            idempotency_key: group.to_string(),
            body_digest: Digest::default(),
            total_items: ITEMS,
            deadline_ms: 1,
            first_index: 0,
            items: items.collect(),
            open_items_limit: ITEMS,
            attempts_limit: 100,
            retention_ms: 1,
        };
        self.jobs.call(group, Request::SubmitJob(part));
    }

    fn injects_faults(&self) -> bool {
        self.now_ms < FAULTS_END_MS
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.injects_faults() && self.random.gen_range(0..100) < percent
    }

    fn is_over(&self) -> bool {
        let open = self.jobs.count(ItemState::Pending) + self.jobs.count(ItemState::Leased);
        open == 0 && self.nodes.iter().all(|node| node.planner.is_idle())
    }

    fn run(&mut self) {
        while self.injects_faults() || !self.is_over() {
            assert!(self.now_ms < DEADLINE_MS, "an item or a report never ends");
            self.now_ms += STEP_MS;
            self.jobs.now_ms = self.now_ms;
            self.jobs.expire();
            for node in 0..NODES {
                self.inject_faults(node);
                if self.nodes[node].frozen_until_ms <= self.now_ms {
                    self.step(node);
                }
            }
        }
    }

    /// Freezes or restarts a node at random and changes the online load of its
    /// engines. A restarted node has lost track of its runs.
    fn inject_faults(&mut self, node: usize) {
        if self.random.gen_range(0..4_000) == 0 && self.injects_faults() {
            let pause = self.random.gen_range(1_000..2 * LEASE_MS);
            self.nodes[node].frozen_until_ms = self.now_ms + pause;
        }
        if self.random.gen_range(0..4_000) == 0 && self.injects_faults() {
            let incarnation = self.nodes[node].incarnation + 1;
            let state = &mut self.nodes[node];
            state.incarnation = incarnation;
            state.planner = planner(node, incarnation);
            state.runs.clear();
            state.responses.clear();
        }
        for engine in 0..usize::from(ENGINES) {
            if self.chance(2) {
                let online = self.random.gen_range(0..=SLOTS);
                let state = &mut self.nodes[node];
                state.arrivals += u64::from(online > state.online[engine]);
                state.online[engine] = online;
            } else if !self.injects_faults() {
                self.nodes[node].online[engine] = 0;
            }
        }
    }

    fn step(&mut self, node: usize) {
        let backlog = self.backlog();
        let views = self.views(node);
        let mut inputs = vec![Input::Engines(views), Input::Backlog(backlog)];
        let now_ms = self.now_ms;
        let state = &mut self.nodes[node];
        let (due, later) = state.responses.drain(..).partition(|(at, _)| *at <= now_ms);
        state.responses = later;
        inputs.extend(due.into_iter().map(|(_, input): (u64, Input)| input));
        let advance = |run: &mut Run| {
            run.remaining_ms =
                run.remaining_ms
                    .saturating_sub(if run.paused { 0 } else { STEP_MS });
            run.remaining_ms == 0
        };
        let mut unfinished = Vec::new();
        for mut run in state.runs.drain(..) {
            if advance(&mut run) {
                let (attempt, end) = (run.attempt, run.end);
                inputs.push(Input::Ended { attempt, end });
            } else {
                unfinished.push(run);
            }
        }
        state.runs = unfinished;
        for input in inputs {
            let outputs = self.nodes[node].planner.step(now_ms, input);
            outputs
                .into_iter()
                .for_each(|output| self.execute(node, output));
        }
    }

    fn backlog(&self) -> Backlog {
        let mut groups = BTreeMap::new();
        for group in 1..=GROUPS {
            for service in self.jobs.backlog(group) {
                groups.insert(group, service.pending);
            }
        }
        BTreeMap::from([("fanar".into(), groups)])
    }

    fn views(&self, node: usize) -> Vec<EngineView> {
        let state = &self.nodes[node];
        let view = |engine: u16| EngineView {
            id: EngineId {
                worker: format!("worker-{node}").as_str().into(),
                engine,
            },
            services: vec!["fanar".into()].into(),
            load: EngineLoad {
                slots: SLOTS,
                online: state.online[usize::from(engine)],
            },
            accepts_batch: true,
            arrivals: state.arrivals,
            preemptions: 0,
            waiting: false,
        };
        (0..ENGINES).map(view).collect()
    }

    fn execute(&mut self, node: usize, output: Output) {
        match output {
            Output::Lease(ask) => {
                let group = ask.group;
                let answer = self.call(group, Request::LeaseItems(ask));
                let result = answer.map(|response| match response {
                    Response::LeaseItems(response) => response.items,
                    other => panic!("{other:?}"),
                });
                self.deliver(node, Input::Leased { group, result });
            }
            Output::Renew(ask) => {
                let group = ask.group;
                let answer = self.call(group, Request::RenewLeases(ask));
                let result = answer.map(|response| match response {
                    Response::RenewLeases(response) => response.lost,
                    other => panic!("{other:?}"),
                });
                self.deliver(node, Input::Renewed { group, result });
            }
            Output::Report(ask) => {
                let group = ask.group;
                let answer = self.call(group, Request::EndAttempts(ask));
                let result = answer.map(|response| match response {
                    Response::EndAttempts(response) => response.verdicts,
                    other => panic!("{other:?}"),
                });
                self.deliver(node, Input::Reported { group, result });
            }
            Output::Start { attempt, .. } => self.start(node, attempt),
            Output::Command { attempt, command } => self.command(node, attempt, command),
            Output::Forget(_) | Output::Count(_) => {}
        }
    }

    /// Calls a group. While faults are injected, the request or the response may be
    /// lost.
    fn call(&mut self, group: u32, request: Request) -> Result<Response, NotAnswered> {
        if self.chance(10) {
            return Err(NotAnswered);
        }
        let answer = self.jobs.call(group, request);
        if self.chance(10) {
            return Err(NotAnswered);
        }
        Ok(answer)
    }

    fn deliver(&mut self, node: usize, input: Input) {
        let slow = if self.chance(1) { LEASE_MS } else { 100 };
        let at = self.now_ms + self.random.gen_range(0..slow);
        self.nodes[node].responses.push((at, input));
    }

    fn start(&mut self, node: usize, attempt: AttemptRef) {
        let item = self.jobs.item(attempt).expect("a leased item");
        let at_most_once = item.input.at_most_once;
        let leased = item.state == ItemState::Leased && item.attempt == attempt.attempt;
        assert!(leased, "{attempt:?} was started without a lease");
        let end = match self.random.gen_range(0..100) {
            0..=9 if self.injects_faults() => RunEnd::NotRun("refused".to_owned()),
            10..=19 if self.injects_faults() => RunEnd::Lost("cut".to_owned()),
            _ => RunEnd::Completed(format!("{{\"index\":{}}}", attempt.index)),
        };
        let ran = !matches!(end, RunEnd::NotRun(_));
        if at_most_once && ran {
            let count = self
                .may_have_run
                .entry((attempt.job, attempt.index))
                .or_default();
            *count += 1;
            assert_eq!(*count, 1, "at-most-once item of {attempt:?} ran twice");
        }
        let remaining_ms = self.random.gen_range(STEP_MS..3_000);
        self.nodes[node].runs.push(Run {
            attempt,
            remaining_ms,
            paused: false,
            end,
        });
    }

    fn command(&mut self, node: usize, attempt: AttemptRef, command: RunCommand) {
        let runs = &mut self.nodes[node].runs;
        let Some(run) = runs.iter_mut().find(|run| run.attempt == attempt) else {
            return;
        };
        match command {
            RunCommand::Pause => run.paused = true,
            RunCommand::Run => run.paused = false,
            RunCommand::Stop => {
                (run.paused, run.remaining_ms) = (false, STEP_MS);
                // A stop may arrive when the item has just ended.
                if self.random.gen_range(0..2) == 0 && !matches!(run.end, RunEnd::NotRun(_)) {
                    run.end = RunEnd::Stopped;
                }
            }
        }
    }
}

#[test]
fn every_item_ends_once_and_no_at_most_once_item_runs_twice() {
    let mut indeterminate = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        for job in simulation.jobs.jobs.values() {
            for (index, item) in job.items.iter().enumerate() {
                let once = item.input.at_most_once;
                let state = item.state;
                indeterminate += usize::from(state == ItemState::Indeterminate);
                let allowed =
                    state == ItemState::Completed || (once && state == ItemState::Indeterminate);
                assert!(allowed, "seed {seed}: {index} is {state:?}");
                let own = format!("{{\"index\":{index}}}");
                assert!(
                    state != ItemState::Completed || item.body == own,
                    "seed {seed}"
                );
                let foreign = item
                    .reports
                    .iter()
                    .any(|end| matches!(end, AttemptEnd::Completed(body) if *body != own));
                assert!(!foreign, "seed {seed}");
            }
        }
    }
    assert!(indeterminate > 0, "no seed produced an indeterminate item");
}
