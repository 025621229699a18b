//! Messages between nodes and control machines.
//!
//! They are sent in frames of the internal protocol as [`Request::Calls`] and
//! [`Response::Calls`], encoded by [`crate::encoding`]. [`crate::formats`] converts messages to
//! and from processes of older builds. Refusals are those of the internal protocol.
//!
//! [`Request::Calls`]: pinerill_wire::message::Request::Calls
//! [`Response::Calls`]: pinerill_wire::message::Response::Calls

use std::net::SocketAddr;

use pinerill_quota::message::{TenantAsk, TenantLoan};
use serde::{Deserialize, Serialize};

use crate::cells::CellId;
use crate::digest::Digest;
use crate::directory::{DirectoryUpdate, WorkerId};
use crate::evacuation::Evacuations;
use crate::job::{CallJobId, ItemRef, ItemReport, NewCallJob, ResultPage};
use crate::packed::Packed;
use crate::table::RouteTable;
use crate::version_history::ServiceVersions;

pub use crate::encoding::{decode, decode_any, encode, Format, MessageError};

/// A request from a node or control machine to a control machine. The variants state the sender
/// and the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallsRequest {
    /// Node → leader, repeatedly: long poll for changes of the cluster's state.
    Watch(WatchRequest),
    /// Node → leader: stores a job so that its items are run.
    SubmitJob(Box<NewCallJob>),
    /// Node → any control machine: reads results of a job from a given position.
    ReadResults(ReadResults),
    /// Node → any control machine: reads the call of an item that has no result yet.
    ReadItem(ReadItem),
    /// Node → leader: ends a job, so that no further items of it are run.
    EndJob(CallJobId),
    /// Node → leader, repeatedly: renews the leases of running items and requests more items.
    LeaseItems(LeaseRequest),
    /// Node → leader: reports the outcomes of items.
    ReportItems(Vec<ItemReport>),
    /// Node → leader: borrows quota tokens for tenants' calls.
    Borrow(BorrowRequest),
    /// Control machine → control machine, repeatedly: announces the sender and exchanges known
    /// addresses.
    Join(JoinRequest),
    /// Control machine → leader: stores a new route table and its source document.
    PutTable(Box<PutTable>),
    /// Control machine without a replica of the state → leader: reads the document from which
    /// the current route table was parsed.
    ReadDocument,
    /// Control machine → leader: starts retiring the control machine with this name, so that it
    /// can be removed.
    StartRetirement(String),
    /// Control machine → leader: reads the progress of retiring the control machine with this
    /// name.
    RetirementState(String),
    /// Control machine → leader: evacuates the zone with this name, so that its workers receive
    /// no new requests.
    EvacuateZone(String),
    /// Control machine → leader: returns the zone with this name to service.
    ReturnZone(String),
    /// Node → leader: borrows permits for requests to workers that are still cold.
    BorrowSlowStarts(SlowStartRequest),
    /// Node → leader: reads the software versions that were listed in the last minutes.
    ReadVersions,
}

/// The answer to a [`CallsRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallsResponse {
    /// Answer to [`CallsRequest::Watch`].
    Watch(Box<WatchResponse>),
    /// Answer to [`CallsRequest::SubmitJob`].
    SubmitJob(SubmitOutcome),
    /// Answer to [`CallsRequest::ReadResults`]; `None` if the job does not exist.
    Results(Option<ResultPage>),
    /// Answer to [`CallsRequest::ReadItem`]: an encoded and compressed
    /// [`crate::job::ItemCall`], or `None` if there is no such item.
    Item(Option<Vec<u8>>),
    /// Answer to [`CallsRequest::LeaseItems`].
    Leases(LeaseResponse),
    /// Answer to [`CallsRequest::Borrow`], in the order of [`BorrowRequest::asks`].
    Lent(Vec<TenantLoan>),
    /// Answer to [`CallsRequest::Join`].
    Joined(JoinResponse),
    /// Answer to [`CallsRequest::ReadDocument`]; `None` if there is no route table yet.
    Document(Option<Vec<u8>>),
    /// Answer to [`CallsRequest::StartRetirement`] and
    /// [`CallsRequest::RetirementState`].
    Retirement(RetirementState),
    /// The request was executed and its effect is durable.
    Done,
    /// Answer to [`CallsRequest::BorrowSlowStarts`]: the workers for which the leader lends one
    /// permit each.
    SlowStarts(Vec<WorkerId>),
    /// Answer to [`CallsRequest::ReadVersions`].
    Versions(Vec<ServiceVersions>),
}

