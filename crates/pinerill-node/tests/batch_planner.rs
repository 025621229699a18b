//! Tests the decisions of the batch planner under a simulated clock.

mod support;

use std::collections::BTreeMap;

use pinerill_node::batch::{
    EngineLoad, EngineView, Input, NodeIdentity, NotAnswered, Output, Planner, RunCommand, RunEnd,
    WindowPolicy, LEASE_MS,
};
use pinerill_types::job::{AttemptEnd, ItemInput, LeasedItem};
use pinerill_types::{EngineId, JobId};
use pinerill_wire::message::{AttemptRef, AttemptReport, AttemptVerdict};

const GROUP: u32 = 1;

fn engine(number: u16) -> EngineId {
    EngineId {
        worker: "worker-1".into(),
        engine: number,
    }
}

fn view(number: u16, online: u32, arrivals: u64) -> EngineView {
    EngineView {
        id: engine(number),
        services: vec!["fanar".into()].into(),
        load: EngineLoad { slots: 4, online },
        accepts_batch: true,
        arrivals,
        preemptions: 0,
        waiting: false,
    }
}

fn attempt_ref(index: u32) -> AttemptRef {
    let job = JobId {
        group: GROUP,
        sequence: 1,
    };
    AttemptRef {
        job,
        index,
        attempt: 1,
    }
}

fn item(index: u32, at_most_once: bool) -> LeasedItem {
    LeasedItem {
        job: attempt_ref(index).job,
        index,
        attempt: 1,
        tenant: "crew".into(),
        service: "fanar".into(),
        deadline_ms: 1_000_000,
        input: ItemInput {
            custom_id: index.to_string(),
            url: "/v1/completions".to_owned(),
            body: "{}".to_owned(),
            at_most_once,
        },
    }
}

/// A planner with its clock and all outputs so far.
struct Fixture {
    planner: Planner,
    now_ms: u64,
    outputs: Vec<Output>,
}

impl Fixture {
    /// Creates a planner with engines of four slots, fully grown windows and a
    /// backlog of 100 items in one group.
    fn new(engines: u16, tail_weight: f64) -> Self {
        let node = NodeIdentity {
            name: "node-1".into(),
            incarnation: 7,
        };
        let mut fixture = Self {
            planner: Planner::new(node),
            now_ms: 0,
            outputs: Vec::new(),
        };
        let policy = WindowPolicy {
            tail_weight,
            limit: 4,
        };
        fixture.step(Input::Policies(BTreeMap::from([("fanar".into(), policy)])));
        fixture.step(Input::Engines(
            (0..engines).map(|one| view(one, 0, 0)).collect(),
        ));
        fixture.advance(3_000);
        let backlog = BTreeMap::from([("fanar".into(), BTreeMap::from([(GROUP, 100)]))]);
        fixture.step(Input::Backlog(backlog));
        fixture
    }

    fn step(&mut self, input: Input) {
        self.outputs.extend(self.planner.step(self.now_ms, input));
    }

    /// Advances the clock in steps of 50 ms with a tick at each.
    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds.div_ceil(50) {
            self.now_ms += 50;
            self.step(Input::Tick);
        }
    }

    /// Answers the unanswered lease request with these items and lets enough time
    /// pass for those that fit to start one after the other.
    fn receive_items(&mut self, items: Vec<LeasedItem>) {
        let result = Ok(items);
        self.step(Input::Leased {
            group: GROUP,
            result,
        });
        self.advance(300);
    }

    fn end_run(&mut self, index: u32, end: RunEnd) {
        let attempt = attempt_ref(index);
        self.step(Input::Ended { attempt, end });
    }

    fn starts(&self) -> Vec<(u32, u16)> {
        let starts = self.outputs.iter().filter_map(|one| match one {
            Output::Start {
                attempt, engine, ..
            } => Some((attempt.index, engine.engine)),
            _ => None,
        });
        starts.collect()
    }

    fn commands(&self, wanted: RunCommand) -> Vec<u32> {
        let commands = self.outputs.iter().filter_map(|one| match one {
            Output::Command { attempt, command } if *command == wanted => Some(attempt.index),
            _ => None,
        });
        commands.collect()
    }

    fn reports(&self) -> Vec<AttemptReport> {
        let reports = self.outputs.iter().filter_map(|one| match one {
            Output::Report(message) => Some(message.reports.clone()),
            _ => None,
        });
        reports.flatten().collect()
    }

    fn ends(&self) -> Vec<AttemptEnd> {
        self.reports().into_iter().map(|one| one.end).collect()
    }

    fn lease_requests(&self) -> Vec<(u64, u32)> {
        let requests = self.outputs.iter().filter_map(|one| match one {
            Output::Lease(ask) => Some((ask.sequence, ask.wants[0].limit)),
            _ => None,
        });
        requests.collect()
    }
}

