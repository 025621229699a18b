//! Tracks one run of a request at a worker, from sending its first byte to its end, for crash
//! detection.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_process::clock::BootTime;

use super::broken_runs::{BrokenRun, RunEnd};
use super::{RequestIdentity, TrialClaim, WorkerIncarnation};
use crate::exchange::BreakReason;
use crate::fleet::{StreamOrigin, WorkerSoftware};
use crate::node::Node;

/// Time of writing after which a run is past the beginning of its answer. A part of a prompt that
/// crashes workers does so within some hundred milliseconds.
const BEGINNING: Duration = Duration::from_secs(2);

/// Time of writing in which workers crash that do so under a request.
const EARLY: Duration = Duration::from_millis(500);

/// One run of a request at a worker. A run that is dropped before an outcome is recorded counts as
/// abandoned by its caller.
pub struct Run {
    node: Arc<Node>,
    worker: Arc<WorkerEntry>,
    request: Arc<RequestIdentity>,
    /// Number of the last event received; 0 if none was.
    last_event: u64,
    /// When the first event of this run arrived.
    first_event_at: Option<BootTime>,
    /// Whether the parts of the prompt are recorded as sound.
    has_sound_parts: bool,
    is_open: bool,
    /// Set if this is a trial run of what is known to crash workers.
    trial: Option<TrialClaim>,
}

impl Run {
    /// Starts tracking a request that is about to be sent to a worker. `resume_after` is the number
    /// of the event after which the answer is to continue, if it continues an earlier one.
    pub fn begin(
        node: &Arc<Node>,
        worker: &Arc<WorkerEntry>,
        request: &Arc<RequestIdentity>,
        resume_after: Option<u64>,
    ) -> Self {
        Run {
            node: node.clone(),
            worker: worker.clone(),
            request: request.clone(),
            last_event: resume_after.unwrap_or(0),
            first_event_at: None,
            has_sound_parts: false,
            is_open: true,
            trial: None,
        }
    }

    /// Makes the run a trial run if there is a claim.
    pub(crate) fn on_trial(mut self, trial: Option<TrialClaim>) -> Self {
        self.trial = trial;
        self
    }

    /// Returns the identifier of the worker that runs the request.
    pub fn worker(&self) -> &WorkerId {
        &self.worker.id
    }

    /// Returns the software of the worker.
    pub fn software(&self) -> WorkerSoftware {
        WorkerSoftware::of(&self.worker)
    }

    /// Returns the origin of a stream that this run begins.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin::of(&self.worker)
    }

    /// Returns the number of the last event received; 0 if none was.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Records that events up to this number were received.
    pub fn record_event(&mut self, event: Option<u64>) {
        self.last_event = self.last_event.max(event.unwrap_or(0));
        let began = *self.first_event_at.get_or_insert_with(BootTime::now);
        if !self.has_sound_parts && began.elapsed() >= BEGINNING {
            self.record_sound_parts();
        }
    }

    /// Ends a run that the worker can't have started.
    pub fn mark_not_started(mut self) {
        self.is_open = false;
    }

    /// Ends a run whose answer is a success and complete, so that the worker has written all of it.
    pub fn mark_completed(mut self) {
        self.record_sound_parts();
        self.mark_answered();
    }

    /// Ends a run whose event stream is complete. A stream without events shows nothing about the
    /// parts of its prompt.
    pub fn mark_stream_completed(self) {
        match self.first_event_at {
            Some(_) => self.mark_completed(),
            None => self.mark_answered(),
        }
    }

    fn record_sound_parts(&mut self) {
        self.has_sound_parts = true;
        self.node.record_sound_parts(&self.request);
    }

    /// Ends a run whose answer is complete, which shows that the request did not crash the worker.
    pub fn mark_answered(mut self) {
        self.is_open = false;
        self.node.record_answered(&self.request);
    }

    /// Ends a run that broke off. Counts it as crashed at once if the worker restarted, and
    /// otherwise probes the worker if `reason` may be due to a crash.
    pub fn mark_broken(mut self, reason: &BreakReason) {
        self.is_open = false;
        if *reason == BreakReason::Restarted || reason.may_be_crash() {
            self.trial
                .take()
                .into_iter()
                .for_each(TrialClaim::await_evidence);
        }
        self.node
            .clear_crashes_before(&self.request, self.last_event);
        if *reason == BreakReason::Restarted {
            let run = self.to_broken_run(RunEnd::Broken);
            let worker = WorkerIncarnation::of(&self.worker);
            self.node
                .report_crashed_runs(worker, std::slice::from_ref(&run));
            self.node.report_crashed_parts(worker, &[run]);
        } else if reason.may_be_crash() {
            self.record_early_end(RunEnd::Broken);
            self.node.probe_worker(&self.worker, reason);
        }
    }

    /// Returns whether the worker may crash under the run although it has not yet.
    fn may_crash_yet(&self) -> bool {
        let first = self.first_event_at;
        first.is_none_or(|first| first.elapsed() < EARLY)
    }

    fn record_early_end(&self, end: RunEnd) {
        self.node
            .record_early_end(WorkerIncarnation::of(&self.worker), self.to_broken_run(end));
    }

    fn to_broken_run(&self, end: RunEnd) -> BrokenRun {
        BrokenRun {
            request: self.request.fingerprint(),
            parts: self.request.part_keys().to_vec(),
            last_event: self.last_event,
            end,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.is_open {
            if self.may_crash_yet() {
                self.trial
                    .take()
                    .into_iter()
                    .for_each(TrialClaim::await_evidence);
            }
            self.node
                .clear_crashes_before(&self.request, self.last_event);
            self.record_early_end(RunEnd::Abandoned);
        }
    }
}
