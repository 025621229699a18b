//! Format 4. It lacks everything that format 5 lacks, and digests: complete lists are sent each
//! time, and a directory is identified by its position in the history of one leader.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::requests::{OlderLease, OlderPutTable};
use super::responses::WatchParts;
use super::{v5, v8};
use crate::cells::CellId;
use crate::digest::Digest;
use crate::directory::{Directory, DirectoryChange, DirectoryUpdate};
use crate::job::{CallJobId, ItemReport, NewCallJob, ResultPage};
use crate::message::{
    CallsRequest, CallsResponse, ControlAddress, JoinRequest, JoinResponse, KnownLeader,
    LeaseResponse, MachineRecord, Processes, ReadItem, ReadResults, RetirementState, SubmitOutcome,
    WatchRequest, WatchResponse,
};
use crate::packed::Packed;
use crate::table::RouteTable;

pub use super::v5::Table;

/// A request of format 4.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    Watch(Watch),
    SubmitJob(Box<NewCallJob>),
    ReadResults(ReadResults),
    ReadItem(ReadItem),
    EndJob(CallJobId),
    LeaseItems(OlderLease),
    ReportItems(Vec<ItemReport>),
    Join(Join),
    PutTable(Box<OlderPutTable<Table>>),
    StartRetirement(String),
    RetirementState(String),
}

/// A response of format 4.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    Watch(Box<OlderWatchResponse>),
    SubmitJob(SubmitOutcome),
    Results(Option<ResultPage>),
    Item(Option<Vec<u8>>),
    Leases(LeaseResponse),
    Joined(OlderJoinResponse),
    Retirement(RetirementState),
    Done,
}

/// The counterpart of [`WatchRequest`], with a position instead of digests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watch {
    node: String,
    zone: String,
    peer: SocketAddr,
    table_version: Option<u64>,
    directory: Option<DirectoryPosition>,
    wait_ms: u64,
}

/// A position in one leader's history of directories. Both numbers are meaningful only to that
/// leader; a node returns them unchanged in its next watch request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryPosition {
    epoch: u64,
    revision: u64,
}

/// The counterpart of [`WatchResponse`], with the processes as separate lists.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderWatchResponse {
    table: Option<Table>,
    directory: Option<PositionedDirectory>,
    controls: Vec<Control>,
    nodes: u32,
    peers: Vec<SocketAddr>,
    far_peers: Vec<SocketAddr>,
}

/// A directory and its position in the leader's history.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PositionedDirectory {
    epoch: u64,
    directory: RevisedDirectory,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct RevisedDirectory {
    revision: u64,
    workers: Vec<v8::WorkerEntry>,
}

/// The counterpart of [`ControlAddress`], without the membership flag.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Control {
    address: SocketAddr,
    zone: String,
}

/// The counterpart of [`JoinRequest`], without a digest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    machine: MachineRecord,
    known: Vec<SocketAddr>,
}

/// The counterpart of [`JoinResponse`], without a digest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderJoinResponse {
    known: Vec<SocketAddr>,
    leader: Option<KnownLeader>,
}

impl DirectoryPosition {
    /// Stores a digest in a position, with which this build identifies a directory to peers of
    /// format 4.
    fn from_digest(digest: Digest) -> Self {
        DirectoryPosition {
            epoch: digest.number(),
            revision: 0,
        }
    }
}

impl OlderWatchResponse {
    /// Returns the position of the directory in this response, or `None` if it contains none.
    pub fn position(&self) -> Option<DirectoryPosition> {
        let positioned = self.directory.as_ref()?;
        Some(DirectoryPosition {
            epoch: positioned.epoch,
            revision: positioned.directory.revision,
        })
    }
}

impl Watch {
    /// Creates the watch request of a node that holds the directory at this position.
    pub fn new(watch: WatchRequest, directory: Option<DirectoryPosition>) -> Self {
        Watch {
            node: watch.node,
            zone: watch.zone,
            peer: watch.peer,
            table_version: watch.table_version,
            directory,
            wait_ms: watch.wait_ms,
        }
    }
}