#[test]
fn requests_items_for_free_slots_and_starts_them_on_the_emptiest_engine() {
    let mut fixture = Fixture::new(2, 0.5);
    assert_eq!(fixture.lease_requests(), [(1, 8)]);
    fixture.receive_items((0..8).map(|index| item(index, false)).collect());
    let mut per_engine = [0, 0];
    for (_, engine) in fixture.starts() {
        per_engine[usize::from(engine)] += 1;
    }
    assert_eq!(per_engine, [4, 4]);
}

#[test]
fn unanswered_lease_request_is_retried_with_its_sequence_number() {
    let mut fixture = Fixture::new(1, 0.5);
    fixture.step(Input::Leased {
        group: GROUP,
        result: Err(NotAnswered),
    });
    fixture.advance(1_000);
    assert_eq!(fixture.lease_requests(), [(1, 4), (1, 4)]);
}

#[test]
fn item_under_a_lease_that_expires_soon_starts_only_after_renewal() {
    let mut fixture = Fixture::new(1, 0.5);
    fixture.now_ms += LEASE_MS - 1_000;
    fixture.receive_items(vec![item(0, true)]);
    assert!(fixture.starts().is_empty());
    let group = GROUP;
    let result = Ok(Vec::new());
    fixture.step(Input::Renewed { group, result });
    assert_eq!(fixture.starts(), [(0, 0)]);
}

#[test]
fn arrivals_pause_the_newest_items_which_resume_when_the_engine_is_idle() {
    let mut fixture = Fixture::new(1, 0.5);
    fixture.receive_items((0..4).map(|index| item(index, false)).collect());
    fixture.step(Input::Engines(vec![view(0, 2, 1)]));
    assert_eq!(fixture.commands(RunCommand::Pause), [3]);
    fixture.step(Input::Engines(vec![view(0, 4, 2)]));
    assert_eq!(fixture.commands(RunCommand::Pause), [3, 2, 1, 0]);
    fixture.advance(2_000);
    assert!(
        fixture.commands(RunCommand::Run).is_empty(),
        "an item resumed at a full engine"
    );
    fixture.step(Input::Engines(vec![view(0, 0, 2)]));
    fixture.advance(2_000);
    assert_eq!(fixture.commands(RunCommand::Run), [3, 2, 1, 0]);
    assert_eq!(fixture.starts().len(), 4, "an item was started again");
}

#[test]
fn long_paused_items_move_to_another_engine_unless_at_most_once() {
    let mut fixture = Fixture::new(2, 1.0);
    fixture.receive_items((0..6).map(|index| item(index, index < 3)).collect());
    let moved: Vec<u32> = (0..6)
        .filter(|index| engine_of(&fixture, *index) == 0)
        .collect();
    fixture.step(Input::Engines(vec![view(0, 1, 1), view(1, 0, 0)]));
    fixture.advance(5_500);
    let repeatable: Vec<u32> = moved.into_iter().filter(|index| *index >= 3).collect();
    let mut stopped = fixture.commands(RunCommand::Stop);
    stopped.sort_unstable();
    assert_eq!(stopped, repeatable);
    assert!(!stopped.is_empty());
    let first = stopped[0];
    fixture.end_run(first, RunEnd::Stopped);
    let other = (0..6).find(|index| engine_of(&fixture, *index) == 1);
    fixture.end_run(other.expect("one"), RunEnd::Completed("{}".to_owned()));
    assert_eq!(fixture.starts().last(), Some(&(first, 1)));
}

#[test]
fn item_that_ends_while_paused_frees_its_slot() {
    let mut fixture = Fixture::new(1, 1.0);
    fixture.receive_items((0..3).map(|index| item(index, false)).collect());
    fixture.step(Input::Engines(vec![view(0, 1, 1)]));
    assert_eq!(fixture.planner.totals().paused, 3);
    (0..3).for_each(|index| fixture.end_run(index, RunEnd::Completed("{}".to_owned())));
    let totals = fixture.planner.totals();
    assert_eq!((totals.running, totals.paused), (0, 0));
}

fn engine_of(fixture: &Fixture, index: u32) -> u16 {
    let starts = fixture.starts();
    starts.iter().find(|one| one.0 == index).expect("started").1
}

#[test]
fn at_most_once_item_is_not_started_again_once_it_may_have_run() {
    let mut fixture = Fixture::new(2, 0.5);
    fixture.receive_items(vec![item(0, true), item(1, true), item(2, false)]);
    fixture.end_run(0, RunEnd::Lost("cut".to_owned()));
    fixture.end_run(1, RunEnd::NotRun("leaving".to_owned()));
    fixture.end_run(2, RunEnd::Lost("cut".to_owned()));
    fixture.advance(1_000);
    let started = |index| fixture.starts().iter().filter(|one| one.0 == index).count();
    assert_eq!([started(0), started(1), started(2)], [1, 2, 2]);
    assert_eq!(
        fixture.ends(),
        [AttemptEnd::Indeterminate("cut".to_owned())]
    );
}

