//! Typed messages of the internal protocol.
//!
//! A [`Request`] has one [`Response`]; a [`Notification`] has none. Times are
//! Unix milliseconds unless a field's name says otherwise.

mod bundle;
mod cluster;
mod directory;
mod job;

pub use bundle::{
    BundleShow, BundleShown, BundleStatusRequest, BundleStatusResponse, BundleUpdate, NodeBundle,
    ProposalAnswer, ProposeBundle, ProposeBundleResponse,
};
pub use cluster::{
    ClusterInit, ClusterInitResponse, ClusterStatusRequest, ClusterStatusResponse, CreateGroups,
    GroupReport, GroupVoters, ReplaceReplica, ReplaceReplicaResponse, ReplicaRecord,
    TransferLeadership,
};
pub use directory::{
    DirectoryUpdate, GroupRecord, LeavingSign, NodeRecord, PeerDirectoryRequest,
    PeerDirectoryResponse, ServiceBacklog, WatchRequest, WatchResponse, WorkerRecord, WorkerState,
};
pub use job::{
    AttemptRef, AttemptReport, AttemptVerdict, CancelJob, EndAttempts, EndAttemptsResponse,
    ItemResult, JobOutputRequest, JobOutputResponse, JobStatusRequest, LeaseItems,
    LeaseItemsResponse, LeaseWant, ListJobs, ListJobsResponse, RenewLeases, RenewLeasesResponse,
    SubmitJob, SubmitJobResponse,
};

use std::fmt;
use std::net::SocketAddr;

use pinerill_replica::Envelope;
use pinerill_types::job::JobStatus;

/// Number of the group that holds bundles, membership and the partition map.
/// Job groups have the numbers from 1.
pub const META_GROUP: u32 = 0;

/// What one process asks of another.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Node → any control machine, again and again; a long poll.
    Watch(WatchRequest),
    /// Control machine → control machine; a long poll.
    PeerDirectory(PeerDirectoryRequest),
    /// Operator → any control machine.
    ProposeBundle(ProposeBundle),
    /// Operator → any control machine.
    BundleShow(BundleShow),
    /// Operator → any control machine.
    BundleStatus(BundleStatusRequest),
    /// Node → leader of a job group.
    SubmitJob(SubmitJob),
    /// Node → any replica of a job group.
    JobStatus(JobStatusRequest),
    /// Node → any replica of a job group.
    JobOutput(JobOutputRequest),
    /// Node → leader of a job group.
    CancelJob(CancelJob),
    /// Node → any replica of a job group.
    ListJobs(ListJobs),
    /// Node → leader of a job group.
    LeaseItems(LeaseItems),
    /// Node → leader of a job group.
    EndAttempts(EndAttempts),
    /// Node → leader of a job group.
    RenewLeases(RenewLeases),
    /// Operator → the control machine that is to lead first.
    ClusterInit(ClusterInit),
    /// Operator → any control machine.
    ClusterStatus(ClusterStatusRequest),
    /// Operator → any control machine.
    ReplaceReplica(ReplaceReplica),
    /// Operator or a stopping control machine → leader of a group.
    TransferLeadership(TransferLeadership),
    /// Control machine that founds a cluster → every other one.
    CreateGroups(Box<CreateGroups>),
    /// Between processes that forward calls: an encoded request of
    /// `pinerill-calls`, opaque to this crate.
    Calls(Vec<u8>),
}

/// What is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// To [`Request::Watch`].
    Watch(WatchResponse),
    /// To [`Request::PeerDirectory`].
    PeerDirectory(PeerDirectoryResponse),
    /// To [`Request::ProposeBundle`].
    ProposeBundle(ProposeBundleResponse),
    /// To [`Request::BundleShow`].
    BundleShow(BundleShown),
    /// To [`Request::BundleStatus`].
    BundleStatus(BundleStatusResponse),
    /// To [`Request::SubmitJob`].
    SubmitJob(SubmitJobResponse),
    /// To [`Request::JobStatus`] and [`Request::CancelJob`].
    JobStatus(JobStatus),
    /// To [`Request::JobOutput`].
    JobOutput(JobOutputResponse),
    /// To [`Request::ListJobs`].
    ListJobs(ListJobsResponse),
    /// To [`Request::LeaseItems`].
    LeaseItems(LeaseItemsResponse),
    /// To [`Request::EndAttempts`].
    EndAttempts(EndAttemptsResponse),
    /// To [`Request::RenewLeases`].
    RenewLeases(RenewLeasesResponse),
    /// To [`Request::ClusterInit`].
    ClusterInit(ClusterInitResponse),
    /// To [`Request::ClusterStatus`].
    ClusterStatus(ClusterStatusResponse),
    /// To [`Request::ReplaceReplica`].
    ReplaceReplica(ReplaceReplicaResponse),
    /// To [`Request::TransferLeadership`] and [`Request::CreateGroups`].
    Done,
    /// To [`Request::Calls`]: an encoded response of `pinerill-calls`.
    Calls(Vec<u8>),
    /// To any request that was not carried out.
    Refused(Refusal),
}

/// What one process tells another without an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Notification {
    /// Messages of replicated groups, of all groups between two processes.
    Replica(Vec<Envelope>),
}

/// Why a request was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCode {
    /// This process does not lead the group; `leader` may say who does.
    NotLeader,
    /// The process does not hold the group.
    UnknownGroup,
    /// Queues are full, or no leader is known; certainly not done.
    Unavailable,
    /// It may or may not have been done; ask again with the same identifiers.
    OutcomeUnknown,
    /// The request can't be right.
    Invalid,
    /// Nothing by that name, or not the asker's.
    NotFound,
    /// Clashes with what was accepted before.
    Conflict,
    /// Over a limit of the tenant.
    OverLimit,
    /// The cluster is initialised already, or its machines do not fit together.
    WrongState,
}

/// The answer to a request that was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// The step that failed.
    pub step: String,
    /// The peer with which it failed.
    pub peer: String,
    /// A sentence for people.
    pub message: String,
    /// Who leads the group, if known.
    pub leader: Option<SocketAddr>,
    /// When to come back, milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} with {}: {:?}: {}",
            self.step, self.peer, self.code, self.message
        )
    }
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// A refusal without a leader or a time to come back.
    pub fn new(
        code: RefusalCode,
        step: impl Into<String>,
        peer: impl Into<String>,
        message: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            step: step.into(),
            peer: peer.into(),
            message: message.to_string(),
            leader: None,
            retry_after_ms: None,
        }
    }
}
