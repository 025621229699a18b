//! Looks for evidence that workers crashed, and reports the runs that a crash ended.
//!
//! Runs of requests record here when they end early; the watch and the connections to workers
//! supply evidence.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerState};
use tokio::sync::Notify;

use super::broken_runs::{BrokenRun, BrokenRuns, CrashEvidence};
use super::ledger::{CrashLedger, CrashReport};
use super::part_ledger::{PartCrashReport, PartLedger};
use super::trials::Trials;
use super::{PartKey, WorkerIncarnation};
use crate::exchange::BreakReason;
use crate::node::Node;

/// Limit on the requests listed in one log line.
const REQUESTS_LOGGED: usize = 16;
/// Limit on the prompt parts listed in one log line.
const PARTS_LOGGED: usize = 8;

/// A node's state about crashes of workers.
pub(crate) struct CrashTracker {
    broken: Mutex<BrokenRuns>,
    /// Workers that are being probed with a new connection.
    probing: Mutex<HashSet<WorkerIncarnation>>,
    /// Known crashes by request, also from other nodes.
    pub(super) ledger: Mutex<CrashLedger>,
    /// Known crashes by part of prompts, also from other nodes.
    pub(super) parts: Mutex<PartLedger>,
    /// Trial runs of what is blocked, also of other nodes.
    pub(super) trials: Mutex<Trials>,
    /// Wakes tasks that wait for a request to be blocked, whenever a report changes a verdict.
    pub(super) blocked: Notify,
}

impl CrashTracker {
    /// Creates the state of the node with this name.
    pub(crate) fn new(node: &str) -> Self {
        CrashTracker {
            broken: Mutex::default(),
            probing: Mutex::default(),
            ledger: Mutex::default(),
            parts: Mutex::default(),
            trials: Mutex::new(Trials::new(node)),
            blocked: Notify::new(),
        }
    }
}

impl Node {
    /// Records a run that ended before its answer was complete.
    pub(super) fn record_early_end(&self, worker: WorkerIncarnation, run: BrokenRun) {
        let now_ms = self.now_ms();
        let is_crash = self
            .crashes
            .broken
            .lock()
            .record(now_ms, worker, run.clone());
        if is_crash {
            self.report_crashed_runs(worker, std::slice::from_ref(&run));
            self.report_crashed_parts(worker, &[run]);
        }
    }

    /// Probes a worker at which a run broke off with a new connection, which a crashed process
    /// refuses. A connection that stays open goes into the pool for the next request.
    pub(super) fn probe_worker(self: &Arc<Self>, worker: &Arc<WorkerEntry>, reason: &BreakReason) {
        let incarnation = WorkerIncarnation::of(worker);
        // An unresponsive worker would not answer a connection either; the worker list shows
        // whether it has ended.
        if reason.is_unresponsive() || !self.crashes.probing.lock().insert(incarnation) {
            return;
        }
        let (node, worker) = (self.clone(), worker.clone());
        tokio::spawn(async move {
            match node.connections().probe(&worker).await {
                Ok(connection) => {
                    node.crashes.broken.lock().mark_alive(incarnation);
                    node.connections().put(&worker.id, connection, None);
                }
                Err(BreakReason::Refused) => node.record_crash(&worker, CrashEvidence::Refused),
                // The worker may be partitioned or ending; the worker list shows whether it has ended.
                Err(_) => {}
            }
            node.crashes.probing.lock().remove(&incarnation);
        });
    }

    /// Handles evidence that a worker's process has ended: reports the runs that ended with it.
    /// Ignores draining workers, which end without a crash.
    pub(crate) fn record_crash(&self, worker: &WorkerEntry, evidence: CrashEvidence) {
        if worker.state == WorkerState::Draining {
            return;
        }
        let incarnation = WorkerIncarnation::of(worker);
        let now_ms = self.now_ms();
        let runs = self
            .crashes
            .broken
            .lock()
            .take_crashed(now_ms, incarnation, evidence);
        if runs.is_empty() {
            return;
        }
        self.metrics.worker_crashed(evidence.label());
        let requests: Vec<String> = runs
            .iter()
            .take(REQUESTS_LOGGED)
            .map(|run| format!("{} after event {}", run.request, run.last_event))
            .collect();
        log::warn!(
            event = "worker_crashed", worker = worker.id.as_str(), evidence = evidence.label(),
            runs = runs.len(), requests:? = requests, parts:? = runs_by_part(&runs); ""
        );
        self.report_crashed_runs(incarnation, &runs);
        // Other evidence comes seconds late and for several workers at the same time.
        if evidence == CrashEvidence::Refused {
            self.report_crashed_parts(incarnation, &runs);
        }
    }

    /// Adds runs that ended with a crash of their worker to the ledger and broadcasts the reports.
    pub(super) fn report_crashed_runs(&self, worker: WorkerIncarnation, runs: &[BrokenRun]) {
        self.metrics.runs_crashed.inc_by(runs.len() as u64);
        let reports = runs.iter().map(|run| CrashReport {
            request: run.request,
            worker,
            last_event: run.last_event,
            is_cleared: false,
            age_ms: 0,
        });
        let reports: Vec<CrashReport> = reports.collect();
        let changed = self.merge_crash_reports(&reports);
        self.peers.broadcast_crashes(&changed);
    }

    /// Adds the parts of the prompts that ran at a crashed worker to the ledger of parts and
    /// broadcasts the reports.
    pub(super) fn report_crashed_parts(&self, worker: WorkerIncarnation, runs: &[BrokenRun]) {
        let parts: HashSet<PartKey> = runs.iter().flat_map(|run| &run.parts).copied().collect();
        let reports = parts.into_iter().map(|part| PartCrashReport {
            part,
            worker,
            is_cleared: false,
            age_ms: 0,
        });
        let reports: Vec<PartCrashReport> = reports.collect();
        let changed = self.merge_part_reports(&reports);
        self.peers.broadcast_crashes(&changed);
    }
}

/// Returns the parts that the prompts of most of the runs hold, with the number of these runs.
fn runs_by_part(runs: &[BrokenRun]) -> Vec<String> {
    let mut counts: HashMap<PartKey, usize> = HashMap::new();
    for part in runs.iter().flat_map(|run| &run.parts) {
        *counts.entry(*part).or_default() += 1;
    }
    let mut counts: Vec<(PartKey, usize)> = counts.into_iter().collect();
    counts.sort_unstable_by_key(|(part, runs)| (std::cmp::Reverse(*runs), *part));
    counts.truncate(PARTS_LOGGED);
    let counts = counts.iter();
    counts
        .map(|(part, runs)| format!("{part} in {runs}"))
        .collect()
}
