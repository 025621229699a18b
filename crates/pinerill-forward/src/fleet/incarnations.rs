//! Which start of a worker is the newest. Pure.
//!
//! News of workers come by several ways and out of order: a directory that is older than
//! the one before must not bring an earlier start of a worker back.

use std::collections::HashMap;

use pinerill_calls::directory::WorkerId;

/// Time for which the newest start of a worker that is listed no more is remembered,
/// milliseconds: far beyond the age of any directory that is still believed.
const RETENTION_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy)]
struct NewestIncarnation {
    started_at_ms: Option<u64>,
    listed_ms: u64,
}

/// The newest start of each worker, by name.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    by_name: HashMap<String, NewestIncarnation>,
}

impl Incarnations {
    /// Notes a start that is listed; false if a later one was listed before.
    pub(super) fn record_if_newest(&mut self, now_ms: u64, worker: &WorkerId) -> bool {
        let started_at_ms = worker.started_at_ms();
        let Some(known) = self.by_name.get_mut(worker.name()) else {
            let newest = NewestIncarnation {
                started_at_ms,
                listed_ms: now_ms,
            };
            self.by_name.insert(worker.name().to_owned(), newest);
            return true;
        };
        known.listed_ms = now_ms;
        if started_at_ms < known.started_at_ms {
            return false;
        }
        known.started_at_ms = started_at_ms;
        true
    }

    /// Whether a later start of this worker was listed.
    pub(super) fn has_newer(&self, worker: &WorkerId) -> bool {
        let known = self.by_name.get(worker.name());
        known.is_some_and(|newest| newest.started_at_ms > worker.started_at_ms())
    }

    /// Forgets what was listed long ago.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.by_name
            .retain(|_, newest| now_ms <= newest.listed_ms + RETENTION_MS);
    }
}
