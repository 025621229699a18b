//! Looks for proof that a worker crashed, and says so.

use std::collections::HashSet;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerState};
use tokio::sync::Notify;

use super::broken_runs::{BrokenRun, BrokenRuns, CrashEvidence};
use super::ledger::{CrashLedger, CrashReport};
use super::WorkerStart;
use crate::exchange::BreakReason;
use crate::node::Node;

/// Requests named in one log line.
const REQUESTS_LOGGED: usize = 16;

/// What a node knows of crashes.
#[derive(Default)]
pub(crate) struct CrashTracker {
    broken: Mutex<BrokenRuns>,
    /// Workers that are being connected to, to see whether they live.
    probed: Mutex<HashSet<WorkerStart>>,
    /// What crashed under which request.
    pub(super) ledger: Mutex<CrashLedger>,
    /// A request was blocked.
    pub(super) blocked: Notify,
}

impl Node {
    /// Notes a run that ended before its answer was whole.
    pub(super) fn run_ended_early(&self, worker: WorkerStart, run: BrokenRun) {
        let now_ms = self.now_ms();
        let is_crash = self.crashes.broken.lock().ended(now_ms, worker, run);
        if is_crash {
            self.runs_crashed(worker, &[run]);
        }
    }

    /// Connects to a worker at which a run broke off: a process that has crashed refuses.
    /// A connection that comes about is kept for the next request.
    pub(super) fn look_for_crash(
        self: &Arc<Self>,
        worker: &Arc<WorkerEntry>,
        reason: &BreakReason,
    ) {
        let start = WorkerStart::of(worker);
        // A silent worker would not answer a connection either; the list tells.
        if reason.is_unresponsive() || !self.crashes.probed.lock().insert(start) {
            return;
        }
        let (node, worker) = (self.clone(), worker.clone());
        tokio::spawn(async move {
            match node.connections().open(&worker).await {
                Ok(connection) => {
                    node.crashes.broken.lock().lives(start);
                    node.connections().put(&worker.id, connection, None);
                }
                Err(BreakReason::Refused) => {
                    node.record_worker_crash(&worker, CrashEvidence::Refused)
                }
                // It may be cut off; the list tells.
                Err(_) => {}
            }
            node.crashes.probed.lock().remove(&start);
        });
    }

    /// Something shows that a worker's process is gone. One that is leaving ends without
    /// having crashed.
    pub(crate) fn record_worker_crash(&self, worker: &WorkerEntry, evidence: CrashEvidence) {
        if worker.state == WorkerState::Draining {
            return;
        }
        let start = WorkerStart::of(worker);
        let now_ms = self.now_ms();
        let runs = self.crashes.broken.lock().crashed(now_ms, start, evidence);
        if runs.is_empty() {
            return;
        }
        self.metrics.worker_crashed(evidence.label());
        let requests: Vec<String> = runs
            .iter()
            .take(REQUESTS_LOGGED)
            .map(|run| format!("{} behind event {}", run.request, run.reach))
            .collect();
        log::warn!(
            event = "worker_crashed", worker = worker.id.as_str(), evidence = evidence.label(),
            runs = runs.len(), requests:? = requests; ""
        );
        self.runs_crashed(start, &runs);
    }

    /// Takes runs that ended with a crash of their worker into the ledger, and tells.
    pub(super) fn runs_crashed(&self, worker: WorkerStart, runs: &[BrokenRun]) {
        self.metrics.runs_crashed.inc_by(runs.len() as u64);
        let reports = runs.iter().map(|run| CrashReport {
            request: run.request,
            worker,
            reach: run.reach,
            is_cleared: false,
            age_ms: 0,
        });
        let reports: Vec<CrashReport> = reports.collect();
        let news = self.take_crashes(&reports);
        self.peers.tell_crashes(&news);
    }
}
