//! Which runs ended because their worker crashed. Pure.
//!
//! That a connection ends proves nothing: it may have been reset, cut or spoilt while the
//! worker works on. A run that broke off counts as crashed only once something shows that
//! its worker's process is gone: new connections are refused, another start of a worker
//! answers at its address, or the list names it no more although it was not leaving. What
//! is not proved within a few seconds is forgotten.

use std::collections::HashMap;

use super::{RequestFingerprint, WorkerStart};

/// Longest time between the end of a connection and refused connections for which both
/// belong to one crash, milliseconds: a process that ends closes all it has at once.
const REFUSED_WITHIN_MS: u64 = 1_000;
/// The same for news of the worker's successor, or of its absence from the list, which
/// trails by some seconds.
const REPLACED_WITHIN_MS: u64 = 6_000;
/// A run that its caller left so shortly before a crash may have caused it, milliseconds:
/// a worker notices a closed connection a little late.
const LEFT_WITHIN_MS: u64 = 500;
/// Runs remembered of one worker at most; the oldest give way. Workers hold fewer at once.
const MOST_RUNS: usize = 256;
/// Workers remembered at most.
const MOST_WORKERS: usize = 1_024;

/// What shows that a worker's process is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// New connections to it are refused.
    Refused,
    /// Another start of a worker has its address or its identifier.
    Replaced,
    /// The list names it no more, and it was not leaving.
    Unlisted,
}

impl CrashEvidence {
    /// Its name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            CrashEvidence::Refused => "refused",
            CrashEvidence::Replaced => "replaced",
            CrashEvidence::Unlisted => "unlisted",
        }
    }

    fn within_ms(self) -> u64 {
        match self {
            CrashEvidence::Refused => REFUSED_WITHIN_MS,
            CrashEvidence::Replaced | CrashEvidence::Unlisted => REPLACED_WITHIN_MS,
        }
    }
}

/// How a run ended before its answer was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The connection ended or fell silent.
    Broke,
    /// This node closed the connection, since the caller left or the item gave way.
    Left,
}

/// A run that ended before its answer was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request.
    pub request: RequestFingerprint,
    /// Number of its last event that arrived; 0 if none did.
    pub reach: u64,
    /// How it ended.
    pub end: RunEnd,
}

#[derive(Debug, Default)]
struct WorkerRuns {
    broken: Vec<(u64, BrokenRun)>,
    /// When a crash was proved.
    crashed_ms: Option<u64>,
}

/// Runs that broke off a short while ago, by worker.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    workers: HashMap<WorkerStart, WorkerRuns>,
}

impl BrokenRuns {
    /// A run ended early. True if it is known already that its worker crashed just now.
    pub fn ended(&mut self, now_ms: u64, worker: WorkerStart, run: BrokenRun) -> bool {
        self.forget_old(now_ms);
        if self.workers.len() >= MOST_WORKERS && !self.workers.contains_key(&worker) {
            return false;
        }
        let runs = self.workers.entry(worker).or_default();
        if runs
            .crashed_ms
            .is_some_and(|at| now_ms <= at + REFUSED_WITHIN_MS)
        {
            return run.end == RunEnd::Broke;
        }
        if runs.broken.len() >= MOST_RUNS {
            runs.broken.remove(0);
        }
        runs.broken.push((now_ms, run));
        false
    }

    /// Something shows that a worker's process is gone: the runs that its crash ended.
    pub fn crashed(
        &mut self,
        now_ms: u64,
        worker: WorkerStart,
        evidence: CrashEvidence,
    ) -> Vec<BrokenRun> {
        let Some(runs) = self.workers.get_mut(&worker) else {
            return Vec::new();
        };
        let belongs = |at_ms: u64, run: &BrokenRun| {
            let within_ms = match run.end {
                RunEnd::Broke => evidence.within_ms(),
                RunEnd::Left => LEFT_WITHIN_MS,
            };
            now_ms <= at_ms + within_ms
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

    /// A worker accepts connections: what broke off there was no crash.
    pub fn lives(&mut self, worker: WorkerStart) {
        self.workers.remove(&worker);
    }

    fn forget_old(&mut self, now_ms: u64) {
        let is_fresh = |at_ms: u64| now_ms <= at_ms + REPLACED_WITHIN_MS;
        self.workers.retain(|_, runs| {
            runs.broken.retain(|(at_ms, _)| is_fresh(*at_ms));
            runs.crashed_ms.is_some_and(is_fresh) || !runs.broken.is_empty()
        });
    }
}
