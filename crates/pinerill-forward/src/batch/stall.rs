//! Bounds the time that an item keeps text without getting on. Does no I/O.
//!
//! An item of which events have arrived keeps its text, its service and its lease while it waits, and
//! nothing else may run it. Invariant: whatever it waits for, it begins again elsewhere after a bounded
//! time without an event. Time in which calls precede it or it may not be sent at all does not count.

use std::time::Duration;

/// Time without a worker that may continue an item, in milliseconds, after which the item begins again.
/// Longer than the restart of a worker.
pub const MAX_WITHOUT_WORKER_MS: u64 = 3_000;
/// Time without an event, in milliseconds, after which an item begins again although workers exist. An
/// item that has run for longer waits for as long as it has run, which is what its text is worth.
pub const MAX_WITHOUT_EVENT_MS: u64 = 10_000;

/// What keeps an item from its next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallCause {
    /// No worker may continue it.
    NoWorker,
    /// Workers may continue it, but are full, fail or do not answer.
    Workers,
    /// Calls of its service wait, or the leader has not confirmed its lease.
    GivesWay,
}

/// The time that an item has spent without an event.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    last_event: Option<u64>,
    observed_ms: u64,
    without_worker_ms: u64,
    without_event_ms: u64,
}

impl Stall {
    /// Starts at `now_ms` for an item without events, in milliseconds on any clock.
    pub fn new(now_ms: u64) -> Self {
        Stall {
            last_event: None,
            observed_ms: now_ms,
            without_worker_ms: 0,
            without_event_ms: 0,
        }
    }

    /// Leaves out the time since the last observation.
    pub fn skip(&mut self, now_ms: u64) {
        self.observed_ms = now_ms;
    }

    /// Adds the time since the last observation, of which this was the cause. Returns whether an item
    /// that has run for `time_run` must begin again.
    pub fn observe(
        &mut self,
        now_ms: u64,
        last_event: Option<u64>,
        cause: StallCause,
        time_run: Duration,
    ) -> bool {
        if last_event != self.last_event {
            *self = Stall::new(now_ms);
            self.last_event = last_event;
        }
        let passed_ms = now_ms.saturating_sub(self.observed_ms);
        self.observed_ms = now_ms;
        match cause {
            StallCause::NoWorker => self.without_worker_ms += passed_ms,
            StallCause::Workers | StallCause::GivesWay => self.without_worker_ms = 0,
        }
        if cause != StallCause::GivesWay {
            self.without_event_ms += passed_ms;
        }
        let max_without_event_ms = MAX_WITHOUT_EVENT_MS.max(time_run.as_millis() as u64);
        last_event.is_some()
            && (self.without_worker_ms >= MAX_WITHOUT_WORKER_MS
                || self.without_event_ms >= max_without_event_ms)
    }
}
