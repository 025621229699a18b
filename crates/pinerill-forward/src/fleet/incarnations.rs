//! Tracks the newest incarnation (start) of each worker.
//!
//! Directories reach a node from several sources and out of order. [`super::Fleet`] consults this
//! record so that an older directory does not bring back an earlier incarnation of a worker. The
//! module does no I/O and reads no clock.

use std::collections::HashMap;

use pinerill_calls::directory::WorkerId;

/// Time in milliseconds for which the newest incarnation of a worker is remembered after it was
/// last listed. It far exceeds the age up to which a directory is used.
const RETENTION_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy)]
struct NewestIncarnation {
    started_at_ms: Option<u64>,
    listed_ms: u64,
}

/// Newest known incarnation of each worker, by worker name.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    by_name: HashMap<String, NewestIncarnation>,
}

impl Incarnations {
    /// Records a listed incarnation and returns true, or returns false if a later one was listed
    /// before.
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

    /// Returns whether a later incarnation of this worker has been listed.
    pub(super) fn has_newer(&self, worker: &WorkerId) -> bool {
        let known = self.by_name.get(worker.name());
        known.is_some_and(|newest| newest.started_at_ms > worker.started_at_ms())
    }

    /// Removes workers that have not been listed for [`RETENTION_MS`].
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.by_name
            .retain(|_, newest| now_ms <= newest.listed_ms + RETENTION_MS);
    }
}
