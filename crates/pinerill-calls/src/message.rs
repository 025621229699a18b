//! Messages between processes that forward calls.
//!
//! They travel inside the internal protocol's frames as [`Request::Calls`] and
//! [`Response::Calls`], in the encoding of [`crate::encoding`] and, to and from processes of
//! older builds, the forms of [`crate::formats`]. Refusals use the internal protocol's own.
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

pub use crate::encoding::{decode, decode_any, encode, Format, MessageError};

/// What one process asks of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallsRequest {
    /// Node → leader, again and again: a long poll.
    Watch(WatchRequest),
    /// Node → leader.
    SubmitJob(Box<NewCallJob>),
    /// Node → any control machine: results from a position on.
    ReadResults(ReadResults),
    /// Node → any control machine: the call of an item that has no result yet.
    ReadItem(ReadItem),
    /// Node → leader: no more of the job is to run.
    EndJob(CallJobId),
    /// Node → leader, again and again: renews what runs and takes more.
    LeaseItems(LeaseRequest),
    /// Node → leader: what became of items.
    ReportItems(Vec<ItemReport>),
    /// Node → leader: tokens for tenants' calls.
    Borrow(BorrowRequest),
    /// Control machine → control machine, again and again.
    Join(JoinRequest),
    /// Control machine → leader: a new route table with its document.
    PutTable(Box<PutTable>),
    /// Control machine that holds no state → leader: the operator's document.
    ReadDocument,
    /// Control machine → leader: a control machine is to be emptied.
    StartRetirement(String),
    /// Control machine → leader: how far that is.
    RetirementState(String),
    /// Control machine → leader: workers of a zone shall get nothing new.
    EvacuateZone(String),
    /// Control machine → leader: the zone is in service again.
    ReturnZone(String),
    /// Node → leader: permits for requests to workers that are still cold.
    BorrowSlowStarts(SlowStartRequest),
}

/// What is answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallsResponse {
    /// To [`CallsRequest::Watch`].
    Watch(Box<WatchResponse>),
    /// To [`CallsRequest::SubmitJob`].
    SubmitJob(SubmitOutcome),
    /// To [`CallsRequest::ReadResults`]; none if there is no such job.
    Results(Option<ResultPage>),
    /// To [`CallsRequest::ReadItem`]: an encoded and compressed
    /// [`crate::job::ItemCall`]; none if there is no such item.
    Item(Option<Vec<u8>>),
    /// To [`CallsRequest::LeaseItems`].
    Leases(LeaseResponse),
    /// To [`CallsRequest::Borrow`], in the order of the asks.
    Lent(Vec<TenantLoan>),
    /// To [`CallsRequest::Join`].
    Joined(JoinResponse),
    /// To [`CallsRequest::ReadDocument`]; none if there is no route table yet.
    Document(Option<Vec<u8>>),
    /// To [`CallsRequest::StartRetirement`] and
    /// [`CallsRequest::RetirementState`].
    Retirement(RetirementState),
    /// Carried out, durably.
    Done,
    /// To [`CallsRequest::BorrowSlowStarts`]: the workers for each of which one permit is lent.
    SlowStarts(Vec<WorkerId>),
}

/// Asks for what is newer than the asker knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The asking node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where it hears the other nodes of its zone.
    pub peer: SocketAddr,
    /// Version of its route table; none if it has none.
    pub table_version: Option<u64>,
    /// Digest of the directory that it holds.
    pub directory: Option<Digest>,
    /// Digest of the processes that it knows.
    pub processes: Option<Digest>,
    /// Revision of the evacuations that it knows; none if it was told none yet.
    pub evacuations: Option<u64>,
    /// The cell that it was told to be in, if it was.
    pub cell: Option<CellId>,
    /// How long the answer may be held, milliseconds.
    pub wait_ms: u64,
}

/// What is newer than the asker knew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// A newer route table.
    pub table: Option<Packed<RouteTable>>,
    /// The directory, if it is another one.
    pub directory: Option<Packed<DirectoryUpdate>>,
    /// Time from the beginning of the newest whole reading of the platform list to the
    /// arrival of the request, milliseconds; none if this leader has read none. Counted to the
    /// arrival and not to the answer, so that the asker may count it from when it asked,
    /// whatever the way took and however long the answer was held.
    pub directory_age_ms: Option<u64>,
    /// Nodes that watch.
    pub nodes: u32,
    /// The asker's cell: whose workers the directory names.
    pub cell: CellId,
    /// Nodes of this cell.
    pub cell_nodes: u32,
    /// Other processes, if they are others than the asker knows.
    pub processes: Option<Processes>,
    /// The evacuated zones, if the asker knows an earlier revision or none.
    pub evacuations: Option<Evacuations>,
}