/// Long poll of a node for the parts of the cluster's state that differ from its known state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Name of the requesting node.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Address on which the node receives messages from other nodes.
    pub peer: SocketAddr,
    /// Version of the node's route table; `None` if it has none.
    pub table_version: Option<u64>,
    /// Digest of the directory that the node holds; `None` if it has none.
    pub directory: Option<Digest>,
    /// Digest of the [`Processes`] that the node has; `None` if it has none.
    pub processes: Option<Digest>,
    /// Revision of the evacuations that the node has; `None` if it has received none yet.
    pub evacuations: Option<u64>,
    /// The cell to which the leader has assigned the node; `None` before the first assignment.
    pub cell: Option<CellId>,
    /// Maximum time in milliseconds for which the leader may delay the answer.
    pub wait_ms: u64,
}

/// The parts of the cluster's state that differ from the requesting node's known state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The route table, if its version is higher than the node's.
    pub table: Option<Packed<RouteTable>>,
    /// The update of the directory, if the node's differs from the current one.
    pub directory: Option<Packed<DirectoryUpdate>>,
    /// Time in milliseconds from the beginning of the latest complete reading of the platform's
    /// worker list to the arrival of the request; `None` if this leader has not read the list.
    /// It ends at the arrival and not at the answer, so that the node can add the time since it
    /// sent the request, independent of network delay and of how long the answer was delayed.
    pub directory_age_ms: Option<u64>,
    /// Number of nodes that watch the leader.
    pub nodes: u32,
    /// The node's cell, whose workers the directory contains.
    pub cell: CellId,
    /// Number of nodes in this cell.
    pub cell_nodes: u32,
    /// The other processes, if they differ from those that the node has.
    pub processes: Option<Processes>,
    /// The evacuated zones, if the node has an earlier revision or none.
    pub evacuations: Option<Evacuations>,
}

/// The processes with which a node communicates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Processes {
    /// All control machines.
    pub controls: Vec<ControlAddress>,
    /// Peer addresses of the nodes in the requesting node's zone and cell, including its own.
    pub peers: Vec<SocketAddr>,
    /// The relays of all zones in the cell.
    pub relays: Vec<ZoneRelays>,
    /// Peer addresses of nodes in other cells to which the requesting node forwards messages that
    /// all nodes must receive.
    pub bridges: Vec<SocketAddr>,
}

/// The relays of a zone: nodes that exchange the counts of requests in flight with other zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRelays {
    /// Name of the zone.
    pub zone: String,
    /// Peer addresses of the relays.
    pub addresses: Vec<SocketAddr>,
}

/// Address, zone and role of a control machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlAddress {
    /// Address at which it accepts the internal protocol.
    pub address: SocketAddr,
    /// Zone in which it runs; empty while unknown.
    pub zone: String,
    /// Whether it is a member of the replication group and thus can answer reads from its own
    /// replica.
    pub is_member: bool,
}

/// The outcome of submitting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The job is stored, by this submission or an earlier one.
    Accepted,
    /// The queue of the job's route holds too many tokens. No item of the job runs.
    OverLimit,
    /// The control machines have too little free disk space for the job. No item of it runs.
    NoRoom,
}

/// Long poll for results of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResults {
    /// The job whose results are read.
    pub job: CallJobId,
    /// Position of the first result to return.
    pub from: u32,
    /// Maximum time in milliseconds to wait for a result at that position.
    pub wait_ms: u64,
}

/// Request for the call of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadItem {
    /// The job that contains the item.
    pub job: CallJobId,
    /// Identifier that the caller assigned to the item.
    pub item: String,
}

/// Request of a node to renew its leases and to lease more items.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identifies the current incarnation of the node's process.
    pub node: String,
    /// Zone of the node; empty if the request has a format before 8.
    pub zone: String,
    /// Items whose leases the node holds.
    pub held: Vec<ItemRef>,
    /// Maximum number of additional items to lease.
    pub want: u32,
    /// Time in milliseconds that items on this node rarely exceed; 0 if unknown.
    pub run_ms: u64,
    /// Maximum time in milliseconds for which the leader may delay the answer.
    pub wait_ms: u64,
    /// The items that the node can start now, by service. Services for which it can start none are
    /// missing. `None` if the request has a format before 10; then any item may be leased.
    pub services: Option<Vec<ServiceCapacity>>,
    /// Items that the node had leased and has returned since its last answered request, because no
    /// worker took them.
    pub returned: Vec<ItemRef>,
    /// Number of the request. A node numbers its requests from 1 on and waits only for the answer
    /// to the last one. 0 if the request has a format before 10.
    pub number: u64,
}

