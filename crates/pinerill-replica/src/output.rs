//! What a replica wants done.

use thiserror::Error;

use crate::{ChangeRefused, Entry, Envelope, HardState, ReplicaId, Role, Snapshot};

/// Work for the caller, in this order: install `persist.snapshot` into the
/// state machine, apply `committed`. Everything else may go in any order.
#[derive(Debug, Default)]
pub struct Output {
    /// To be made durable, in the order of sequence numbers, then reported
    /// with [`Input::Persisted`](crate::Input::Persisted).
    pub persist: Option<Persist>,
    /// To be sent; none of them needs to wait for `persist`.
    pub messages: Vec<Envelope>,
    /// Committed entries, to be applied in order.
    pub committed: Vec<Committed>,
    /// Reads that may be answered once their index is applied.
    pub reads: Vec<ConfirmedRead>,
    /// Proposals, changes and reads that this replica gave up.
    pub dropped: Vec<Dropped>,
    /// Set when role, term or leader changed.
    pub role: Option<RoleChange>,
    /// Parts of the stored snapshot that followers need.
    pub snapshot_requests: Vec<SnapshotRequest>,
    /// Entries up to this index may be deleted from the store.
    pub compact_to: Option<u64>,
}

/// One durable write. Parts are applied in the order of the fields.
#[derive(Debug, Default, Clone)]
pub struct Persist {
    /// Position in the order of writes.
    pub sequence: u64,
    /// New election state.
    pub hard_state: Option<HardState>,
    /// Replaces the whole state and the whole log.
    pub snapshot: Option<Snapshot>,
    /// Replace every stored entry from the first one's index on.
    pub entries: Vec<Entry>,
}

/// A committed entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    /// The entry.
    pub entry: Entry,
    /// Token of the local proposal that it came from.
    pub token: Option<u64>,
}

/// A read that was confirmed by a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// Token of the read.
    pub token: u64,
    /// The read must see every entry up to this index.
    pub index: u64,
}

/// A request that this replica gave up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// Token of the request.
    pub token: u64,
    /// Why it was given up.
    pub reason: DropReason,
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DropReason {
    /// Nothing is appended: this replica does not lead, or led when it appended the entry and
    /// another one was committed in its place.
    #[error("not the leader (leader: {leader:?})")]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Leadership was lost while the entry was in flight, and its fate did not show in time;
    /// it may still commit.
    #[error("leadership was lost; the outcome is unknown")]
    Unknown,
    /// Nothing was appended: too much is in flight, a transfer is going on, or the replica
    /// is about to stop.
    #[error("too many proposals in flight")]
    Busy,
    /// A forwarded read was not answered in time.
    #[error("the leader did not confirm the read in time")]
    ReadTimeout,
    /// Nothing was appended: the membership change is not allowed now.
    #[error("membership change refused: {0}")]
    ChangeRefused(ChangeRefused),
}

/// The replica's view of the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The replica's role.
    pub role: Role,
    /// The replica's term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
}

/// A part of the stored snapshot that a follower needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// The follower.
    pub to: ReplicaId,
    /// Where to read on; zero starts over with the newest stored snapshot.
    pub offset: u64,
}
