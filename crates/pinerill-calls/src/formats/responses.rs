//! Responses of formats 5 to 7, which differ in their answers to watches and a few cases alone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::OlderTable;
use crate::cells::CellId;
use crate::directory::DirectoryUpdate;
use crate::job::ResultPage;
use crate::message::{
    CallsResponse, ControlAddress, JoinResponse, LeaseResponse, Processes, RetirementState,
    SubmitOutcome, WatchResponse, ZoneRelays,
};
use crate::packed::{Packed, UnpackError};
use pinerill_quota::message::TenantLoan;

/// A response of formats 6 and 7 with the answer to watches `W`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OlderResponse<W> {
    Watch(Box<W>),
    SubmitJob(SubmitOutcome),
    Results(Option<ResultPage>),
    Item(Option<Vec<u8>>),
    Leases(LeaseResponse),
    Lent(Vec<TenantLoan>),
    Joined(JoinResponse),
    Document(Option<Vec<u8>>),
    Retirement(RetirementState),
    Done,
}

/// Processes up to format 7: without other cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OlderProcesses {
    controls: Vec<ControlAddress>,
    peers: Vec<SocketAddr>,
    relays: Vec<ZoneRelays>,
}

/// What answers to watches of formats 5 to 7 have in common.
#[derive(Debug)]
pub(super) struct WatchParts<T> {
    pub(super) table: Option<T>,
    pub(super) directory: Option<DirectoryUpdate>,
    pub(super) directory_age_ms: Option<u64>,
    pub(super) nodes: u32,
    pub(super) processes: Option<OlderProcesses>,
}

impl<T: OlderTable> WatchParts<T> {
    /// The parts that an older format has.
    pub(super) fn of(response: WatchResponse) -> Result<Self, UnpackError> {
        let table = response.table.map(|packed| packed.unpack()).transpose()?;
        let directory = response.directory.map(|packed| packed.unpack());
        Ok(WatchParts {
            table: table.map(T::from),
            directory: directory.transpose()?,
            directory_age_ms: response.directory_age_ms,
            nodes: response.nodes,
            processes: response.processes.map(OlderProcesses::from),
        })
    }

    /// The present form: one cell, and no zone evacuated.
    pub(super) fn into_response(self) -> WatchResponse {
        let table: Option<crate::table::RouteTable> = self.table.map(T::into);
        WatchResponse {
            table: table.as_ref().map(Packed::new),
            directory: self.directory.as_ref().map(Packed::new),
            directory_age_ms: self.directory_age_ms,
            nodes: self.nodes,
            cell: CellId { index: 0, count: 1 },
            cell_nodes: self.nodes,
            processes: self.processes.map(Processes::from),
            evacuations: None,
        }
    }
}

impl<W: Into<WatchResponse>> From<OlderResponse<W>> for CallsResponse {
    fn from(response: OlderResponse<W>) -> Self {
        match response {
            OlderResponse::Watch(watch) => CallsResponse::Watch(Box::new((*watch).into())),
            OlderResponse::SubmitJob(outcome) => CallsResponse::SubmitJob(outcome),
            OlderResponse::Results(page) => CallsResponse::Results(page),
            OlderResponse::Item(call) => CallsResponse::Item(call),
            OlderResponse::Leases(leases) => CallsResponse::Leases(leases),
            OlderResponse::Lent(loans) => CallsResponse::Lent(loans),
            OlderResponse::Joined(joined) => CallsResponse::Joined(joined),
            OlderResponse::Document(document) => CallsResponse::Document(document),
            OlderResponse::Retirement(state) => CallsResponse::Retirement(state),
            OlderResponse::Done => CallsResponse::Done,
        }
    }
}

impl<W: TryFrom<WatchResponse>> TryFrom<CallsResponse> for OlderResponse<W> {
    /// The case is one of a newer format, or its content can't be unpacked.
    type Error = ();

    fn try_from(response: CallsResponse) -> Result<Self, ()> {
        Ok(match response {
            CallsResponse::Watch(watch) => {
                let watch = W::try_from(*watch).map_err(|_| ())?;
                OlderResponse::Watch(Box::new(watch))
            }
            CallsResponse::SubmitJob(outcome) => OlderResponse::SubmitJob(outcome),
            CallsResponse::Results(page) => OlderResponse::Results(page),
            CallsResponse::Item(call) => OlderResponse::Item(call),
            CallsResponse::Leases(leases) => OlderResponse::Leases(leases),
            CallsResponse::Lent(loans) => OlderResponse::Lent(loans),
            CallsResponse::Joined(joined) => OlderResponse::Joined(joined),
            CallsResponse::Document(document) => OlderResponse::Document(document),
            CallsResponse::Retirement(state) => OlderResponse::Retirement(state),
            CallsResponse::Done => OlderResponse::Done,
            CallsResponse::SlowStarts(_) => return Err(()),
        })
    }
}

impl From<Processes> for OlderProcesses {
    fn from(processes: Processes) -> Self {
        OlderProcesses {
            controls: processes.controls,
            peers: processes.peers,
            relays: processes.relays,
        }
    }
}

impl From<OlderProcesses> for Processes {
    fn from(processes: OlderProcesses) -> Self {
        Processes {
            controls: processes.controls,
            peers: processes.peers,
            relays: processes.relays,
            bridges: Vec::new(),
        }
    }
}