/// How many items of one service a node can start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Name of the service.
    pub service: String,
    /// Number of items, at least 1.
    pub items: u32,
}

/// The items that a node must run and those that it must stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Newly leased items, which the node must run.
    pub leased: Vec<LeasedItem>,
    /// Items that the node must stop because they have ended or another node holds the lease.
    pub stop: Vec<ItemRef>,
    /// Smallest slack in milliseconds of the items that no node has leased, less the reserve that
    /// must remain. `None` if no item in the queue can still meet its deadline.
    pub backlog_slack_ms: Option<i64>,
}

/// An item that a node has leased.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedItem {
    /// Reference with which the node renews the lease and reports the outcome.
    pub item: ItemRef,
    /// Identifier that the caller assigned to the item.
    pub id: String,
    /// Host of the item's route.
    pub host: String,
    /// Time in milliseconds until the item's deadline; negative if it has passed.
    pub due_in_ms: i64,
}

/// Request of a node for quota tokens that admit tenants' calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// Identifies the current incarnation of the node's process.
    pub node: String,
    /// The tokens that the node requests, by tenant.
    pub asks: Vec<TenantAsk>,
}

/// Request of a node for permits to send requests to workers that are still cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStartRequest {
    /// Identifies the current incarnation of the node's process.
    pub node: String,
    /// Workers for which the node requests one permit each.
    pub workers: Vec<ColdWorker>,
}

/// A worker that started recently and is still slow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdWorker {
    /// The incarnation of the worker.
    pub id: WorkerId,
    /// Name of the worker's service, whose slow-start limit applies.
    pub service: String,
}

/// Announcement of a control machine to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// The requesting machine.
    pub machine: MachineRecord,
    /// Digest of the list of control machines that the requesting machine knows.
    pub known_digest: Digest,
    /// Internal addresses of these control machines; empty if the receiver had the same list when
    /// it last answered.
    pub known: Vec<SocketAddr>,
}

/// The identity of a control machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Identifier of the replica in the machine's data directory.
    pub replica: u64,
    /// Name of the machine, with which operators refer to it.
    pub name: String,
    /// Address at which the machine accepts the internal protocol.
    pub address: SocketAddr,
    /// Zone in which the machine runs.
    pub zone: String,
}

/// The known state of the machine that received a [`JoinRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinResponse {
    /// Digest of the list of control machines that the answering machine knows.
    pub known_digest: Digest,
    /// Internal addresses of these control machines; empty if the requesting machine has the
    /// same list.
    pub known: Vec<SocketAddr>,
    /// The leader, or `None` if the answering machine neither leads nor follows one. Machines
    /// outside the replication group receive no heartbeats and learn the leader from this field.
    pub leader: Option<KnownLeader>,
}

/// The leader that was elected for a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLeader {
    /// Term of the consensus protocol.
    pub term: u64,
    /// Internal address of the leader of this term.
    pub address: SocketAddr,
}

/// A route table and the document from which it was parsed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PutTable {
    /// The parsed route table.
    pub table: RouteTable,
    /// The document that the operator uploaded, byte for byte.
    pub document: Vec<u8>,
}

/// The progress of retiring a control machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// The machine still holds required state and must keep running.
    Serving,
    /// The machine can be removed.
    Completed,
    /// No machine has the given name.
    Unknown,
    /// Too few control machines would remain.
    TooFew,
}

impl CallsRequest {
    /// Returns the purpose of the request, as used in metric labels and error messages.
    pub fn purpose(&self) -> &'static str {
        match self {
            CallsRequest::Watch(_) => "watch",
            CallsRequest::SubmitJob(_) => "submit",
            CallsRequest::ReadResults(_) => "results",
            CallsRequest::ReadItem(_) => "item",
            CallsRequest::EndJob(_) => "end",
            CallsRequest::LeaseItems(_) => "lease",
            CallsRequest::ReportItems(_) => "report",
            CallsRequest::Borrow(_) => "borrow",
            CallsRequest::Join(_) => "join",
            CallsRequest::PutTable(_) | CallsRequest::ReadDocument => "table",
            CallsRequest::StartRetirement(_) | CallsRequest::RetirementState(_) => "retire",
            CallsRequest::EvacuateZone(_) | CallsRequest::ReturnZone(_) => "evacuate",
            CallsRequest::BorrowSlowStarts(_) => "slow_start",
            CallsRequest::ReadVersions => "versions",
        }
    }
}
