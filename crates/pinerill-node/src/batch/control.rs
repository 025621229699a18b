//! How the node's planned stop and its batch side meet.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio_util::sync::CancellationToken;

/// Part of a planned stop's time that batch items get to finish.
const GRACE_DIVISOR: u64 = 4;
/// Longest such time, milliseconds.
const GRACE_LIMIT_MS: u64 = 10_000;

/// Shared by the node's stop and its batch side.
#[derive(Debug)]
pub struct BatchControl {
    grace_ms: u64,
    planned: CancellationToken,
    finished: CancellationToken,
    running_at_most_once: AtomicUsize,
}

impl BatchControl {
    /// For a node whose planned stop takes at most `drain_ms`.
    pub fn new(drain_ms: u64) -> Self {
        Self {
            grace_ms: (drain_ms / GRACE_DIVISOR).min(GRACE_LIMIT_MS),
            planned: CancellationToken::new(),
            finished: CancellationToken::new(),
            running_at_most_once: AtomicUsize::new(0),
        }
    }

    /// How long items that may be run again get to finish, milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.grace_ms
    }

    /// Begins the stop.
    pub fn stop(&self) {
        self.planned.cancel();
    }

    /// Completes when the stop has begun.
    pub async fn planned_stop(&self) {
        self.planned.cancelled().await;
    }

    /// Nothing is leased or to be reported any more.
    pub fn finish(&self) {
        self.finished.cancel();
    }

    /// Completes when nothing is leased or to be reported any more.
    pub async fn finished(&self) {
        self.finished.cancelled().await;
    }

    /// Items at engines that are not to be repeated; a stop now would cut them.
    pub fn running_at_most_once(&self) -> usize {
        self.running_at_most_once.load(Ordering::Relaxed)
    }

    /// Sets [`Self::running_at_most_once`].
    pub fn set_running_at_most_once(&self, count: usize) {
        self.running_at_most_once.store(count, Ordering::Relaxed);
    }
}
