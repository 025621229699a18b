//! What is told of a call: one log line when it ends, and its metrics.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::protocol::Refusal;
use pinerill_process::clock::BootTime;

use super::Call;
use crate::fleet::Chosen;
use crate::node::Node;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// Its answer was whole.
    Answered,
    /// It was refused.
    Refused(Refusal),
    /// Its answer was cut; why.
    Cut(String),
    /// Its caller went away.
    Left,
}

impl CallOutcome {
    /// The kind of the log line.
    fn event(&self) -> &'static str {
        match self {
            CallOutcome::Answered => "call_answered",
            CallOutcome::Refused(_) => "call_refused",
            CallOutcome::Cut(_) => "call_cut",
            CallOutcome::Left => "call_left",
        }
    }

    /// The label in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::Refused(Refusal::NotRun { .. }) => "not_run",
            CallOutcome::Refused(_) => "failed",
            CallOutcome::Cut(_) => "cut",
            CallOutcome::Left => "left",
        }
    }

    fn reason(&self) -> String {
        match self {
            CallOutcome::Answered | CallOutcome::Left => String::new(),
            CallOutcome::Refused(refusal) => refusal.to_string(),
            CallOutcome::Cut(reason) => reason.clone(),
        }
    }
}

/// The record of a call while it goes on. A record that is dropped without an
/// outcome was left by its caller.
pub struct CallRecord {
    node: Arc<Node>,
    id: String,
    route: String,
    kind: &'static str,
    table_version: u64,
    arrived: BootTime,
    /// Each attempt with what decided it and what became of it.
    attempts: String,
    /// Time that it waited here for places at workers.
    waited: Duration,
    /// When it got its first place.
    placed: Option<BootTime>,
    first_event: Option<BootTime>,
    last_event: Option<BootTime>,
    events: usize,
    outcome: CallOutcome,
}

impl CallRecord {
    /// The record of a call that begins.
    pub fn begin(node: &Arc<Node>, call: &Call) -> Self {
        CallRecord {
            node: node.clone(),
            id: call.head.id.clone(),
            route: call.route.name.clone(),
            kind: call.route.kind.name(),
            table_version: call.table_version,
            arrived: call.arrived,
            attempts: String::new(),
            waited: Duration::ZERO,
            placed: None,
            first_event: None,
            last_event: None,
            events: 0,
            outcome: CallOutcome::Left,
        }
    }

    /// An attempt begins.
    pub fn attempt(&mut self, chosen: &Chosen) {
        if !self.attempts.is_empty() {
            self.attempts.push_str("; ");
        }
        let at = self.elapsed_ms();
        self.placed.get_or_insert_with(BootTime::now);
        // Writing to a text can't fail.
        let _ = write!(
            self.attempts,
            "{at} ms {} ({})",
            chosen.entry.id, chosen.basis
        );
    }

    /// It waited for a place at a worker.
    pub fn waited(&mut self, time: Duration) {
        self.waited += time;
    }

    /// The last attempt gave no answer.
    pub fn attempt_failed(&mut self, reason: &dyn std::fmt::Display) {
        let at = self.elapsed_ms();
        let _ = write!(self.attempts, " > {reason} at {at} ms");
    }

    /// Events are passed on.
    pub fn events(&mut self, count: usize) {
        let now = BootTime::now();
        let metrics = &self.node.metrics;
        match self.last_event {
            None => metrics.first_event(self.kind, now.duration_since(self.arrived)),
            Some(last) => metrics.gap(self.kind, now.duration_since(last)),
        }
        self.first_event.get_or_insert(now);
        self.last_event = Some(now);
        self.events += count;
    }

    /// It ended.
    pub fn end(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }

    /// Tells the dispatcher how long it took from its place on.
    fn tell_times(&self) {
        let (Some(placed), Some(first)) = (self.placed, self.first_event) else {
            return;
        };
        if self.outcome == CallOutcome::Answered {
            let times = &self.node.dispatcher.times;
            times.record(&self.route, first - placed, placed.elapsed());
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let taken = self.arrived.elapsed();
        self.tell_times();
        self.node
            .metrics
            .call_ended(self.kind, self.outcome.label(), taken);
        let first_ms = self
            .first_event
            .map(|at| at.duration_since(self.arrived).as_millis() as u64);
        log::info!(
            event = self.outcome.event(), id = self.id.as_str(), route = self.route.as_str(),
            table = self.table_version, directory_age_ms = self.node.directory_age_ms(),
            attempts = self.attempts.as_str(),
            waited_ms = self.waited.as_millis() as u64, first_ms:? = first_ms, events = self.events,
            ms = taken.as_millis() as u64, reason = self.outcome.reason().as_str(); ""
        );
    }
}