/// An item that crashes engines must not be retried forever, while an item that
/// never ran is returned without using up an attempt.
#[test]
fn item_lost_at_every_engine_uses_up_an_attempt() {
    let mut fixture = Fixture::new(2, 0.5);
    fixture.receive_items(vec![item(0, false), item(1, false)]);
    for _ in 0..2 {
        fixture.end_run(0, RunEnd::Lost("broke".to_owned()));
        fixture.end_run(1, RunEnd::NotRun("loading".to_owned()));
        fixture.advance(1_000);
    }
    let ends = fixture.ends();
    assert!(ends.contains(&AttemptEnd::Indeterminate("broke".to_owned())));
    assert!(ends.contains(&AttemptEnd::Released));
}

#[test]
fn cancelled_item_is_stopped_and_not_reported() {
    let mut fixture = Fixture::new(1, 0.5);
    fixture.receive_items(vec![item(0, false), item(1, false)]);
    fixture.advance(10_000);
    fixture.step(Input::Renewed {
        group: GROUP,
        result: Ok(vec![attempt_ref(1)]),
    });
    assert_eq!(fixture.commands(RunCommand::Stop), [1]);
    fixture.end_run(1, RunEnd::Stopped);
    fixture.advance(1_000);
    assert!(fixture.ends().is_empty());
}

/// Another node may hold the leases after a freeze, so items that still run here
/// would run twice.
#[test]
fn node_frozen_past_its_leases_stops_all_items_and_starts_none() {
    let mut fixture = Fixture::new(1, 0.5);
    fixture.receive_items((0..6).map(|index| item(index, true)).collect());
    assert_eq!(fixture.starts().len(), 4);
    fixture.now_ms += LEASE_MS;
    fixture.step(Input::Tick);
    let mut stopped = fixture.commands(RunCommand::Stop);
    stopped.sort_unstable();
    assert_eq!(stopped, [0, 1, 2, 3]);
    for index in 0..4 {
        fixture.end_run(index, RunEnd::Stopped);
    }
    fixture.advance(100);
    assert_eq!(fixture.starts().len(), 4);
    assert_eq!(fixture.ends(), [AttemptEnd::Released, AttemptEnd::Released]);
}

#[test]
fn report_is_retried_until_answered() {
    let mut fixture = Fixture::new(1, 0.5);
    fixture.receive_items(vec![item(0, false)]);
    fixture.end_run(0, RunEnd::Completed("{}".to_owned()));
    fixture.advance(100);
    for result in [Err(NotAnswered), Ok(vec![AttemptVerdict::Counted])] {
        let group = GROUP;
        fixture.step(Input::Reported { group, result });
        fixture.advance(1_000);
    }
    assert_eq!(fixture.ends().len(), 2);
}

#[test]
fn draining_node_finishes_at_most_once_items_and_returns_the_rest() {
    let mut fixture = Fixture::new(1, 1.0);
    fixture.receive_items((0..6).map(|index| item(index, index == 2)).collect());
    fixture.step(Input::Engines(vec![view(0, 1, 1)]));
    assert_eq!(fixture.commands(RunCommand::Pause).len(), 3);
    let requests = fixture.lease_requests().len();
    fixture.step(Input::Drain { grace_ms: 1_000 });
    assert_eq!(fixture.commands(RunCommand::Run), [2]);
    let mut stopped = fixture.commands(RunCommand::Stop);
    stopped.sort_unstable();
    assert_eq!(stopped, [0, 1]);
    (0..2).for_each(|index| fixture.end_run(index, RunEnd::Stopped));
    fixture.end_run(2, RunEnd::Completed("{}".to_owned()));
    fixture.advance(1_000);
    let ends = fixture.ends();
    let released = ends.iter().filter(|end| **end == AttemptEnd::Released);
    assert_eq!((released.count(), ends.len()), (5, 6));
    assert!(
        !fixture.planner.is_idle(),
        "unanswered reports do not count"
    );
    let result = Ok(vec![AttemptVerdict::Counted; 6]);
    for _ in 0..3 {
        let result = result.clone();
        fixture.step(Input::Reported {
            group: GROUP,
            result,
        });
        fixture.advance(1_000);
    }
    assert!(fixture.planner.is_idle());
    assert_eq!(
        fixture.lease_requests().len(),
        requests,
        "a draining node requested items"
    );
}
