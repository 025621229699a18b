//! One run of a request at a worker, from its first byte to its end.

use std::sync::Arc;

use pinerill_calls::directory::{WorkerEntry, WorkerId};

use super::broken_runs::{BrokenRun, RunEnd};
use super::{RequestIdentity, WorkerStart};
use crate::exchange::BreakReason;
use crate::node::Node;

/// A run. One that is dropped before it has an end was left by its caller.
pub struct Run {
    node: Arc<Node>,
    worker: Arc<WorkerEntry>,
    request: Arc<RequestIdentity>,
    /// Number of the last event that arrived; 0 if none did.
    reach: u64,
    is_open: bool,
}

impl Run {
    /// A request is about to be sent to a worker, to go on behind an event if one is named.
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
            reach: resume_after.unwrap_or(0),
            is_open: true,
        }
    }

    /// The worker.
    pub fn worker(&self) -> &WorkerId {
        &self.worker.id
    }

    /// Number of the last event that arrived; 0 if none did.
    pub fn last_event(&self) -> u64 {
        self.reach
    }

    /// Events up to this one have arrived.
    pub fn record_event(&mut self, event: Option<u64>) {
        self.reach = self.reach.max(event.unwrap_or(0));
    }

    /// The worker can't have begun it.
    pub fn mark_not_started(mut self) {
        self.is_open = false;
    }

    /// The worker answered whole, so that it outlived the request.
    pub fn mark_answered(mut self) {
        self.is_open = false;
        self.node.request_answered(&self.request);
    }

    /// It broke off.
    pub fn mark_broken(mut self, reason: &BreakReason) {
        self.is_open = false;
        self.node.request_outlived(&self.request, self.reach);
        if *reason == BreakReason::Restarted {
            let run = self.ended(RunEnd::Broke);
            self.node
                .runs_crashed(WorkerStart::of(&self.worker), &[run]);
        } else if reason.may_be_crash() {
            self.note(RunEnd::Broke);
            self.node.look_for_crash(&self.worker, reason);
        }
    }

    fn note(&self, end: RunEnd) {
        self.node
            .run_ended_early(WorkerStart::of(&self.worker), self.ended(end));
    }

    fn ended(&self, end: RunEnd) -> BrokenRun {
        BrokenRun {
            request: self.request.fingerprint(),
            reach: self.reach,
            end,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.is_open {
            self.node.request_outlived(&self.request, self.reach);
            self.note(RunEnd::Left);
        }
    }
}
