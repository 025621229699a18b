//! The queue of what is to happen, in virtual time.

use std::collections::BTreeMap;

use pinerill_replica::Envelope;

use super::fault::Fault;
use super::network::CutId;
use super::service::{CallAnswer, CallId, CallKind, ClientId, GroupService, Timer};

/// Something that happens at one moment.
pub(super) enum Event<S: GroupService> {
    /// A message between replicas arrives.
    Message(Envelope),
    /// A process takes its events in.
    Round { machine: usize, start: u64 },
    /// A sync ends.
    Synced { machine: usize, start: u64 },
    /// A call arrives at a machine.
    Call {
        call: CallId,
        client: ClientId,
        machine: usize,
        kind: CallKind<S>,
    },
    /// An answer arrives at a client.
    Answer(CallAnswer<S>),
    /// A client gives up waiting.
    CallTimeout { call: CallId, machine: usize },
    /// A client is woken.
    Wake { client: ClientId, timer: Timer },
    /// A process starts again.
    Restart { machine: usize },
    /// A cut ends.
    Heal(CutId),
    /// Links get their usual quality back.
    RestoreQuality,
    /// A fault happens.
    Inject(Fault),
}

/// Events by time; those of one moment in the order in which they were added.
pub(super) struct EventQueue<S: GroupService> {
    events: BTreeMap<(u64, u64), Event<S>>,
    added: u64,
}

impl<S: GroupService> EventQueue<S> {
    pub(super) fn new() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            added: 0,
        }
    }

    pub(super) fn add(&mut self, at_ms: u64, event: Event<S>) {
        self.added += 1;
        self.events.insert((at_ms, self.added), event);
    }

    pub(super) fn take_next(&mut self) -> Option<(u64, Event<S>)> {
        let ((at_ms, _), event) = self.events.pop_first()?;
        Some((at_ms, event))
    }
}
