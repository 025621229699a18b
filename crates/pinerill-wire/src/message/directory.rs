//! Who is there: the watch that nodes hold, and what control machines tell
//! each other.

use std::net::SocketAddr;

use pinerill_types::{Digest, NodeName, ServiceName, WorkerName, ZoneName};

use super::bundle::BundleUpdate;

/// Whether a worker may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// It may.
    Live,
    /// It may not; what runs there goes on.
    Leaving,
    /// It is no more.
    Gone,
}

/// One worker of the platform's list, with the strongest sign seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRecord {
    /// Its name.
    pub name: WorkerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// How many engines it holds.
    pub engines: u16,
    /// Whether it may get new work, by the platform's list.
    pub state: WorkerState,
    /// The newest incarnation that said it is leaving, whatever the list
    /// says; 0 for none. Incarnations of one worker grow, so a newer one is
    /// not concerned.
    pub leaving_incarnation: u64,
}

/// One live node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRecord {
    /// Its name.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Random number of this start of the process.
    pub incarnation: u64,
    /// It is stopping: it drives no batch any more.
    pub draining: bool,
    /// Version of the bundle in force there.
    pub bundle_version: u64,
}

/// A sign that a worker's incarnation is leaving, seen by a node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingSign {
    /// The worker.
    pub worker: WorkerName,
    /// The incarnation that said so, as in its load report.
    pub incarnation: u64,
}

/// Pending batch items of one service in one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceBacklog {
    /// The service.
    pub service: ServiceName,
    /// Items that wait for a lease. A hint: in a directory it is rounded, so
    /// that watches are not answered for each item.
    pub pending: u64,
}

/// One replicated group as control machines know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// Its number; 0 is the meta group.
    pub group: u32,
    /// Internal address of its leader, if known.
    pub leader: Option<SocketAddr>,
    /// What waits there.
    pub backlog: Vec<ServiceBacklog>,
}

/// A node's long poll: it says what it has and gets what is newer.
///
/// Also the node's heartbeat. The answer comes at once when there is
/// something newer, otherwise after `wait_ms`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchRequest {
    /// The node itself.
    pub node: NodeRecord,
    /// Digest of its bundle.
    pub bundle_digest: Digest,
    /// Zones whose workers it wants to know; empty means all.
    pub zones: Vec<ZoneName>,
    /// Epoch of the directory that `directory_revision` belongs to.
    pub directory_epoch: u64,
    /// Newest directory revision it has.
    pub directory_revision: u64,
    /// Signs of leaving that it saw since its last watch.
    pub leaving: Vec<LeavingSign>,
    /// Longest wait, milliseconds.
    pub wait_ms: u64,
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchResponse {
    /// Whether the version in force was confirmed by a quorum after the
    /// watch arrived. Only then may the node renew its configuration lease,
    /// counted from when it sent the watch.
    pub confirmed: bool,
    /// The version in force as this control machine knows it.
    pub version: u64,
    /// What turns the node's bundle into it; none when it has it already.
    pub bundle: Option<BundleUpdate>,
    /// What changed in the directory; none when nothing did.
    pub directory: Option<DirectoryUpdate>,
}

/// Workers, nodes and groups that changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Random number of the process that counts revisions.
    pub epoch: u64,
    /// Revision after this update.
    pub revision: u64,
    /// This is all there is; forget the rest.
    pub full: bool,
    /// New or changed workers.
    pub workers: Vec<WorkerRecord>,
    /// Workers that are gone.
    pub removed_workers: Vec<WorkerName>,
    /// New or changed nodes.
    pub nodes: Vec<NodeRecord>,
    /// Nodes that are gone.
    pub removed_nodes: Vec<NodeName>,
    /// Groups that are new, led elsewhere or have another backlog.
    pub groups: Vec<GroupRecord>,
}

/// A control machine asks another for what that one learnt at first hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerDirectoryRequest {
    /// Epoch of the revision below.
    pub epoch: u64,
    /// Newest revision known.
    pub revision: u64,
    /// Longest wait, milliseconds.
    pub wait_ms: u64,
}

/// What a control machine learnt at first hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDirectoryResponse {
    /// Random number of the process that counts revisions.
    pub epoch: u64,
    /// Revision of this answer.
    pub revision: u64,
    /// Nodes that watch there.
    pub nodes: Vec<NodeRecord>,
    /// Signs of leaving that these nodes saw.
    pub leaving: Vec<LeavingSign>,
    /// Groups that it leads.
    pub groups: Vec<GroupRecord>,
}
