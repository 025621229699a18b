//! What a group's task is told.

use pinerill_replica::{Envelope, MembershipChange, ReplicaId, SnapshotMeta};
use pinerill_storage::StorageError;
use tokio::sync::{oneshot, OwnedSemaphorePermit};

use super::{ChangeError, ProposeError, ReadError};

/// Where the answer to a proposal goes.
pub(super) type ProposeReply = oneshot::Sender<Result<Vec<u8>, ProposeError>>;
/// Where the answer to a read goes.
pub(super) type ReadReply = oneshot::Sender<Result<u64, ReadError>>;
/// Where the answer to a membership change goes.
pub(super) type ChangeReply = oneshot::Sender<Result<(), ChangeError>>;

/// One event for a group's task.
pub(super) enum Event {
    Message(Envelope),
    Propose {
        command: Vec<u8>,
        reply: ProposeReply,
        permit: OwnedSemaphorePermit,
    },
    Read {
        reply: ReadReply,
    },
    ChangeMembership {
        change: MembershipChange,
        reply: ChangeReply,
    },
    TransferLeadership {
        to: Option<ReplicaId>,
    },
    Stored(Result<StoredWrite, StorageError>),
    Stop,
}

/// A write that became durable.
pub(super) enum StoredWrite {
    /// A replica's write; `installed` if it replaced the state table.
    Persist { sequence: u64, installed: bool },
    /// Table writes of applied entries.
    Table,
    /// A snapshot of applied entries.
    Snapshot(SnapshotMeta),
    /// A compaction of the log.
    Compaction,
}

/// A request that the replica holds under a token.
pub(super) enum PendingRequest {
    Propose {
        reply: ProposeReply,
        /// Frees the place in the bounded queue when dropped.
        _permit: OwnedSemaphorePermit,
    },
    Change {
        reply: ChangeReply,
    },
    /// All reads that arrived together.
    Reads {
        replies: Vec<ReadReply>,
    },
}
