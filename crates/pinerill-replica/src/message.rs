//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::{Entry, GroupId, ReplicaId, SnapshotMeta};

/// A message with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The group both replicas belong to.
    pub group: GroupId,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; a replica drops what is addressed to another identifier.
    pub to: ReplicaId,
    /// Contents.
    pub message: Message,
}

/// Contents of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether an election could be won, without raising the term.
    PreVoteRequest(PreVoteRequest),
    /// Answers [`PreVoteRequest`].
    PreVoteResponse(PreVoteResponse),
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Answers [`VoteRequest`].
    VoteResponse(VoteResponse),
    /// Replicates entries.
    AppendRequest(AppendRequest),
    /// Answers [`AppendRequest`].
    AppendResponse(AppendResponse),
    /// Tells a follower a newer commit index; not answered.
    CommitNotice(CommitNotice),
    /// Shows that the leader lives and confirms reads.
    Heartbeat(Heartbeat),
    /// Answers [`Heartbeat`].
    HeartbeatResponse(HeartbeatResponse),
    /// Carries a part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers [`SnapshotChunk`].
    SnapshotChunkResponse(SnapshotChunkResponse),
    /// Asks the leader for a confirmed read index.
    ReadIndexRequest(ReadIndexRequest),
    /// Answers [`ReadIndexRequest`].
    ReadIndexResponse(ReadIndexResponse),
    /// Tells the target of a leadership transfer to campaign at once.
    TimeoutNow(TimeoutNow),
}

/// Asks whether an election could be won.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVoteRequest {
    /// The term the sender would campaign in.
    pub term: u64,
    /// Last index of the sender's log.
    pub last_index: u64,
    /// Term of the entry at `last_index`.
    pub last_term: u64,
}

/// Answers [`PreVoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVoteResponse {
    /// The responder's own term.
    pub term: u64,
    /// The term of the request that is answered.
    pub requested_term: u64,
    /// Whether the responder would vote for the sender.
    pub granted: bool,
}

/// Asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The candidate's term.
    pub term: u64,
    /// Last index of the candidate's log.
    pub last_index: u64,
    /// Term of the entry at `last_index`.
    pub last_term: u64,
    /// Whether the leader itself asked for this election.
    pub transfer: bool,
}

/// Answers [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The responder's term.
    pub term: u64,
    /// Whether the vote was given.
    pub granted: bool,
}

/// Replicates entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: u64,
    /// Index of the entry before `entries`.
    pub previous_index: u64,
    /// Term of the entry at `previous_index`.
    pub previous_term: u64,
    /// Entries that follow `previous_index` without gaps.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: u64,
}

/// Answers [`AppendRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The responder's term.
    pub term: u64,
    /// Whether the entries were taken.
    pub outcome: AppendOutcome,
}

/// Whether appended entries were taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals the leader's, durably, up to `match_index`.
    Accepted {
        /// Last index that is known to match.
        match_index: u64,
    },
    /// The log lacks or contradicts the entry at `previous_index`.
    Rejected {
        /// The rejected request's `previous_index`.
        previous_index: u64,
        /// The highest index at which the logs may still agree.
        hint_index: u64,
    },
}

/// Tells a follower a newer commit index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitNotice {
    /// The leader's term.
    pub term: u64,
    /// Commit index, at most the follower's acknowledged index.
    pub commit: u64,
}

/// Shows that the leader lives and confirms reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader's term.
    pub term: u64,
    /// Commit index, at most the follower's acknowledged index.
    pub commit: u64,
    /// Number of the heartbeat round within the term.
    pub round: u64,
}

/// Answers [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The responder's term.
    pub term: u64,
    /// The round that is answered.
    pub round: u64,
}

/// Carries a part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// Position of `bytes` in the snapshot, in bytes.
    pub offset: u64,
    /// This part of the snapshot.
    pub bytes: Vec<u8>,
    /// Whether this is the last part.
    pub done: bool,
}

/// Answers [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunkResponse {
    /// The responder's term.
    pub term: u64,
    /// Index of the snapshot that is answered.
    pub index: u64,
    /// The offset that the responder needs next, in bytes.
    pub next_offset: u64,
    /// Whether the responder durably has everything up to `index`.
    pub installed: bool,
}

/// Asks the leader for a confirmed read index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// Chosen by the sender, different after each restart.
    pub request: u64,
}

/// Answers [`ReadIndexRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndexResponse {
    /// The request that is answered.
    pub request: u64,
    /// The confirmed index; `None` if the responder does not lead.
    pub index: Option<u64>,
}

/// Tells the target of a leadership transfer to campaign at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeoutNow {
    /// The leader's term.
    pub term: u64,
}
