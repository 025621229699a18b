//! Determines which runs ended because their worker crashed. Pure: the caller passes in the time.
//!
//! The end of a connection proves no crash: it may have been reset, cut or corrupted while the
//! worker goes on. A broken run counts as crashed only once there is evidence that its worker's
//! process has ended: new connections are refused, another incarnation answers at its address, or
//! the worker list no longer contains it although it was not draining. Runs without such evidence
//! are dropped after a few seconds.

use std::collections::HashMap;

use super::{PartKey, RequestFingerprint, WorkerIncarnation};

/// Longest time in milliseconds between the end of a run and a refused connection for which both
/// are attributed to the same crash. It is short because a process that ends closes all its
/// connections at once.
const REFUSED_WITHIN_MS: u64 = 1_000;
/// Longest time in milliseconds between the end of a run and evidence from a new incarnation or
/// from the worker list, which lags by some seconds.
const REPLACED_WITHIN_MS: u64 = 6_000;
/// Longest time in milliseconds between a run that this node closed and a crash which that run may
/// have caused: a worker notices a closed connection with some delay.
const ABANDONED_WITHIN_MS: u64 = 500;
/// Limit on the broken runs kept per worker; the oldest are evicted. Workers run fewer at a time.
const MAX_RUNS: usize = 256;
/// Limit on the workers with broken runs; runs of further workers are not recorded.
const MAX_WORKERS: usize = 1_024;

/// Evidence that a worker's process has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// New connections to the worker are refused.
    Refused,
    /// Another incarnation uses the worker's address or identifier.
    Replaced,
    /// The worker list no longer contains the worker, which was not draining.
    Unlisted,
}

impl CrashEvidence {
    /// Returns the label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            CrashEvidence::Refused => "refused",
            CrashEvidence::Replaced => "replaced",
            CrashEvidence::Unlisted => "unlisted",
        }
    }

    fn max_delay_ms(self) -> u64 {
        match self {
            CrashEvidence::Refused => REFUSED_WITHIN_MS,
            CrashEvidence::Replaced | CrashEvidence::Unlisted => REPLACED_WITHIN_MS,
        }
    }
}

/// How a run ended before its answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The connection ended or timed out.
    Broken,
    /// This node closed the connection because the caller disconnected or the item was preempted.
    Abandoned,
}

/// A run that ended before its answer was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// Fingerprint of the request that ran.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartKey>,
    /// Number of the last event received; 0 if none was.
    pub last_event: u64,
    /// Whether the connection broke or this node closed it.
    pub end: RunEnd,
}

#[derive(Debug, Default)]
struct WorkerRuns {
    broken: Vec<(u64, BrokenRun)>,
    /// When the worker was last found to have crashed.
    crashed_ms: Option<u64>,
}

/// Runs that ended early within the last seconds, by worker.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    workers: HashMap<WorkerIncarnation, WorkerRuns>,
}

impl BrokenRuns {
    /// Records a run that ended early. Returns true if its worker is already known to have crashed
    /// just before, so that the run counts as crashed at once.
    pub fn record(&mut self, now_ms: u64, worker: WorkerIncarnation, run: BrokenRun) -> bool {
        self.remove_stale(now_ms);
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&worker) {
            return false;
        }
        let runs = self.workers.entry(worker).or_default();
        if runs
            .crashed_ms
            .is_some_and(|at| now_ms <= at + REFUSED_WITHIN_MS)
        {
            return run.end == RunEnd::Broken;
        }
        if runs.broken.len() >= MAX_RUNS {
            runs.broken.remove(0);
        }
        runs.broken.push((now_ms, run));
        false
    }

    /// Records evidence that a worker's process has ended, and returns the runs that its crash
    /// ended. Each run is returned at most once.
    pub fn take_crashed(
        &mut self,
        now_ms: u64,
        worker: WorkerIncarnation,
        evidence: CrashEvidence,
    ) -> Vec<BrokenRun> {
        let Some(runs) = self.workers.get_mut(&worker) else {
            return Vec::new();
        };
        let belongs = |at_ms: u64, run: &BrokenRun| {
            let max_delay_ms = match run.end {
                RunEnd::Broken => evidence.max_delay_ms(),
                RunEnd::Abandoned => ABANDONED_WITHIN_MS,
            };
            now_ms <= at_ms + max_delay_ms
        };
        let broken = std::mem::take(&mut runs.broken);
        let ended: Vec<BrokenRun> = broken
            .into_iter()
            .filter(|(at_ms, run)| belongs(*at_ms, run))
            .map(|(_, run)| run)
            .collect();
        if !ended.is_empty() {
            runs.crashed_ms = Some(now_ms);
        }
        ended
    }

    /// Drops the runs of a worker that accepts connections, since they did not end in a crash.
    pub fn mark_alive(&mut self, worker: WorkerIncarnation) {
        self.workers.remove(&worker);
    }

    fn remove_stale(&mut self, now_ms: u64) {
        let is_fresh = |at_ms: u64| now_ms <= at_ms + REPLACED_WITHIN_MS;
        self.workers.retain(|_, runs| {
            runs.broken.retain(|(at_ms, _)| is_fresh(*at_ms));
            runs.crashed_ms.is_some_and(is_fresh) || !runs.broken.is_empty()
        });
    }
}
