//! Bootstrap, status and repair of the control machines.

use std::net::SocketAddr;

use pinerill_types::bundle::Bundle;
use pinerill_types::ZoneName;

/// Makes a new cluster out of control machines with empty folders.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterInit {
    /// The founding bundle, version 0: policy and operators only.
    pub founding: Bundle,
    /// How many job groups.
    pub job_groups: u32,
    /// Voters per group.
    pub voters: u32,
}

/// Answer to a bootstrap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterInitResponse {
    /// Random identity of the new cluster.
    pub cluster_id: u64,
    /// The control machines that are in it.
    pub replicas: Vec<ReplicaRecord>,
}

/// One control machine, by the identity of its data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Identity of the data folder.
    pub replica: u64,
    /// Name from its settings.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Internal address.
    pub address: SocketAddr,
    /// Whether the answering machine reaches it now.
    pub reachable: bool,
}

/// Asks how the control machines are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterStatusRequest;

/// One group as the answering machine sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupReport {
    /// Its number.
    pub group: u32,
    /// Replica identity of its leader, if known.
    pub leader: Option<u64>,
    /// Current term.
    pub term: u64,
    /// Committed index.
    pub commit: u64,
    /// Applied index.
    pub applied: u64,
    /// Voters' identities.
    pub voters: Vec<u64>,
    /// Learners' identities.
    pub learners: Vec<u64>,
    /// Whether the last change of membership is committed.
    pub members_committed: bool,
}

/// How the control machines are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterStatusResponse {
    /// Identity of the cluster; 0 before the bootstrap.
    pub cluster_id: u64,
    /// All known control machines.
    pub replicas: Vec<ReplicaRecord>,
    /// Groups that the answering machine holds.
    pub groups: Vec<GroupReport>,
}

/// First voters of a new group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupVoters {
    /// The group.
    pub group: u32,
    /// Identities of its voters.
    pub voters: Vec<u64>,
}

/// One control machine tells another what a new cluster consists of.
///
/// Every voter of a group starts it with the same voters; a machine that
/// belongs to a founded cluster refuses. May be sent again.
#[derive(Debug, Clone, PartialEq)]
pub struct CreateGroups {
    /// Random identity of the new cluster.
    pub cluster_id: u64,
    /// The founding bundle.
    pub founding: Bundle,
    /// All control machines.
    pub machines: Vec<ReplicaRecord>,
    /// All groups, the meta group among them.
    pub groups: Vec<GroupVoters>,
}

/// Puts a control machine with an empty folder in the place of a lost one,
/// in every group of the lost one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplaceReplica {
    /// Identity of the lost folder.
    pub lost: u64,
    /// Identity of the new folder; it must be reachable.
    pub new: u64,
}

/// How far a repair is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplaceReplicaResponse {
    /// Groups in which the new one votes and the lost one is out.
    pub done: u32,
    /// Groups still to do.
    pub remaining: u32,
}

/// Asks a group's leader to hand over to another voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferLeadership {
    /// The group.
    pub group: u32,
    /// Identity of the voter that should lead.
    pub to: u64,
}
