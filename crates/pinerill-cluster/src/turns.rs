//! Lets few of many requests be worked on between two looks at everything else.
//!
//! All nodes ask at once when there is news, or after an election. On one thread their requests
//! would be worked off in a row, and heartbeats be late behind them: a leader that tells a
//! thousand nodes of a change would be deposed for it. Invariant: between two turns of any
//! other task, at most [`MAX_REQUESTS_PER_TURN`] requests are worked on, however many wait.

use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::yield_now;

/// Requests that are worked on between two turns of other tasks: some hundred microseconds each
/// on a small machine, a small part of the time between two heartbeats.
pub const MAX_REQUESTS_PER_TURN: usize = 8;

/// Turns of requests, in the order in which they come.
pub struct RequestLimiter(Semaphore);

impl Default for RequestLimiter {
    fn default() -> Self {
        RequestLimiter(Semaphore::new(MAX_REQUESTS_PER_TURN))
    }
}

impl RequestLimiter {
    /// Waits for a turn; it lasts until it is dropped, within which nothing may be awaited.
    pub async fn acquire(&self) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed.
        let turn = self.0.acquire().await.ok();
        // Whatever else is ready goes first.
        yield_now().await;
        turn
    }
}
