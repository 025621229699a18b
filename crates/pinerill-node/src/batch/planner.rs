//! Decides which batch items run at which engine and when they are paused.
//!
//! An item is leased, waits for an engine, runs, may be paused and resumed, and
//! ends in a report to its group. An item is started only under a lease that its
//! group has committed and that does not expire soon. An at-most-once item is
//! started again only after a run that certainly never began.
//!
//! The planner does no I/O and reads no clock.

mod answers;
mod ending;
mod placing;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pinerill_types::job::LeasedItem;
use pinerill_types::EngineId;
use pinerill_wire::message::AttemptRef;

use super::demand::GroupHints;
use super::engines::{BatchTotals, EngineTable};
use super::leases::LeaseTable;
use super::message::{Event, Input, NodeIdentity, Output, RunCommand};
use super::outbox::Outbox;
use crate::routing::rendezvous_weight;

/// Why the planner stopped a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// The item was paused too long and moves to another engine.
    Move,
    /// The lease expired or its group ended it.
    LeaseLost,
    /// The node drains and returns the item to its group.
    Release,
}

/// Where an item is between its lease and its report.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// The item waits for an engine.
    Ready { since_ms: u64 },
    /// The item runs or is paused at this engine.
    AtEngine(EngineId),
    /// The run at this engine was commanded to stop and has not ended yet.
    Stopping(EngineId, StopReason),
}

#[derive(Debug)]
struct Item {
    lease: Arc<LeasedItem>,
    stage: Stage,
    tried: Vec<EngineId>,
    /// Whether an earlier run of this attempt may have executed, at least in part.
    may_have_run: bool,
    /// The cause of the last run that was lost at an engine.
    lost_cause: Option<String>,
}

/// Sort key of items that wait for an engine: the earliest deadline, in
/// milliseconds, starts first.
type ReadyKey = (u64, AttemptRef);

/// The batch scheduler of one node. [`Planner::step`] is its only way to advance.
#[derive(Debug)]
pub struct Planner {
    engines: EngineTable,
    leases: LeaseTable,
    outbox: Outbox,
    hints: GroupHints,
    items: BTreeMap<AttemptRef, Item>,
    ready: BTreeSet<ReadyKey>,
    /// When a draining node stops its repeatable items, in milliseconds. `None`
    /// while the node does not drain.
    drain_until_ms: Option<u64>,
}

impl Planner {
    /// Creates the planner of a node that has no engines and no items yet.
    pub fn new(node: NodeIdentity) -> Self {
        let cursor = rendezvous_weight(node.name.as_str(), "groups") as usize;
        Self {
            engines: EngineTable::default(),
            leases: LeaseTable::new(node.clone()),
            outbox: Outbox::new(node),
            hints: GroupHints::new(cursor),
            items: BTreeMap::new(),
            ready: BTreeSet::new(),
            drain_until_ms: None,
        }
    }

    /// Returns whether the node holds no item, waits for no lease request and has
    /// no report to deliver.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty() && self.outbox.is_empty() && !self.leases.has_requests()
    }

    /// Returns the number of at-most-once items at engines.
    pub fn running_at_most_once(&self) -> usize {
        let items = self.items.values();
        let at_engine = items.filter(|item| !matches!(item.stage, Stage::Ready { .. }));
        at_engine
            .filter(|item| item.lease.input.at_most_once)
            .count()
    }

    /// Returns the numbers of running and paused attempts over all engines.
    pub fn totals(&self) -> BatchTotals {
        self.engines.totals()
    }

    /// Applies an input at `now_ms` and returns the actions that follow, in the
    /// order in which the caller has to carry them out.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Tick => {}
            Input::Engines(views) => self.engines.observe(now_ms, views),
            Input::Policies(policies) => self.engines.set_policies(policies),
            Input::Backlog(backlog) => self.hints.set_backlog(backlog),
            Input::Leased { group, result } => self.on_leased(now_ms, group, result, &mut out),
            Input::Renewed { group, result } => self.on_renewed(now_ms, group, result, &mut out),
            Input::Reported { group, result } => self.on_reported(now_ms, group, result, &mut out),
            Input::Ended { attempt, end } => self.on_run_ended(now_ms, attempt, end, &mut out),
            Input::Drain { grace_ms } => self.drain_until_ms = Some(now_ms + grace_ms),
        }
        self.advance(now_ms, &mut out);
        out
    }

    /// Collects all actions that are due at `now_ms`. Pauses come first.
    fn advance(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        self.engines.tick(now_ms);
        self.apply_windows(now_ms, out);
        for attempt in self.leases.take_expired(now_ms) {
            self.expire_lease(now_ms, attempt, out);
        }
        self.drain(now_ms, out);
        self.start_ready(now_ms, out);
        self.release_stale(now_ms, out);
        self.request_items(now_ms);
        let requests = self.leases.due_requests(now_ms);
        out.extend(requests.into_iter().map(Output::Lease));
        let renewals = self.leases.due_renewals(now_ms);
        out.extend(renewals.into_iter().map(Output::Renew));
        let reports = self.outbox.due(now_ms);
        out.extend(reports.into_iter().map(Output::Report));
    }

    /// Pauses and resumes items to fit the engines' windows, and stops those that
    /// were paused too long.
    fn apply_windows(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for attempt in self.engines.take_yields(now_ms) {
            self.send_command(attempt, RunCommand::Pause, out);
            out.push(Output::Count(Event::Yielded));
        }
        for attempt in self.engines.take_resumes(now_ms) {
            self.send_command(attempt, RunCommand::Run, out);
        }
        for attempt in self.engines.paused_too_long(now_ms) {
            let item = self.items.get(&attempt);
            // Stopping an at-most-once item would end it without an answer.
            if item.is_some_and(|item| !item.lease.input.at_most_once) {
                self.stop(attempt, StopReason::Move, out);
            }
        }
    }

    /// Sends a command to a run. A run that was commanded to stop gets no further
    /// command, since a later command would replace the stop.
    fn send_command(&self, attempt: AttemptRef, command: RunCommand, out: &mut Vec<Output>) {
        let item = self.items.get(&attempt);
        if item.is_some_and(|item| matches!(item.stage, Stage::AtEngine(_))) {
            out.push(Output::Command { attempt, command });
        }
    }

    /// While the node drains, returns waiting items, resumes paused at-most-once
    /// items and stops repeatable ones that are paused or have used up the grace
    /// time.
    fn drain(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(until_ms) = self.drain_until_ms else {
            return;
        };
        let paused: BTreeSet<AttemptRef> = self.engines.paused().collect();
        let attempts: Vec<AttemptRef> = self.items.keys().copied().collect();
        for attempt in attempts {
            let Some(item) = self.items.get(&attempt) else {
                continue;
            };
            let once = item.lease.input.at_most_once;
            let is_paused = paused.contains(&attempt);
            if matches!(item.stage, Stage::Ready { .. }) {
                self.return_to_group(now_ms, attempt, out);
            } else if once && is_paused {
                self.engines.force_resume(now_ms, attempt);
                self.send_command(attempt, RunCommand::Run, out);
            } else if !once && (is_paused || until_ms <= now_ms) {
                self.stop(attempt, StopReason::Release, out);
            }
        }
    }
}
