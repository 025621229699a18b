//! Whether a worker may get new work. Pure.
//!
//! The strongest sign wins: leaving is sticky for the incarnation that said
//! it. A failed connection makes the worker suspected for a time that doubles
//! with each failure.

use pinerill_wire::message::{WorkerRecord, WorkerState};

/// First time of suspicion after a failure, milliseconds.
const SUSPICION_FIRST_MS: u64 = 100;
/// Longest time of suspicion, milliseconds.
const SUSPICION_LIMIT_MS: u64 = 5_000;

/// What is known of one worker.
#[derive(Debug, Clone)]
pub struct Health {
    listed: WorkerState,
    /// The newest incarnation that control knows as leaving; 0 for none.
    listed_leaving: u64,
    incarnation: Option<u64>,
    leaving: bool,
    failures: u32,
    suspected_until_ms: u64,
}

impl Health {
    /// A worker as the directory lists it.
    pub fn new(record: &WorkerRecord) -> Self {
        Self {
            listed: record.state,
            listed_leaving: record.leaving_incarnation,
            incarnation: None,
            leaving: false,
            failures: 0,
            suspected_until_ms: 0,
        }
    }

    /// The directory says something else now.
    pub fn list(&mut self, record: &WorkerRecord) {
        self.listed = record.state;
        self.listed_leaving = record.leaving_incarnation;
    }

    /// The incarnation of the last report.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// A load report came. Returns whether it is a first sign of leaving.
    pub fn report(&mut self, incarnation: u64, leaving: bool) -> bool {
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.leaving = false;
        }
        self.failures = 0;
        self.suspected_until_ms = 0;
        leaving && self.sign_leaving()
    }

    /// The worker refused as leaving. Returns whether it is the first sign.
    pub fn sign_leaving(&mut self) -> bool {
        let first = !self.leaving;
        self.leaving = true;
        first
    }

    /// A connection failed or a report did not come.
    pub fn fail(&mut self, now_ms: u64) {
        let doublings = self.failures.min(16);
        let pause = (SUSPICION_FIRST_MS << doublings).min(SUSPICION_LIMIT_MS);
        self.failures += 1;
        self.suspected_until_ms = now_ms + pause;
    }

    /// Whether it says it is leaving, or the directory does.
    pub fn is_leaving(&self) -> bool {
        let incarnation = self.incarnation.unwrap_or(0);
        let sign_concerns_it = self.listed_leaving > 0 && incarnation <= self.listed_leaving;
        self.leaving || sign_concerns_it || self.listed != WorkerState::Live
    }

    /// Whether it is suspected to be gone.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        now_ms < self.suspected_until_ms
    }
}
