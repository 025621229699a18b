//! The queue of a group's events, each with the time at which it came.
//!
//! Events wait there while the machine is suspended or the task stands still. What an event
//! shows, for example that a follower answers, was true when it came.

use std::time::Duration;

use pinerill_process::clock::Clock;
use tokio::sync::mpsc;

use super::event::Event;

/// An event and the time on the host's clock at which it came.
pub(super) struct Arrived {
    pub(super) at: Duration,
    pub(super) event: Event,
}

impl Arrived {
    /// The time at which the event counts. One that waited for less than `longest_wait`
    /// counts as of now, so that a short pause of this replica doesn't look like a cut connection.
    pub(super) fn counts_at(&self, now: Duration, longest_wait: Duration) -> Duration {
        match now.saturating_sub(self.at) < longest_wait {
            true => now,
            false => self.at,
        }
    }
}

/// The group has stopped and takes no more events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Closed;

/// Puts events into a group's queue.
#[derive(Clone)]
pub(super) struct EventSender {
    events: mpsc::UnboundedSender<Arrived>,
    clock: Clock,
}

impl EventSender {
    pub(super) fn new(clock: Clock) -> (Self, mpsc::UnboundedReceiver<Arrived>) {
        let (events, inbox) = mpsc::unbounded_channel();
        (EventSender { events, clock }, inbox)
    }

    /// # Errors
    /// [`Closed`] if the group has stopped.
    pub(super) fn send(&self, event: Event) -> Result<(), Closed> {
        let at = self.clock.time();
        self.events.send(Arrived { at, event }).map_err(|_| Closed)
    }

    /// A sender that doesn't keep the queue open.
    pub(super) fn downgrade(&self) -> WeakEventSender {
        WeakEventSender {
            events: self.events.downgrade(),
            clock: self.clock.clone(),
        }
    }
}

/// A sender that doesn't keep the queue open.
#[derive(Clone)]
pub(super) struct WeakEventSender {
    events: mpsc::WeakUnboundedSender<Arrived>,
    clock: Clock,
}

impl WeakEventSender {
    pub(super) fn upgrade(&self) -> Option<EventSender> {
        let events = self.events.upgrade()?;
        Some(EventSender {
            events,
            clock: self.clock.clone(),
        })
    }
}
