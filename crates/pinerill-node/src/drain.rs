//! A planned stop: no new requests, those in flight finish, then the end.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::Notify;

/// Requests in flight and whether new ones are taken.
#[derive(Debug, Default)]
pub struct Drain {
    announced: AtomicBool,
    started: AtomicBool,
    in_flight: AtomicUsize,
    emptied: Notify,
}

/// One request in flight; ends when dropped.
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
    /// One more request, unless the stop has begun.
    pub fn enter(self: &Arc<Self>) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = InFlight(self.clone());
        (!self.has_started()).then_some(guard)
    }

    /// Says that the stop will begin; requests are still taken.
    pub fn announce(&self) {
        self.announced.store(true, Ordering::Release);
    }

    /// Whether the stop was announced or has begun.
    pub fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Acquire) || self.has_started()
    }

    /// Begins the stop.
    pub fn start(&self) {
        self.started.store(true, Ordering::Release);
    }

    /// Whether the stop has begun.
    pub fn has_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Completes when no request is in flight.
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
