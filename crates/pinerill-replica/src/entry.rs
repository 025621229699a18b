//! Log entries, durable election state and snapshots.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Membership, ReplicaId};

/// Bytes of a command, shared between the log, the store and the senders.
pub type Payload = Arc<[u8]>;

/// Bytes counted for an entry besides its payload when batches are bounded.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// What an entry does when it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// Appended by a new leader, so that it can commit an entry of its term.
    Empty,
    /// A command for the state machine.
    Command(Payload),
    /// A new membership, in force from the moment it is appended.
    Membership(Membership),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, from 1, without gaps.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// What the entry does.
    pub kind: EntryKind,
}

impl Entry {
    /// Approximate size in bytes, for bounding batches.
    pub fn size(&self) -> usize {
        let payload = match &self.kind {
            EntryKind::Empty => 0,
            EntryKind::Command(payload) => payload.len(),
            EntryKind::Membership(membership) => membership.replicas().count() * 8,
        };
        payload + ENTRY_OVERHEAD_BYTES
    }
}

/// Election state that must be durable before a vote leaves the replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// The candidate that got this replica's vote in `term`.
    pub vote: Option<ReplicaId>,
}

/// Position and membership that a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in force at that entry.
    pub membership: Membership,
}

impl SnapshotMeta {
    /// Index of the snapshot that a bootstrap writes. It is above zero, so
    /// that an empty newcomer always starts from a snapshot and thereby
    /// learns the membership, which no log entry of a bootstrap holds.
    pub const BOOTSTRAP_INDEX: u64 = 1;
    /// Term of the snapshot that a bootstrap writes.
    pub const BOOTSTRAP_TERM: u64 = 1;

    /// The starting point of a new group with the given voters.
    pub fn bootstrap(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        SnapshotMeta {
            index: Self::BOOTSTRAP_INDEX,
            term: Self::BOOTSTRAP_TERM,
            membership: Membership::of_voters(voters),
        }
    }
}

/// A whole snapshot as received from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// Contents, opaque to the replica.
    pub data: Vec<u8>,
}
