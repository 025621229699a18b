//! The log line of a call.

use std::time::Instant;

use super::Call;

/// What is told of a call when it ends, however it ends.
#[derive(Debug)]
pub struct CallRecord {
    id: String,
    route: String,
    table_version: u64,
    arrived: Instant,
    attempts: u32,
    worker: String,
    first_ms: Option<u64>,
    events: usize,
    /// None while it goes on: a record that is dropped so was left by its
    /// caller.
    outcome: Option<String>,
}

impl CallRecord {
    /// The record of a call that begins.
    pub fn begin(call: &Call) -> Self {
        CallRecord {
            id: call.head.id.clone(),
            route: call.route.name.clone(),
            table_version: call.table_version,
            arrived: call.arrived,
            attempts: 0,
            worker: String::new(),
            first_ms: None,
            events: 0,
            outcome: None,
        }
    }

    /// An attempt begins.
    pub fn attempt(&mut self, worker: &str) {
        self.attempts += 1;
        self.worker = worker.to_owned();
    }

    /// Events were passed on.
    pub fn events(&mut self, count: usize) {
        if count > 0 && self.first_ms.is_none() {
            self.first_ms = Some(self.elapsed_ms());
        }
        self.events += count;
    }

    /// It ended.
    pub fn end(&mut self, outcome: impl Into<String>) {
        self.outcome = Some(outcome.into());
    }

    fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }
}

/// Outcome of a call whose answer was whole.
pub(super) const ANSWERED: &str = "answered";

impl Drop for CallRecord {
    fn drop(&mut self) {
        let outcome = self.outcome.as_deref().unwrap_or("left by the caller");
        let level = if outcome == ANSWERED {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level, event = "call_ended", id = self.id.as_str(), route = self.route.as_str(),
            table = self.table_version, worker = self.worker.as_str(), attempts = self.attempts,
            first_ms:? = self.first_ms, events = self.events, ms = self.elapsed_ms(), outcome; ""
        );
    }
}
