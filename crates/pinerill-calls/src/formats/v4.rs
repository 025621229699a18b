//! Format 4: besides what format 5 lacks, nothing is named by its digest: whole lists are sent
//! each time, and a directory is named by its place in one leader's changes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::requests::{OlderLease, OlderPutTable};
use super::responses::WatchParts;
use super::v5;
use crate::cells::CellId;
use crate::digest::Digest;
use crate::directory::{Directory, DirectoryChange, DirectoryUpdate, WorkerEntry};
use crate::job::{CallJobId, ItemReport, NewCallJob, ResultPage};
use crate::message::{
    CallsRequest, CallsResponse, ControlAddress, JoinRequest, JoinResponse, KnownLeader,
    LeaseResponse, MachineRecord, Processes, ReadItem, ReadResults, RetirementState, SubmitOutcome,
    WatchRequest, WatchResponse,
};
use crate::packed::Packed;
use crate::table::RouteTable;

pub use super::v5::Table;

/// A request.
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

/// A response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    Watch(Box<Watched>),
    SubmitJob(SubmitOutcome),
    Results(Option<ResultPage>),
    Item(Option<Vec<u8>>),
    Leases(LeaseResponse),
    Joined(Joined),
    Retirement(RetirementState),
    Done,
}

/// A watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watch {
    node: String,
    zone: String,
    peer: SocketAddr,
    table_version: Option<u64>,
    directory: Option<DirectoryPosition>,
    wait_ms: u64,
}

/// A place in one leader's changes of the directory. Both numbers are the leader's own: who
/// asks gives back what it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryPosition {
    epoch: u64,
    revision: u64,
}

/// An answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watched {
    table: Option<Table>,
    directory: Option<PlacedDirectory>,
    controls: Vec<Control>,
    nodes: u32,
    peers: Vec<SocketAddr>,
    far_peers: Vec<SocketAddr>,
}

/// A directory with its place.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PlacedDirectory {
    epoch: u64,
    directory: RevisedDirectory,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct RevisedDirectory {
    revision: u64,
    workers: Vec<WorkerEntry>,
}

/// Where a control machine listens.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Control {
    address: SocketAddr,
    zone: String,
}

/// A control machine says that it is there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    machine: MachineRecord,
    known: Vec<SocketAddr>,
}

/// What the asked machine knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Joined {
    known: Vec<SocketAddr>,
    leader: Option<KnownLeader>,
}

impl DirectoryPosition {
    /// The place that names a directory by its digest.
    fn of(digest: Digest) -> Self {
        DirectoryPosition {
            epoch: digest.number(),
            revision: 0,
        }
    }
}

impl Watched {
    /// The place of the directory that it tells.
    pub fn position(&self) -> Option<DirectoryPosition> {
        let told = self.directory.as_ref()?;
        Some(DirectoryPosition {
            epoch: told.epoch,
            revision: told.directory.revision,
        })
    }
}

impl Watch {
    /// The watch of a node that holds the directory with this place.
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
            directory: directory.map(|place| Digest::from_number(place.epoch)),
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
    /// The case is one of a newer format.
    type Error = ();

    fn try_from(request: CallsRequest) -> Result<Self, ()> {
        Ok(match request {
            CallsRequest::Watch(watch) => {
                let position = watch.directory.map(DirectoryPosition::of);
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
            | CallsRequest::BorrowSlowStarts(_) => return Err(()),
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
    /// The case is one of a newer format, or its content can't be told so.
    type Error = ();

    fn try_from(response: CallsResponse) -> Result<Self, ()> {
        Ok(match response {
            CallsResponse::Watch(watch) => Response::Watch(Box::new(Watched::try_from(*watch)?)),
            CallsResponse::SubmitJob(outcome) => Response::SubmitJob(outcome),
            CallsResponse::Results(page) => Response::Results(page),
            CallsResponse::Item(call) => Response::Item(call),
            CallsResponse::Leases(leases) => Response::Leases(leases),
            CallsResponse::Joined(joined) => Response::Joined(Joined {
                known: joined.known,
                leader: joined.leader,
            }),
            CallsResponse::Retirement(state) => Response::Retirement(state),
            CallsResponse::Done => Response::Done,
            CallsResponse::Document(_) | CallsResponse::Lent(_) | CallsResponse::SlowStarts(_) => {
                return Err(())
            }
        })
    }
}

impl From<Joined> for JoinResponse {
    fn from(joined: Joined) -> Self {
        JoinResponse {
            known_digest: Digest::of(&joined.known),
            known: joined.known,
            leader: joined.leader,
        }
    }
}

impl From<Watched> for WatchResponse {
    /// Nodes of other zones are not told by their zones, so that there are no relays.
    fn from(watched: Watched) -> Self {
        let table: Option<RouteTable> = watched.table.map(v5::Table::into);
        let directory = watched
            .directory
            .map(|told| Directory::new(told.directory.workers));
        let update = directory.map(|directory| DirectoryUpdate {
            digest: directory.digest(),
            change: DirectoryChange::Whole(directory.workers().to_vec()),
        });
        let controls = watched.controls.into_iter();
        WatchResponse {
            table: table.as_ref().map(Packed::new),
            directory: update.as_ref().map(Packed::new),
            directory_age_ms: None,
            nodes: watched.nodes,
            cell: CellId { index: 0, count: 1 },
            cell_nodes: watched.nodes,
            processes: Some(Processes {
                controls: controls.map(ControlAddress::from).collect(),
                peers: watched.peers,
                relays: Vec::new(),
                bridges: Vec::new(),
            }),
            evacuations: None,
        }
    }
}

impl TryFrom<WatchResponse> for Watched {
    /// It can't be unpacked, tells a change of the directory instead of the whole, or no
    /// processes.
    type Error = ();

    fn try_from(response: WatchResponse) -> Result<Self, ()> {
        let parts = WatchParts::<Table>::of(response.clone()).map_err(|_| ())?;
        let processes = response.processes.ok_or(())?;
        let far = processes.relays.into_iter();
        Ok(Watched {
            table: parts.table,
            directory: parts.directory.map(PlacedDirectory::try_from).transpose()?,
            controls: processes.controls.into_iter().map(Control::from).collect(),
            nodes: response.nodes,
            peers: processes.peers,
            far_peers: far.flat_map(|zone| zone.addresses).collect(),
        })
    }
}

impl TryFrom<DirectoryUpdate> for PlacedDirectory {
    /// It is a change.
    type Error = ();

    fn try_from(update: DirectoryUpdate) -> Result<Self, ()> {
        let DirectoryChange::Whole(workers) = update.change else {
            return Err(());
        };
        let position = DirectoryPosition::of(update.digest);
        Ok(PlacedDirectory {
            epoch: position.epoch,
            directory: RevisedDirectory {
                revision: position.revision,
                workers,
            },
        })
    }
}

impl From<Control> for ControlAddress {
    /// Whether it is a member is not told; the leader answers instead.
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