impl From<Watch> for WatchRequest {
    fn from(watch: Watch) -> Self {
        let directory = watch.directory;
        WatchRequest {
            node: watch.node,
            zone: watch.zone,
            peer: watch.peer,
            table_version: watch.table_version,
            directory: directory.map(|position| Digest::from_number(position.epoch)),
            processes: None,
            evacuations: None,
            cell: None,
            wait_ms: watch.wait_ms,
        }
    }
}

impl From<Request> for CallsRequest {
    fn from(request: Request) -> Self {
        match request {
            Request::Watch(watch) => CallsRequest::Watch(watch.into()),
            Request::SubmitJob(job) => CallsRequest::SubmitJob(job),
            Request::ReadResults(read) => CallsRequest::ReadResults(read),
            Request::ReadItem(read) => CallsRequest::ReadItem(read),
            Request::EndJob(job) => CallsRequest::EndJob(job),
            Request::LeaseItems(lease) => CallsRequest::LeaseItems(lease.into()),
            Request::ReportItems(reports) => CallsRequest::ReportItems(reports),
            Request::Join(join) => CallsRequest::Join(join.into()),
            Request::PutTable(put) => CallsRequest::PutTable(Box::new((*put).into())),
            Request::StartRetirement(name) => CallsRequest::StartRetirement(name),
            Request::RetirementState(name) => CallsRequest::RetirementState(name),
        }
    }
}

impl TryFrom<CallsRequest> for Request {
    /// The request exists only in newer formats.
    type Error = ();

    fn try_from(request: CallsRequest) -> Result<Self, ()> {
        Ok(match request {
            CallsRequest::Watch(watch) => {
                let position = watch.directory.map(DirectoryPosition::from_digest);
                Request::Watch(Watch::new(watch, position))
            }
            CallsRequest::SubmitJob(job) => Request::SubmitJob(job),
            CallsRequest::ReadResults(read) => Request::ReadResults(read),
            CallsRequest::ReadItem(read) => Request::ReadItem(read),
            CallsRequest::EndJob(job) => Request::EndJob(job),
            CallsRequest::LeaseItems(lease) => Request::LeaseItems(lease.into()),
            CallsRequest::ReportItems(reports) => Request::ReportItems(reports),
            CallsRequest::Join(join) => Request::Join(Join {
                machine: join.machine,
                known: join.known,
            }),
            CallsRequest::PutTable(put) => Request::PutTable(Box::new((*put).into())),
            CallsRequest::StartRetirement(name) => Request::StartRetirement(name),
            CallsRequest::RetirementState(name) => Request::RetirementState(name),
            CallsRequest::Borrow(_)
            | CallsRequest::ReadDocument
            | CallsRequest::EvacuateZone(_)
            | CallsRequest::ReturnZone(_)
            | CallsRequest::BorrowSlowStarts(_)
            | CallsRequest::ReadVersions => return Err(()),
        })
    }
}

impl From<Join> for JoinRequest {
    fn from(join: Join) -> Self {
        JoinRequest {
            machine: join.machine,
            known_digest: Digest::of(&join.known),
            known: join.known,
        }
    }
}

impl From<Response> for CallsResponse {
    fn from(response: Response) -> Self {
        match response {
            Response::Watch(watch) => CallsResponse::Watch(Box::new((*watch).into())),
            Response::SubmitJob(outcome) => CallsResponse::SubmitJob(outcome),
            Response::Results(page) => CallsResponse::Results(page),
            Response::Item(call) => CallsResponse::Item(call),
            Response::Leases(leases) => CallsResponse::Leases(leases),
            Response::Joined(joined) => CallsResponse::Joined(joined.into()),
            Response::Retirement(state) => CallsResponse::Retirement(state),
            Response::Done => CallsResponse::Done,
        }
    }
}

impl TryFrom<CallsResponse> for Response {
    /// The response exists only in newer formats, or format 4 cannot express its content.
    type Error = ();

