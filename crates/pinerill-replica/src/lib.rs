//! One replicated group (Raft) as a pure state machine.
//!
//! [`Replica`] does no I/O, reads no clock and draws no random numbers. The
//! caller feeds it [`Input`]s with the current time and carries out the
//! [`Output`]: it makes writes durable, sends messages, and applies committed
//! entries in order.
//!
//! Messages whose meaning depends on durable state (votes, append
//! acknowledgements) are held inside the replica until the caller reports the
//! write they rest on with [`Input::Persisted`]; every message in an
//! [`Output`] may be sent at once.

mod config;
mod defects;
mod durability;
mod election;
mod entry;
mod follower;
mod id;
mod input;
mod leader;
mod log;
mod membership;
mod membership_change;
mod message;
mod output;
mod process_pause;
mod progress;
mod read_index;
mod replica;
mod replication;
mod snapshot;
mod undecided;

pub use config::{ReplicaConfig, RestoredState};
#[cfg(feature = "defects")]
pub use defects::Defect;
pub use defects::Defects;
pub use entry::{Entry, EntryKind, HardState, Payload, Snapshot, SnapshotMeta};
pub use id::{GroupId, ReplicaId};
pub use input::Input;
pub use membership::{ChangeRefused, Membership, MembershipChange};
pub use message::{
    AppendOutcome, AppendRequest, AppendResponse, CommitNotice, Envelope, Heartbeat,
    HeartbeatResponse, Message, PreVoteRequest, PreVoteResponse, ReadIndexRequest,
    ReadIndexResponse, SnapshotChunk, SnapshotChunkResponse, TimeoutNow, VoteRequest, VoteResponse,
};
pub use output::{
    Committed, ConfirmedRead, DropReason, Dropped, Output, Persist, RoleChange, SnapshotRequest,
};
pub use replica::{PeerStatus, Replica, Role, Status};
