//! Format 5. It lacks everything that format 6 lacks, and tenants and loans to them.

use serde::{Deserialize, Serialize};

use super::requests::{OlderLease, OlderPutTable, OlderWatch};
use super::v6::{OlderWatchResponse, TableService};
use super::v7::{self, TableRoute};
use super::{v6, OlderTable};
use crate::job::{CallJobId, ItemReport, NewCallJob, ResultPage};
use crate::message::{
    CallsRequest, CallsResponse, JoinRequest, JoinResponse, LeaseResponse, ReadItem, ReadResults,
    RetirementState, SubmitOutcome,
};
use crate::table::{BatchLimits, RequestLimits, RouteKind, RouteTable, Target};

/// A request of format 5.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    Watch(OlderWatch),
    SubmitJob(Box<NewCallJob>),
    ReadResults(ReadResults),
    ReadItem(ReadItem),
    EndJob(CallJobId),
    LeaseItems(OlderLease),
    ReportItems(Vec<ItemReport>),
    Join(JoinRequest),
    PutTable(Box<OlderPutTable<Table>>),
    ReadDocument,
    StartRetirement(String),
    RetirementState(String),
}

/// A response of format 5.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    Watch(Box<OlderWatchResponse<Table>>),
    SubmitJob(SubmitOutcome),
    Results(Option<ResultPage>),
    Item(Option<Vec<u8>>),
    Leases(LeaseResponse),
    Joined(JoinResponse),
    Document(Option<Vec<u8>>),
    Retirement(RetirementState),
    Done,
}

/// The route table of formats 4 and 5.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Table {
    version: u64,
    routes: Vec<OlderRoute>,
    services: Vec<TableService>,
    limits: RequestLimits,
}

/// A route of formats 4 and 5, without the flag for public routes.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OlderRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout_ms: u64,
    objective_ms: u64,
    rank: u32,
    targets: Vec<Target>,
    attempts: u32,
    gap_ms: Option<u64>,
    caller_patience_ms: Option<u64>,
    batch: Option<BatchLimits>,
}

impl OlderTable for Table {}

impl From<Request> for CallsRequest {
    fn from(request: Request) -> Self {
        let request: v6::Request = match request {
            Request::Watch(watch) => v6::Request::Watch(watch),
            Request::SubmitJob(job) => v6::Request::SubmitJob(job),
            Request::ReadResults(read) => v6::Request::ReadResults(read),
            Request::ReadItem(read) => v6::Request::ReadItem(read),
            Request::EndJob(job) => v6::Request::EndJob(job),
            Request::LeaseItems(lease) => v6::Request::LeaseItems(lease),
            Request::ReportItems(reports) => v6::Request::ReportItems(reports),
            Request::Join(join) => v6::Request::Join(join),
            Request::PutTable(put) => return CallsRequest::PutTable(Box::new((*put).into())),
            Request::ReadDocument => v6::Request::ReadDocument,
            Request::StartRetirement(name) => v6::Request::StartRetirement(name),
            Request::RetirementState(name) => v6::Request::RetirementState(name),
        };
        request.into()
    }
}

impl TryFrom<CallsRequest> for Request {
    /// The request exists only in newer formats.
    type Error = ();

    fn try_from(request: CallsRequest) -> Result<Self, ()> {
        let request = match request {
            CallsRequest::PutTable(put) => {
                return Ok(Request::PutTable(Box::new((*put).into())));
            }
            other => v6::Request::try_from(other)?,
        };
        Ok(match request {
            v6::Request::Watch(watch) => Request::Watch(watch),
            v6::Request::SubmitJob(job) => Request::SubmitJob(job),
            v6::Request::ReadResults(read) => Request::ReadResults(read),
            v6::Request::ReadItem(read) => Request::ReadItem(read),
            v6::Request::EndJob(job) => Request::EndJob(job),
            v6::Request::LeaseItems(lease) => Request::LeaseItems(lease),
            v6::Request::ReportItems(reports) => Request::ReportItems(reports),
            v6::Request::Join(join) => Request::Join(join),
            v6::Request::ReadDocument => Request::ReadDocument,
            v6::Request::StartRetirement(name) => Request::StartRetirement(name),
            v6::Request::RetirementState(name) => Request::RetirementState(name),
            v6::Request::Borrow(_) | v6::Request::PutTable(_) => return Err(()),
        })
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
            Response::Joined(joined) => CallsResponse::Joined(joined),
            Response::Document(document) => CallsResponse::Document(document),
            Response::Retirement(state) => CallsResponse::Retirement(state),
            Response::Done => CallsResponse::Done,
        }
    }
}

impl TryFrom<CallsResponse> for Response {
    /// The response exists only in newer formats, or its content cannot be unpacked.
    type Error = ();

    fn try_from(response: CallsResponse) -> Result<Self, ()> {
        Ok(match response {
            CallsResponse::Watch(watch) => {
                let watch = OlderWatchResponse::try_from(*watch).map_err(|_| ())?;
                Response::Watch(Box::new(watch))
            }
            CallsResponse::SubmitJob(outcome) => Response::SubmitJob(outcome),
            CallsResponse::Results(page) => Response::Results(page),
            CallsResponse::Item(call) => Response::Item(call),
            CallsResponse::Leases(leases) => Response::Leases(leases),
            CallsResponse::Joined(joined) => Response::Joined(joined),
            CallsResponse::Document(document) => Response::Document(document),
            CallsResponse::Retirement(state) => Response::Retirement(state),
            CallsResponse::Done => Response::Done,
            CallsResponse::Lent(_) | CallsResponse::SlowStarts(_) | CallsResponse::Versions(_) => {
                return Err(())
            }
        })
    }
}

impl From<Table> for RouteTable {
    fn from(table: Table) -> Self {
        let routes = table.routes.into_iter();
        let table = v7::Table {
            version: table.version,
            routes: routes.map(TableRoute::from).collect(),
            services: table.services.into_iter().map(Into::into).collect(),
            limits: table.limits,
            tenants: None,
        };
        table.into()
    }
}

impl From<RouteTable> for Table {
    fn from(table: RouteTable) -> Self {
        let table = v7::Table::from(table);
        Table {
            version: table.version,
            routes: table.routes.into_iter().map(OlderRoute::from).collect(),
            services: table.services.into_iter().map(Into::into).collect(),
            limits: table.limits,
        }
    }
}

impl From<OlderRoute> for TableRoute {
    fn from(route: OlderRoute) -> Self {
        TableRoute {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            rank: route.rank,
            targets: route.targets,
            attempts: route.attempts,
            gap_ms: route.gap_ms,
            caller_patience_ms: route.caller_patience_ms,
            batch: route.batch,
            is_public: false,
        }
    }
}

impl From<TableRoute> for OlderRoute {
    fn from(route: TableRoute) -> Self {
        OlderRoute {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            rank: route.rank,
            targets: route.targets,
            attempts: route.attempts,
            gap_ms: route.gap_ms,
            caller_patience_ms: route.caller_patience_ms,
            batch: route.batch,
        }
    }
}
