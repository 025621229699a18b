//! Log line and metrics of a call, written when the call ends.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::protocol::Refusal;
use pinerill_process::clock::BootTime;

use super::Call;
use crate::fleet::ChosenWorker;
use crate::node::Node;

/// How a call ended, for its log line and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response was passed on.
    Answered,
    /// The caller got a refusal.
    Refused(Refusal),
    /// The response was cut off, for the given reason.
    Cut(String),
    /// The caller closed the connection before the response was complete.
    CallerGone,
}

impl CallOutcome {
    /// Returns the `event` value of the log line.
    fn event(&self) -> &'static str {
        match self {
            CallOutcome::Answered => "call_answered",
            CallOutcome::Refused(_) => "call_refused",
            CallOutcome::Cut(_) => "call_cut",
            CallOutcome::CallerGone => "call_left",
        }
    }

    /// Returns the outcome label in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::Refused(Refusal::NotRun { .. }) => "not_run",
            CallOutcome::Refused(_) => "failed",
            CallOutcome::Cut(_) => "cut",
            CallOutcome::CallerGone => "left",
        }
    }

    fn reason(&self) -> String {
        match self {
            CallOutcome::Answered | CallOutcome::CallerGone => String::new(),
            CallOutcome::Refused(refusal) => refusal.to_string(),
            CallOutcome::Cut(reason) => reason.clone(),
        }
    }
}

/// Collects what is logged about a call and writes the log line when dropped. A record that is
/// dropped without an outcome belongs to a call whose caller disconnected.
pub struct CallRecord {
    node: Arc<Node>,
    id: String,
    route: String,
    kind: &'static str,
    table_version: u64,
    /// Identifier of the attempt that the caller continues; empty if it names none.
    resumes: String,
    /// Last event that the caller has; `None` for a new call.
    resume_after: Option<u64>,
    arrived: BootTime,
    /// Text that lists each attempt with its start, its worker, the basis of the choice and the
    /// failure, if any.
    attempts: String,
    /// Total time that the call waited at this node for slots at workers.
    waited: Duration,
    /// Time at which the call got its first slot.
    placed: Option<BootTime>,
    first_event: Option<BootTime>,
    last_event: Option<BootTime>,
    events: usize,
    outcome: CallOutcome,
}

impl CallRecord {
    /// Starts the record of a call.
    pub fn begin(node: &Arc<Node>, call: &Call) -> Self {
        CallRecord {
            node: node.clone(),
            id: call.head.id.clone(),
            route: call.route.name.clone(),
            kind: call.route.kind.name(),
            table_version: call.table_version,
            resumes: call.head.resumes.clone().unwrap_or_default(),
            resume_after: call.head.resume_after,
            arrived: call.arrived,
            attempts: String::new(),
            waited: Duration::ZERO,
            placed: None,
            first_event: None,
            last_event: None,
            events: 0,
            outcome: CallOutcome::CallerGone,
        }
    }

    /// Records the start of an attempt at the chosen worker.
    pub fn begin_attempt(&mut self, chosen: &ChosenWorker) {
        if !self.attempts.is_empty() {
            self.attempts.push_str("; ");
        }
        let at = self.elapsed_ms();
        self.placed.get_or_insert_with(BootTime::now);
        // Writing to a `String` can't fail.
        let version = chosen.entry.version.as_deref().unwrap_or("unknown version");
        let _ = write!(
            self.attempts,
            "{at} ms {} {version} ({})",
            chosen.entry.id, chosen.basis
        );
    }

    /// Adds time that the call waited for a slot at a worker.
    pub fn add_wait(&mut self, time: Duration) {
        self.waited += time;
    }

    /// Records why the current attempt failed.
    pub fn attempt_failed(&mut self, reason: &dyn std::fmt::Display) {
        let at = self.elapsed_ms();
        let _ = write!(self.attempts, " > {reason} at {at} ms");
    }

    /// Records that `count` events are passed on to the caller now. The metrics get the time to the
    /// first event, or else the gap since the previous events.
    pub fn add_events(&mut self, count: usize) {
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

    /// Sets the outcome that is logged when the record is dropped.
    pub fn set_outcome(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }

    /// Records for the dispatcher how long a completed stream took from its first slot to the first
    /// event and to the end.
    fn record_service_times(&self) {
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
        self.record_service_times();
        self.node
            .metrics
            .call_ended(self.kind, self.outcome.label(), taken);
        let first_ms = self
            .first_event
            .map(|at| at.duration_since(self.arrived).as_millis() as u64);
        log::info!(
            event = self.outcome.event(), id = self.id.as_str(), route = self.route.as_str(),
            table = self.table_version, resumes = self.resumes.as_str(),
            resume_after:? = self.resume_after, directory_age_ms = self.node.directory_age_ms(),
            attempts = self.attempts.as_str(),
            waited_ms = self.waited.as_millis() as u64, first_ms:? = first_ms, events = self.events,
            ms = taken.as_millis() as u64, reason = self.outcome.reason().as_str(); ""
        );
    }
}