    fn try_from(response: CallsResponse) -> Result<Self, ()> {
        Ok(match response {
            CallsResponse::Watch(watch) => {
                Response::Watch(Box::new(OlderWatchResponse::try_from(*watch)?))
            }
            CallsResponse::SubmitJob(outcome) => Response::SubmitJob(outcome),
            CallsResponse::Results(page) => Response::Results(page),
            CallsResponse::Item(call) => Response::Item(call),
            CallsResponse::Leases(leases) => Response::Leases(leases),
            CallsResponse::Joined(joined) => Response::Joined(OlderJoinResponse {
                known: joined.known,
                leader: joined.leader,
            }),
            CallsResponse::Retirement(state) => Response::Retirement(state),
            CallsResponse::Done => Response::Done,
            CallsResponse::Document(_)
            | CallsResponse::Lent(_)
            | CallsResponse::SlowStarts(_)
            | CallsResponse::Versions(_) => return Err(()),
        })
    }
}

impl From<OlderJoinResponse> for JoinResponse {
    fn from(joined: OlderJoinResponse) -> Self {
        JoinResponse {
            known_digest: Digest::of(&joined.known),
            known: joined.known,
            leader: joined.leader,
        }
    }
}

impl From<OlderWatchResponse> for WatchResponse {
    /// Converts to the current type. Format 4 does not state the zones of nodes in other zones,
    /// so the result has no relays.
    fn from(response: OlderWatchResponse) -> Self {
        let table: Option<RouteTable> = response.table.map(v5::Table::into);
        let directory = response
            .directory
            .map(|positioned| Directory::new(v8::into_entries(positioned.directory.workers)));
        let update = directory.map(|directory| DirectoryUpdate {
            digest: directory.digest(),
            change: DirectoryChange::Whole(directory.workers().to_vec()),
        });
        let controls = response.controls.into_iter();
        WatchResponse {
            table: table.as_ref().map(Packed::new),
            directory: update.as_ref().map(Packed::new),
            directory_age_ms: None,
            nodes: response.nodes,
            cell: CellId { index: 0, count: 1 },
            cell_nodes: response.nodes,
            processes: Some(Processes {
                controls: controls.map(ControlAddress::from).collect(),
                peers: response.peers,
                relays: Vec::new(),
                bridges: Vec::new(),
            }),
            evacuations: None,
        }
    }
}

impl TryFrom<WatchResponse> for OlderWatchResponse {
    /// The content cannot be unpacked, contains a difference instead of the whole directory, or
    /// contains no processes.
    type Error = ();

    fn try_from(response: WatchResponse) -> Result<Self, ()> {
        let parts = WatchParts::<Table>::from_response(response.clone()).map_err(|_| ())?;
        let processes = response.processes.ok_or(())?;
        let far = processes.relays.into_iter();
        Ok(OlderWatchResponse {
            table: parts.table,
            directory: parts
                .directory
                .map(PositionedDirectory::try_from)
                .transpose()?,
            controls: processes.controls.into_iter().map(Control::from).collect(),
            nodes: response.nodes,
            peers: processes.peers,
            far_peers: far.flat_map(|zone| zone.addresses).collect(),
        })
    }
}

impl TryFrom<v8::DirectoryUpdate> for PositionedDirectory {
    /// The update is a difference and not a whole directory.
    type Error = ();

    fn try_from(update: v8::DirectoryUpdate) -> Result<Self, ()> {
        let v8::DirectoryChange::Whole(workers) = update.change else {
            return Err(());
        };
        let position = DirectoryPosition::from_digest(update.digest);
        Ok(PositionedDirectory {
            epoch: position.epoch,
            directory: RevisedDirectory {
                revision: position.revision,
                workers,
            },
        })
    }
}

impl From<Control> for ControlAddress {
    /// Converts to the current type. Format 4 does not state whether the machine is a member of
    /// the replication group, so it counts as none and the leader answers reads.
    fn from(control: Control) -> Self {
        ControlAddress {
            address: control.address,
            zone: control.zone,
            is_member: false,
        }
    }
}

impl From<ControlAddress> for Control {
    fn from(control: ControlAddress) -> Self {
        Control {
            address: control.address,
            zone: control.zone,
        }
    }
}
