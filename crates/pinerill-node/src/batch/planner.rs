//! Decides what runs where and when it steps aside. Pure.
//!
//! An item is leased, waits here for an engine, runs, perhaps steps aside, and
//! ends in a report. Safe because of the order of steps: an item is started
//! only under a lease that its group has committed and that lasts some time
//! longer; an item that is not to be repeated is started again only after a
//! run that certainly never began.

mod answers;
mod ending;
mod placing;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pinerill_types::job::LeasedItem;
use pinerill_types::EngineId;
use pinerill_wire::message::AttemptRef;

use super::demand::GroupHints;
use super::engines::{BoardTotals, EngineBoard};
use super::leases::LeaseBook;
use super::message::{Event, Input, NodeIdentity, Output, RunCommand};
use super::outbox::Outbox;
use crate::routing::rendezvous_weight;

/// Why a run was told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// It goes elsewhere.
    Move,
    /// Its lease is no more.
    LeaseLost,
    /// The node stops.
    Release,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Waits for an engine.
    Ready { since_ms: u64 },
    /// Runs or is paused.
    AtEngine(EngineId),
    /// Was told to stop.
    Stopping(EngineId, StopReason),
}

#[derive(Debug)]
struct Item {
    lease: Arc<LeasedItem>,
    stage: Stage,
    tried: Vec<EngineId>,
    /// A run of this attempt may have run in part.
    may_have_run: bool,
    /// Why the last run broke off that was not told to stop.
    broke_off: Option<String>,
}

/// The order in which items that wait are started.
type ReadyKey = (u64, AttemptRef);

/// The batch side of one node.
#[derive(Debug)]
pub struct Planner {
    board: EngineBoard,
    leases: LeaseBook,
    outbox: Outbox,
    hints: GroupHints,
    items: BTreeMap<AttemptRef, Item>,
    ready: BTreeSet<ReadyKey>,
    /// When a stopping node ends what can be run again.
    drain_until_ms: Option<u64>,
}

impl Planner {
    /// A node without engines or items.
    pub fn new(node: NodeIdentity) -> Self {
        let cursor = rendezvous_weight(node.name.as_str(), "groups") as usize;
        Self {
            board: EngineBoard::default(),
            leases: LeaseBook::new(node.clone()),
            outbox: Outbox::new(node),
            hints: GroupHints::new(cursor),
            items: BTreeMap::new(),
            ready: BTreeSet::new(),
            drain_until_ms: None,
        }
    }

    /// Whether nothing is held, asked for or to be reported.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty() && self.outbox.is_empty() && !self.leases.has_questions()
    }

    /// Items that are at engines and not to be repeated.
    pub fn running_at_most_once(&self) -> usize {
        let items = self.items.values();
        let at_engine = items.filter(|item| !matches!(item.stage, Stage::Ready { .. }));
        at_engine
            .filter(|item| item.lease.input.at_most_once)
            .count()
    }

    /// Sums over all engines.
    pub fn totals(&self) -> BoardTotals {
        self.board.totals()
    }

    /// Takes an input in and says what is to be done.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Tick => {}
            Input::Engines(views) => self.board.observe(now_ms, views),
            Input::Policies(policies) => self.board.set_policies(policies),
            Input::Backlog(backlog) => self.hints.take_backlog(backlog),
            Input::Leased { group, result } => self.leased(now_ms, group, result, &mut out),
            Input::Renewed { group, result } => self.renewed(now_ms, group, result, &mut out),
            Input::Reported { group, result } => self.reported(now_ms, group, result, &mut out),
            Input::Ended { attempt, end } => self.ended(now_ms, attempt, end, &mut out),
            Input::Drain { grace_ms } => self.drain_until_ms = Some(now_ms + grace_ms),
        }
        self.advance(now_ms, &mut out);
        out
    }

    /// What time and the inputs so far lead to. Yields come first.
    fn advance(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        self.board.tick(now_ms);
        self.share(now_ms, out);
        for attempt in self.leases.take_expired(now_ms) {
            self.expire(now_ms, attempt, out);
        }
        self.drain(now_ms, out);
        self.start_ready(now_ms, out);
        self.release_stale(now_ms, out);
        self.ask(now_ms);
        let questions = self.leases.due_questions(now_ms);
        out.extend(questions.into_iter().map(Output::Lease));
        let renewals = self.leases.due_renewals(now_ms);
        out.extend(renewals.into_iter().map(Output::Renew));
        let reports = self.outbox.due(now_ms);
        out.extend(reports.into_iter().map(Output::Report));
    }

    /// Pauses, resumes and moves by the windows.
    fn share(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for attempt in self.board.take_yields(now_ms) {
            self.tell(attempt, RunCommand::Pause, out);
            out.push(Output::Count(Event::Yielded));
        }
        for attempt in self.board.take_resumes(now_ms) {
            self.tell(attempt, RunCommand::Run, out);
        }
        for attempt in self.board.paused_too_long(now_ms) {
            let item = self.items.get(&attempt);
            // Stopping an item that is not to be repeated would be its end.
            if item.is_some_and(|item| !item.lease.input.at_most_once) {
                self.stop(attempt, StopReason::Move, out);
            }
        }
    }

    /// Tells a run something. One that was told to stop hears nothing more,
    /// since only the last command counts.
    fn tell(&self, attempt: AttemptRef, command: RunCommand, out: &mut Vec<Output>) {
        let item = self.items.get(&attempt);
        if item.is_some_and(|item| matches!(item.stage, Stage::AtEngine(_))) {
            out.push(Output::Command { attempt, command });
        }
    }

    fn drain(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(until_ms) = self.drain_until_ms else {
            return;
        };
        let paused: BTreeSet<AttemptRef> = self.board.paused().collect();
        let attempts: Vec<AttemptRef> = self.items.keys().copied().collect();
        for attempt in attempts {
            let Some(item) = self.items.get(&attempt) else {
                continue;
            };
            let once = item.lease.input.at_most_once;
            let is_paused = paused.contains(&attempt);
            if matches!(item.stage, Stage::Ready { .. }) {
                self.give_back(now_ms, attempt, out);
            } else if once && is_paused {
                self.board.force_resume(now_ms, attempt);
                self.tell(attempt, RunCommand::Run, out);
            } else if !once && (is_paused || until_ms <= now_ms) {
                self.stop(attempt, StopReason::Release, out);
            }
        }
    }
}
