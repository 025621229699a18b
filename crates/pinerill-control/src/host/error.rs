//! Errors of a group host.

use pinerill_replica::{ChangeRefused, DropReason, GroupId, ReplicaId};
use pinerill_storage::StorageError;
use thiserror::Error;

/// Why a proposal has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Nothing was appended: this replica does not lead.
    #[error("propose: not the leader (leader: {leader:?})")]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The command may or may not be applied.
    #[error("propose: the outcome is unknown")]
    Unknown,
    /// Nothing was appended: too much is in flight, leadership is being
    /// handed over, or the process is about to stop.
    #[error("propose: busy")]
    Busy,
    /// Nothing was appended: the group does not run any more.
    #[error("propose: the group is stopped")]
    Stopped,
}

/// Why a read could not be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// No leader is known, or it lost its leadership meanwhile.
    #[error("read: no leader (last known: {leader:?})")]
    NoLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The read was not confirmed or not applied in time.
    #[error("read: not confirmed in time")]
    Timeout,
    /// The group does not run any more.
    #[error("read: the group is stopped")]
    Stopped,
    /// The store could not be read.
    #[error("read: {0}")]
    Storage(#[from] StorageError),
}

/// Why a membership was not changed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change was not proposed or its outcome is unknown.
    #[error("change of membership: {0}")]
    Propose(#[from] ProposeError),
    /// The change is not allowed now.
    #[error("change of membership: {0}")]
    Refused(#[from] ChangeRefused),
}

/// Why a group could not be started.
#[derive(Debug, Error)]
pub enum HostError {
    /// The group runs already.
    #[error("start of group {0}: it runs already")]
    GroupRuns(GroupId),
    /// The store failed.
    #[error("start of group {group}: {error}")]
    Storage {
        /// The group.
        group: GroupId,
        /// The failure.
        error: StorageError,
    },
    /// The state machine refused the stored snapshot.
    #[error("start of group {group}: restore of the snapshot: {error}")]
    Restore {
        /// The group.
        group: GroupId,
        /// The failure.
        error: anyhow::Error,
    },
}

pub(super) fn propose_error(reason: DropReason) -> ProposeError {
    match reason {
        DropReason::NotLeader { leader } => ProposeError::NotLeader { leader },
        DropReason::Busy => ProposeError::Busy,
        DropReason::Unknown | DropReason::ReadTimeout | DropReason::ChangeRefused(_) => {
            ProposeError::Unknown
        }
    }
}

pub(super) fn change_error(reason: DropReason) -> ChangeError {
    match reason {
        DropReason::ChangeRefused(refused) => ChangeError::Refused(refused),
        other => ChangeError::Propose(propose_error(other)),
    }
}

pub(super) fn read_error(reason: DropReason) -> ReadError {
    match reason {
        DropReason::NotLeader { leader } => ReadError::NoLeader { leader },
        _ => ReadError::Timeout,
    }
}
