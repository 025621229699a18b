//! The engines that one node drives: they go on whatever the node does.

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerill_node::batch::{RunCommand, RunEnd};
use pinerill_types::job::LeasedItem;
use pinerill_wire::message::AttemptRef;

use super::ledger::RunId;
use super::world::World;
use crate::random::SimRng;

/// Longest way of a request to its engine, milliseconds.
const ARRIVAL_MS: u64 = 20;
/// Longest usual run, milliseconds.
const RUN_MS: u64 = 600;
/// Longest run, milliseconds.
const LONG_RUN_MS: u64 = 6_000;
/// Share of long runs.
const LONG_SHARE: f64 = 0.05;

/// How engines behave.
#[derive(Clone, Copy, Debug)]
pub struct EngineStyle {
    /// Share of requests that are refused before they start.
    pub refused_share: f64,
    /// Share of runs whose answer is lost.
    pub lost_share: f64,
    /// Share of runs that fail for good.
    pub failed_share: f64,
}

impl Default for EngineStyle {
    fn default() -> Self {
        EngineStyle {
            refused_share: 0.03,
            lost_share: 0.02,
            failed_share: 0.02,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Completes,
    Fails,
    IsLost,
    IsRefused,
}

/// One request at an engine.
struct Request {
    /// Start of the node that sent it.
    incarnation: u64,
    attempt: AttemptRef,
    item: Arc<LeasedItem>,
    fate: Fate,
    arrives_ms: u64,
    /// Work that is left, milliseconds.
    left_ms: u64,
    run: Option<RunId>,
    /// Since when it runs; none while it has not begun or is paused.
    since_ms: Option<u64>,
    paused: bool,
    stopped: bool,
}

/// The end of a request, for the node's start that sent it.
pub(super) struct Ending {
    pub(super) incarnation: u64,
    pub(super) attempt: AttemptRef,
    pub(super) end: RunEnd,
}

/// The engines of one node.
pub(super) struct EnginePool {
    style: EngineStyle,
    requests: BTreeMap<u64, Request>,
    next_number: u64,
}

impl EnginePool {
    pub(super) fn new(style: EngineStyle) -> Self {
        EnginePool {
            style,
            requests: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// A request leaves the node.
    pub(super) fn send(
        &mut self,
        now_ms: u64,
        rng: &mut SimRng,
        incarnation: u64,
        attempt: AttemptRef,
        item: Arc<LeasedItem>,
    ) {
        let longest_ms = if rng.chance(LONG_SHARE) {
            LONG_RUN_MS
        } else {
            RUN_MS
        };
        self.next_number += 1;
        let request = Request {
            incarnation,
            attempt,
            item,
            fate: self.draw_fate(rng),
            arrives_ms: now_ms + rng.between(1, ARRIVAL_MS),
            left_ms: rng.between(5, longest_ms),
            run: None,
            since_ms: None,
            paused: false,
            stopped: false,
        };
        self.requests.insert(self.next_number, request);
    }

    fn draw_fate(&self, rng: &mut SimRng) -> Fate {
        if rng.chance(self.style.refused_share) {
            Fate::IsRefused
        } else if rng.chance(self.style.lost_share) {
            Fate::IsLost
        } else if rng.chance(self.style.failed_share) {
            Fate::Fails
        } else {
            Fate::Completes
        }
    }

    /// The node tells the newest request of an attempt something.
    pub(super) fn tell(&mut self, now_ms: u64, attempt: AttemptRef, command: RunCommand) {
        let mut requests = self.requests.values_mut().rev();
        if let Some(request) = requests.find(|one| one.attempt == attempt) {
            request.tell(now_ms, command);
        }
    }

    /// The workers die: what runs is lost, what arrives is refused.
    pub(super) fn die(&mut self) {
        for request in self.requests.values_mut() {
            request.fate = match request.run {
                Some(_) => Fate::IsLost,
                None => Fate::IsRefused,
            };
            request.left_ms = 0;
            request.paused = false;
            request.since_ms = request.run.map(|_| 0);
        }
    }

    /// What has come to its end by now.
    pub(super) fn advance(&mut self, now_ms: u64, world: &mut World) -> Vec<Ending> {
        let mut endings = Vec::new();
        self.requests.retain(|_, request| {
            let end = request.advance(now_ms, world);
            let goes_on = end.is_none();
            endings.extend(end.map(|end| Ending {
                incarnation: request.incarnation,
                attempt: request.attempt,
                end,
            }));
            goes_on
        });
        endings
    }

    /// When something happens next.
    pub(super) fn next_ms(&self) -> Option<u64> {
        self.requests.values().filter_map(Request::next_ms).min()
    }
}

impl Request {
    fn tell(&mut self, now_ms: u64, command: RunCommand) {
        match command {
            RunCommand::Run => {
                self.paused = false;
                if self.run.is_some() && self.since_ms.is_none() {
                    self.since_ms = Some(now_ms);
                }
            }
            RunCommand::Pause => {
                self.paused = true;
                if let Some(since_ms) = self.since_ms.take() {
                    self.left_ms = self.left_ms.saturating_sub(now_ms - since_ms);
                }
            }
            RunCommand::Stop => self.stopped = true,
        }
    }

    fn next_ms(&self) -> Option<u64> {
        match (self.run, self.since_ms) {
            (None, _) => Some(self.arrives_ms),
            (Some(_), _) if self.stopped => Some(0),
            (Some(_), Some(since_ms)) => Some(since_ms + self.left_ms),
            (Some(_), None) => None,
        }
    }

    fn advance(&mut self, now_ms: u64, world: &mut World) -> Option<RunEnd> {
        if self.next_ms().is_none_or(|at_ms| now_ms < at_ms) {
            return None;
        }
        let Some(run) = self.run else {
            return self.arrive(now_ms, world);
        };
        if self.stopped {
            return Some(RunEnd::Stopped);
        }
        Some(match self.fate {
            Fate::Completes => {
                RunEnd::Completed(world.ledger.finish(run, &self.item.input.custom_id))
            }
            Fate::Fails => RunEnd::Failed("wrong request".to_owned()),
            Fate::IsLost | Fate::IsRefused => RunEnd::Lost("the worker died".to_owned()),
        })
    }

    fn arrive(&mut self, now_ms: u64, world: &mut World) -> Option<RunEnd> {
        if self.stopped {
            return Some(RunEnd::StoppedBeforeStart);
        }
        if self.fate == Fate::IsRefused {
            return Some(RunEnd::NotRun("refused".to_owned()));
        }
        let once = self.item.input.at_most_once;
        self.run = Some(world.start_run(now_ms, self.attempt, once));
        self.since_ms = (!self.paused).then_some(now_ms);
        None
    }
}
