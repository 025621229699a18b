//! What a replica is fed with.

use crate::{Envelope, MembershipChange, Payload, ReplicaId, SnapshotMeta};

/// One event for [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at [`Replica::next_deadline_ms`](crate::Replica::next_deadline_ms).
    Tick,
    /// A message arrived.
    Message(Envelope),
    /// Appends a command to the log, if this replica leads.
    Propose {
        /// Returned with the committed entry or the refusal.
        token: u64,
        /// The command.
        data: Payload,
    },
    /// Asks for an index at which a read is linearizable.
    ReadIndex {
        /// Returned with the confirmed index or the refusal.
        token: u64,
    },
    /// Changes one member of the group, if this replica leads.
    ChangeMembership {
        /// Returned with the committed entry or the refusal.
        token: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Every [`Persist`](crate::Persist) up to this sequence number is durable.
    Persisted {
        /// Sequence number of the write.
        sequence: u64,
    },
    /// A snapshot made from applied entries is durable; the log may be
    /// compacted behind it.
    SnapshotSaved {
        /// What the snapshot covers.
        meta: SnapshotMeta,
    },
    /// Answers a [`SnapshotRequest`](crate::SnapshotRequest).
    SnapshotChunkRead {
        /// The follower that needs the snapshot.
        to: ReplicaId,
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// Position of `bytes` in the snapshot, in bytes.
        offset: u64,
        /// A part of the snapshot.
        bytes: Vec<u8>,
        /// Whether this is the last part.
        done: bool,
    },
    /// Hands leadership to another voter before a planned stop.
    TransferLeadership {
        /// The next leader; `None` picks the voter with the longest log.
        to: Option<ReplicaId>,
    },
    /// The process was paused for this long, up to now: its machine was suspended, or other
    /// work had the processors. Messages that arrived meanwhile follow this input.
    ProcessPaused {
        /// Length in milliseconds.
        ms: u64,
    },
    /// The replica is about to stop. From now on it takes no proposals, and as leader it hands
    /// leadership over: to one voter after the other, until one campaigns.
    Drain,
}
