//! Draining for a planned stop: new requests are rejected, those in flight
//! finish, and then the node can stop.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::Notify;

/// Counts the requests in flight and records whether new ones are accepted.
#[derive(Debug, Default)]
pub struct Drain {
    announced: AtomicBool,
    started: AtomicBool,
    in_flight: AtomicUsize,
    emptied: Notify,
}

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Drain>);

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.emptied.notify_waiters();
        }
    }
}

impl Drain {
    /// Counts a new request as in flight. Returns None once draining has started.
    pub fn enter(self: &Arc<Self>) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = InFlight(self.clone());
        (!self.has_started()).then_some(guard)
    }

    /// Announces that draining will start soon; requests are still accepted.
    pub fn announce(&self) {
        self.announced.store(true, Ordering::Release);
    }

    /// Whether draining was announced or has started.
    pub fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Acquire) || self.has_started()
    }

    /// Starts draining: from now on `enter` returns None.
    pub fn start(&self) {
        self.started.store(true, Ordering::Release);
    }

    /// Whether draining has started, so that new requests are rejected.
    pub fn has_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Completes as soon as no request is in flight.
    pub async fn emptied(&self) {
        loop {
            let notified = self.emptied.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}
