//! Limits how many requests run before other tasks get a turn on the same thread.
//!
//! All nodes send requests at once after an update or an election. If a single thread processed
//! them back to back, heartbeats would queue behind them, and a leader that notifies a thousand
//! nodes of a change would lose its leadership. Invariant: between two turns of any other task,
//! at most [`MAX_REQUESTS_PER_TURN`] requests run, however many wait.

use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::yield_now;

/// Number of requests that run between two turns of other tasks. Each takes some hundred
/// microseconds on a small machine, so together they take a small part of a heartbeat interval.
pub const MAX_REQUESTS_PER_TURN: usize = 8;

/// Admits requests in the order of arrival, at most [`MAX_REQUESTS_PER_TURN`] at a time.
pub struct RequestLimiter(Semaphore);

impl Default for RequestLimiter {
    fn default() -> Self {
        RequestLimiter(Semaphore::new(MAX_REQUESTS_PER_TURN))
    }
}

impl RequestLimiter {
    /// Waits for a permit and then yields once to other tasks. The caller must not await
    /// anything while it holds the permit; dropping the permit releases it.
    pub async fn acquire(&self) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed, so `acquire` cannot fail.
        let turn = self.0.acquire().await.ok();
        // Lets all other ready tasks run first.
        yield_now().await;
        turn
    }
}