/// The processes that a node deals with.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Processes {
    /// All control machines.
    pub controls: Vec<ControlAddress>,
    /// Where the nodes of the asker's zone and cell hear each other, its own included.
    pub peers: Vec<SocketAddr>,
    /// The relays of all zones in this cell.
    pub relays: Vec<ZoneRelays>,
    /// Nodes of other cells to which the asker hands on what all nodes must hear.
    pub bridges: Vec<SocketAddr>,
}

/// The nodes of a zone that tell other zones what is in flight there, and hear it of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRelays {
    /// The zone.
    pub zone: String,
    /// Where they hear other nodes.
    pub addresses: Vec<SocketAddr>,
}

/// Where a control machine listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlAddress {
    /// Its internal address.
    pub address: SocketAddr,
    /// Its zone; empty while unknown.
    pub zone: String,
    /// Whether it holds the group's state and so can answer reads itself.
    pub is_member: bool,
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The job is kept, now or since an earlier submission.
    Accepted,
    /// Too many tokens of its route wait; nothing of it runs.
    OverLimit,
    /// The control machines' disks have no room for it; nothing of it runs.
    NoRoom,
}

/// Asks for results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResults {
    /// The job.
    pub job: CallJobId,
    /// Position of the first entry.
    pub from: u32,
    /// How long to wait for one, milliseconds.
    pub wait_ms: u64,
}

/// Asks for an item's call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadItem {
    /// The job.
    pub job: CallJobId,
    /// The caller's name for the item.
    pub item: String,
}

/// Renews leases and takes more items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The node, in this start of its process.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Items that it holds.
    pub held: Vec<ItemRef>,
    /// Items that it would take besides.
    pub want: u32,
    /// Time that an item seldom exceeds there, milliseconds; 0 if not known.
    pub run_ms: u64,
    /// How long the answer may be held, milliseconds.
    pub wait_ms: u64,
}

/// Items to run and items to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Items that the node is to run.
    pub leased: Vec<LeasedItem>,
    /// Items that it must stop: ended, or another node's by now.
    pub stop: Vec<ItemRef>,
    /// Slack of the tightest item that no node has, beyond what it is to keep,
    /// milliseconds. None if no item waits that could still be on time.
    pub backlog_slack_ms: Option<i64>,
}

/// An item to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedItem {
    /// The item.
    pub item: ItemRef,
    /// The caller's name for it.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Time until its result is due, milliseconds; negative once it is late.
    pub due_in_ms: i64,
}

/// Asks for tokens with which tenants' calls pass.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// The node, in this start of its process.
    pub node: String,
    /// What it asks for.
    pub asks: Vec<TenantAsk>,
}

/// Asks for permits with which requests go to workers that are still cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStartRequest {
    /// The node, in this start of its process.
    pub node: String,
    /// Workers for each of which it wants one.
    pub workers: Vec<ColdWorker>,
}

/// A worker that is still cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdWorker {
    /// The worker.
    pub id: WorkerId,
    /// Its service, whose bound holds.
    pub service: String,
}

/// A control machine says that it is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// The asking machine.
    pub machine: MachineRecord,
    /// Digest of the control machines that it knows.
    pub known_digest: Digest,
    /// These, by internal address; none if the asked machine knew the same when it last
    /// answered.
    pub known: Vec<SocketAddr>,
}

/// A control machine and its data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Identity of the data folder.
    pub replica: u64,
    /// The machine's name.
    pub name: String,
    /// Its internal address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// What the asked machine knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinResponse {
    /// Digest of the control machines that it knows.
    pub known_digest: Digest,
    /// These, by internal address; none if the asking machine knows the same.
    pub known: Vec<SocketAddr>,
    /// The leader, if the asked machine leads or follows one. Machines that
    /// are no members of the group get no heartbeats and learn it by this.
    pub leader: Option<KnownLeader>,
}

/// The leader of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLeader {
    /// The term.
    pub term: u64,
    /// Internal address of its leader.
    pub address: SocketAddr,
}

/// A route table and the document that it was read from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PutTable {
    /// The table.
    pub table: RouteTable,
    /// The operator's document, byte for byte.
    pub document: Vec<u8>,
}

/// How far the emptying of a control machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// It still holds what is needed.
    Serving,
    /// It may be taken away.
    Completed,
    /// No machine has that name.
    Unknown,
    /// Too few machines would be left.
    TooFew,
}

impl CallsRequest {
    /// What it is for, as a label.
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
        }
    }
}
