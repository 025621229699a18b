//! What a group's task is told.

use std::time::Duration;

use pinerill_replica::{Envelope, MembershipChange, ReplicaId};
use pinerill_storage::StorageError;
use tokio::sync::{oneshot, OwnedSemaphorePermit};

use super::driver::{Answer, StoredWrite};
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
    Drain,
    Stored(Result<StoredWrite, StorageError>),
    Stop,
}

/// Where an answer goes.
pub(super) enum Reply {
    Propose {
        reply: ProposeReply,
        /// Time on the host's clock at which the caller proposed.
        proposed_at: Duration,
        /// Frees the place in the bounded queue when dropped.
        _permit: OwnedSemaphorePermit,
    },
    Read(ReadReply),
    Change(ChangeReply),
}

impl Reply {
    /// Passes the answer on; a caller that is gone does not matter.
    pub(super) fn send(self, answer: Answer) {
        match (self, answer) {
            (Reply::Propose { reply, .. }, Answer::Proposed(result)) => drop(reply.send(result)),
            (Reply::Read(reply), Answer::Read(result)) => drop(reply.send(result)),
            (Reply::Change(reply), Answer::Changed(result)) => drop(reply.send(result)),
            _ => debug_assert!(false, "an answer of another kind than its request"),
        }
    }
}
