//! Writes on their way to the disk, and the messages that wait for them.

use std::collections::VecDeque;

use crate::{Entry, Envelope, HardState, Persist, Snapshot};

/// A write that the caller has been handed and has not confirmed.
struct Outstanding {
    sequence: u64,
    /// Last index the log has on disk once this write is durable; `None` if
    /// the write leaves the log as it is.
    last_index: Option<u64>,
}

/// Collects changes into [`Persist`]s and holds back dependent messages.
///
/// Invariant: writes become durable in the order of their sequence numbers,
/// so a message held for a sequence number rests on that write and all before.
pub(crate) struct Durability {
    pending: Option<Persist>,
    next_sequence: u64,
    durable_sequence: u64,
    durable_index: u64,
    hard_state_sequence: u64,
    outstanding: VecDeque<Outstanding>,
    held: VecDeque<(u64, Envelope)>,
}

impl Durability {
    /// `durable_index` is the last index of the log found in the store.
    pub(crate) fn new(durable_index: u64) -> Self {
        Durability {
            pending: None,
            next_sequence: 1,
            durable_sequence: 0,
            durable_index,
            hard_state_sequence: 0,
            outstanding: VecDeque::new(),
            held: VecDeque::new(),
        }
    }

    /// Last index of the log that is durable here.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    fn pending(&mut self) -> &mut Persist {
        self.pending.get_or_insert_with(Persist::default)
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.pending().hard_state = Some(hard_state);
        self.hard_state_sequence = self.next_sequence;
    }

    /// Adds entries; they replace everything from the first one's index on.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        self.forget_from(first.index);
        let pending = self.pending();
        pending.entries.retain(|entry| entry.index < first.index);
        pending.entries.extend_from_slice(entries);
    }

    /// The disk's log from `index` on no longer counts.
    fn forget_from(&mut self, index: u64) {
        let last = index - 1;
        self.durable_index = self.durable_index.min(last);
        for write in &mut self.outstanding {
            write.last_index = write.last_index.map(|known| known.min(last));
        }
    }

    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.forget_from(1);
        let pending = self.pending();
        pending.entries.clear();
        pending.snapshot = Some(snapshot);
    }

    /// The sequence number that covers every change made so far.
    fn current_sequence(&self) -> u64 {
        match self.pending {
            Some(_) => self.next_sequence,
            None => self.next_sequence - 1,
        }
    }

    /// Returns the message if everything so far is durable, else holds it.
    pub(crate) fn after_all(&mut self, envelope: Envelope) -> Option<Envelope> {
        self.after(self.current_sequence(), envelope)
    }

    /// Returns the message if the election state is durable, else holds it.
    pub(crate) fn after_hard_state(&mut self, envelope: Envelope) -> Option<Envelope> {
        self.after(self.hard_state_sequence, envelope)
    }

    fn after(&mut self, sequence: u64, envelope: Envelope) -> Option<Envelope> {
        if sequence <= self.durable_sequence {
            return Some(envelope);
        }
        self.held.push_back((sequence, envelope));
        None
    }

    /// Hands out the collected changes.
    pub(crate) fn take_persist(&mut self) -> Option<Persist> {
        let mut persist = self.pending.take()?;
        persist.sequence = self.next_sequence;
        self.next_sequence += 1;
        let from_snapshot = persist
            .snapshot
            .as_ref()
            .map(|snapshot| snapshot.meta.index);
        let from_entries = persist.entries.last().map(|entry| entry.index);
        self.outstanding.push_back(Outstanding {
            sequence: persist.sequence,
            last_index: from_entries.or(from_snapshot),
        });
        Some(persist)
    }

    /// Notes a durable write and returns the messages that waited for it.
    pub(crate) fn persisted(&mut self, sequence: u64) -> Vec<Envelope> {
        self.durable_sequence = self.durable_sequence.max(sequence);
        while let Some(write) = self.outstanding.front() {
            if write.sequence > sequence {
                break;
            }
            if let Some(last_index) = write.last_index {
                self.durable_index = last_index;
            }
            self.outstanding.pop_front();
        }
        let durable = self.durable_sequence;
        let (ready, held): (VecDeque<_>, VecDeque<_>) = self
            .held
            .drain(..)
            .partition(|(needs, _)| *needs <= durable);
        self.held = held;
        ready.into_iter().map(|(_, envelope)| envelope).collect()
    }
}
