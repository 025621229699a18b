//! Coordinates a planned stop of the node with its batch work.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio_util::sync::CancellationToken;

/// Fraction of the drain time, as a divisor, that batch items get to finish.
const GRACE_DIVISOR: u64 = 4;
/// Upper bound of the time that batch items get to finish, milliseconds.
const MAX_GRACE_MS: u64 = 10_000;

/// State shared by the node's shutdown sequence and its batch shell.
#[derive(Debug)]
pub struct BatchControl {
    grace_ms: u64,
    stopping: CancellationToken,
    finished: CancellationToken,
    running_at_most_once: AtomicUsize,
}

impl BatchControl {
    /// Creates the state for a node that drains for at most `drain_ms`
    /// milliseconds on a planned stop.
    pub fn new(drain_ms: u64) -> Self {
        Self {
            grace_ms: (drain_ms / GRACE_DIVISOR).min(MAX_GRACE_MS),
            stopping: CancellationToken::new(),
            finished: CancellationToken::new(),
            running_at_most_once: AtomicUsize::new(0),
        }
    }

    /// Returns how long repeatable items get to finish after a planned stop has
    /// begun, milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.grace_ms
    }

    /// Begins the planned stop: the batch shell drains and leases nothing more.
    pub fn stop(&self) {
        self.stopping.cancel();
    }

    /// Waits until the planned stop has begun.
    pub async fn stop_begun(&self) {
        self.stopping.cancelled().await;
    }

    /// Marks the drain as finished: the node holds no lease and has no report
    /// left to deliver.
    pub fn finish(&self) {
        self.finished.cancel();
    }

    /// Waits until the drain has finished: no lease is held and every report is
    /// delivered.
    pub async fn finished(&self) {
        self.finished.cancelled().await;
    }

    /// Returns the number of at-most-once items that run at engines. Exiting now
    /// would interrupt them, and they could not be run again.
    pub fn running_at_most_once(&self) -> usize {
        self.running_at_most_once.load(Ordering::Relaxed)
    }

    /// Updates the number that [`Self::running_at_most_once`] returns.
    pub fn set_running_at_most_once(&self, count: usize) {
        self.running_at_most_once.store(count, Ordering::Relaxed);
    }
}
