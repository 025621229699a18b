//! Request types that several older formats share.
//!
//! The requests of formats 5 to 7 differ only in their route tables and in a few variants.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::OlderTable;
use crate::digest::Digest;
use crate::job::{CallJobId, ItemRef, ItemReport, NewCallJob};
use crate::message::{
    BorrowRequest, CallsRequest, JoinRequest, LeaseRequest, PutTable, ReadItem, ReadResults,
    WatchRequest,
};

/// A request of formats 6 and 7, where `T` is the route table of the format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OlderRequest<T> {
    Watch(OlderWatch),
    SubmitJob(Box<NewCallJob>),
    ReadResults(ReadResults),
    ReadItem(ReadItem),
    EndJob(CallJobId),
    LeaseItems(OlderLease),
    ReportItems(Vec<ItemReport>),
    Borrow(BorrowRequest),
    Join(JoinRequest),
    PutTable(Box<OlderPutTable<T>>),
    ReadDocument,
    StartRetirement(String),
    RetirementState(String),
}

/// The counterpart of [`PutTable`] up to format 7, where `T` is the route table of the format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderPutTable<T> {
    table: T,
    document: Vec<u8>,
}

/// The counterpart of [`WatchRequest`] in formats 5 to 7, without evacuations and cells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderWatch {
    node: String,
    zone: String,
    peer: SocketAddr,
    table_version: Option<u64>,
    directory: Option<Digest>,
    processes: Option<Digest>,
    wait_ms: u64,
}

/// The counterpart of [`LeaseRequest`] up to format 7, without the node's zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderLease {
    node: String,
    held: Vec<ItemRef>,
    want: u32,
    run_ms: u64,
    wait_ms: u64,
}

impl<T: OlderTable> From<OlderRequest<T>> for CallsRequest {
    fn from(request: OlderRequest<T>) -> Self {
        match request {
            OlderRequest::Watch(watch) => CallsRequest::Watch(watch.into()),
            OlderRequest::SubmitJob(job) => CallsRequest::SubmitJob(job),
            OlderRequest::ReadResults(read) => CallsRequest::ReadResults(read),
            OlderRequest::ReadItem(read) => CallsRequest::ReadItem(read),
            OlderRequest::EndJob(job) => CallsRequest::EndJob(job),
            OlderRequest::LeaseItems(lease) => CallsRequest::LeaseItems(lease.into()),
            OlderRequest::ReportItems(reports) => CallsRequest::ReportItems(reports),
            OlderRequest::Borrow(borrow) => CallsRequest::Borrow(borrow),
            OlderRequest::Join(join) => CallsRequest::Join(join),
            OlderRequest::PutTable(put) => CallsRequest::PutTable(Box::new((*put).into())),
            OlderRequest::ReadDocument => CallsRequest::ReadDocument,
            OlderRequest::StartRetirement(name) => CallsRequest::StartRetirement(name),
            OlderRequest::RetirementState(name) => CallsRequest::RetirementState(name),
        }
    }
}

impl<T: OlderTable> TryFrom<CallsRequest> for OlderRequest<T> {
    /// The request exists only in newer formats.
    type Error = ();

    fn try_from(request: CallsRequest) -> Result<Self, ()> {
        Ok(match request {
            CallsRequest::Watch(watch) => OlderRequest::Watch(watch.into()),
            CallsRequest::SubmitJob(job) => OlderRequest::SubmitJob(job),
            CallsRequest::ReadResults(read) => OlderRequest::ReadResults(read),
            CallsRequest::ReadItem(read) => OlderRequest::ReadItem(read),
            CallsRequest::EndJob(job) => OlderRequest::EndJob(job),
            CallsRequest::LeaseItems(lease) => OlderRequest::LeaseItems(lease.into()),
            CallsRequest::ReportItems(reports) => OlderRequest::ReportItems(reports),
            CallsRequest::Borrow(borrow) => OlderRequest::Borrow(borrow),
            CallsRequest::Join(join) => OlderRequest::Join(join),
            CallsRequest::PutTable(put) => OlderRequest::PutTable(Box::new((*put).into())),
            CallsRequest::ReadDocument => OlderRequest::ReadDocument,
            CallsRequest::StartRetirement(name) => OlderRequest::StartRetirement(name),
            CallsRequest::RetirementState(name) => OlderRequest::RetirementState(name),
            CallsRequest::EvacuateZone(_)
            | CallsRequest::ReturnZone(_)
            | CallsRequest::BorrowSlowStarts(_)
            | CallsRequest::ReadVersions => return Err(()),
        })
    }
}

impl<T: OlderTable> From<OlderPutTable<T>> for PutTable {
    fn from(put: OlderPutTable<T>) -> Self {
        PutTable {
            table: put.table.into(),
            document: put.document,
        }
    }
}

impl<T: OlderTable> From<PutTable> for OlderPutTable<T> {
    fn from(put: PutTable) -> Self {
        OlderPutTable {
            table: put.table.into(),
            document: put.document,
        }
    }
}

impl From<OlderWatch> for WatchRequest {
    fn from(watch: OlderWatch) -> Self {
        WatchRequest {
            node: watch.node,
            zone: watch.zone,
            peer: watch.peer,
            table_version: watch.table_version,
            directory: watch.directory,
            processes: watch.processes,
            evacuations: None,
            cell: None,
            wait_ms: watch.wait_ms,
        }
    }
}

impl From<WatchRequest> for OlderWatch {
    fn from(watch: WatchRequest) -> Self {
        OlderWatch {
            node: watch.node,
            zone: watch.zone,
            peer: watch.peer,
            table_version: watch.table_version,
            directory: watch.directory,
            processes: watch.processes,
            wait_ms: watch.wait_ms,
        }
    }
}

impl From<OlderLease> for LeaseRequest {
    fn from(lease: OlderLease) -> Self {
        LeaseRequest {
            node: lease.node,
            held: lease.held,
            want: lease.want,
            run_ms: lease.run_ms,
            wait_ms: lease.wait_ms,
            ..LeaseRequest::default()
        }
    }
}

impl From<LeaseRequest> for OlderLease {
    fn from(lease: LeaseRequest) -> Self {
        OlderLease {
            node: lease.node,
            held: lease.held,
            want: lease.want,
            run_ms: lease.run_ms,
            wait_ms: lease.wait_ms,
        }
    }
}
