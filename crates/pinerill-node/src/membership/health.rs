//! Health state of one worker, which decides whether it may get new work.
//!
//! Performs no I/O; callers pass in the time. A report that the worker is
//! leaving holds for the rest of the incarnation that sent it. A failed
//! connection makes the worker suspected for a period that doubles with each
//! consecutive failure and ends early with the next load report.

use pinerill_wire::message::{WorkerRecord, WorkerState};

/// Suspicion period after the first failure, in milliseconds.
const INITIAL_SUSPICION_MS: u64 = 100;
/// Upper bound of the suspicion period, in milliseconds.
const MAX_SUSPICION_MS: u64 = 5_000;

/// Known state of one worker: directory listing, leaving state and suspicion.
#[derive(Debug, Clone)]
pub struct Health {
    listed: WorkerState,
    /// Newest incarnation that the directory lists as leaving; 0 for none.
    listed_leaving_incarnation: u64,
    incarnation: Option<u64>,
    leaving: bool,
    failures: u32,
    suspected_until_ms: u64,
}

impl Health {
    /// Creates the state of a worker that is listed in the directory and has
    /// neither reported nor failed.
    pub fn new(record: &WorkerRecord) -> Self {
        Self {
            listed: record.state,
            listed_leaving_incarnation: record.leaving_incarnation,
            incarnation: None,
            leaving: false,
            failures: 0,
            suspected_until_ms: 0,
        }
    }

    /// Replaces the state and leaving incarnation listed in the directory.
    pub fn update_listing(&mut self, record: &WorkerRecord) {
        self.listed = record.state;
        self.listed_leaving_incarnation = record.leaving_incarnation;
    }

    /// Returns the incarnation of the last load report, or None before the
    /// first one.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Records a load report and ends any suspicion. Returns true if it is the
    /// first indication that this incarnation is leaving.
    pub fn apply_report(&mut self, incarnation: u64, leaving: bool) -> bool {
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.leaving = false;
        }
        self.failures = 0;
        self.suspected_until_ms = 0;
        leaving && self.mark_leaving()
    }

    /// Marks the current incarnation as leaving. Returns false if it was
    /// already marked.
    pub fn mark_leaving(&mut self) -> bool {
        let first = !self.leaving;
        self.leaving = true;
        first
    }

    /// Records a failed connection or a missing load report and starts a new
    /// suspicion period at `now_ms`.
    pub fn record_failure(&mut self, now_ms: u64) {
        let doublings = self.failures.min(16);
        let suspicion_ms = (INITIAL_SUSPICION_MS << doublings).min(MAX_SUSPICION_MS);
        self.failures += 1;
        self.suspected_until_ms = now_ms + suspicion_ms;
    }

    /// Returns whether the worker or the directory says that it is leaving. A
    /// worker whose listed state is not `Live` counts as leaving, too.
    pub fn is_leaving(&self) -> bool {
        let incarnation = self.incarnation.unwrap_or(0);
        let listed_as_leaving =
            self.listed_leaving_incarnation > 0 && incarnation <= self.listed_leaving_incarnation;
        self.leaving || listed_as_leaving || self.listed != WorkerState::Live
    }

    /// Returns whether the suspicion period of the last failure still runs.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        now_ms < self.suspected_until_ms
    }
}
