//! Confirms by a quorum that what this machine knows of the meta group is
//! current, for many watches at once.
//!
//! A watch takes a [`Ticket`] when it arrives. A read barrier that *began*
//! after that proves that every bundle accepted before the watch arrived is
//! applied here. One barrier serves all tickets taken before it, and there is
//! at most one each [`BARRIER_PAUSE`], so the cost does not grow with nodes.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{watch, Notify};

/// Pause between the end of a barrier and the begin of the next.
const BARRIER_PAUSE: Duration = Duration::from_millis(100);

/// The number of the newest barrier when a watch arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// Barriers, counted from 1.
#[derive(Debug)]
pub struct Confirmations {
    begun: AtomicU64,
    succeeded: watch::Sender<u64>,
    wanted: Notify,
}

impl Default for Confirmations {
    fn default() -> Self {
        Self {
            begun: AtomicU64::new(0),
            succeeded: watch::Sender::new(0),
            wanted: Notify::new(),
        }
    }
}

impl Confirmations {
    /// Asks for a barrier that begins from now on.
    pub fn ask(&self) -> Ticket {
        let ticket = Ticket(self.begun.load(Ordering::SeqCst));
        self.wanted.notify_one();
        ticket
    }

    /// Whether a barrier that began after the ticket has succeeded.
    pub fn is_confirmed(&self, ticket: Ticket) -> bool {
        *self.succeeded.borrow() > ticket.0
    }

    /// Waits until the ticket is confirmed.
    pub async fn confirmed(&self, ticket: Ticket) {
        let mut succeeded = self.succeeded.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = succeeded.wait_for(|number| *number > ticket.0).await;
    }

    /// Barriers that succeeded so far, as the number of the last one.
    pub fn last_succeeded(&self) -> u64 {
        *self.succeeded.borrow()
    }

    /// Runs a barrier whenever one is asked for. `barrier` tells whether it
    /// succeeded; after a failure the next one follows without being asked
    /// for, since its watches still wait.
    pub async fn run<F, R>(&self, barrier: F)
    where
        F: Fn() -> R,
        R: Future<Output = bool>,
    {
        loop {
            self.wanted.notified().await;
            let number = self.begun.fetch_add(1, Ordering::SeqCst) + 1;
            if barrier().await {
                self.succeeded.send_replace(number);
            } else {
                self.wanted.notify_one();
            }
            tokio::time::sleep(BARRIER_PAUSE).await;
        }
    }
}
