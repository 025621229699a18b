//! Response types that several older formats share.
//!
//! The responses of formats 5 to 7 differ only in their watch responses and in a few variants.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{v8, OlderTable};
use crate::cells::CellId;
use crate::directory::DirectoryUpdate;
use crate::job::ResultPage;
use crate::message::{
    CallsResponse, ControlAddress, JoinResponse, LeaseResponse, Processes, RetirementState,
    SubmitOutcome, WatchResponse, ZoneRelays,
};
use crate::packed::{Packed, UnpackError};
use pinerill_quota::message::TenantLoan;

/// A response of formats 6 and 7, where `W` is the watch response of the format.
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

/// The counterpart of [`Processes`] in formats 5 to 7, without bridges to other cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OlderProcesses {
    controls: Vec<ControlAddress>,
    peers: Vec<SocketAddr>,
    relays: Vec<ZoneRelays>,
}

/// The fields of watch responses of formats up to 7, with the route table `T` of the format.
#[derive(Debug)]
pub(super) struct WatchParts<T> {
    pub(super) table: Option<T>,
    pub(super) directory: Option<v8::DirectoryUpdate>,
    pub(super) directory_age_ms: Option<u64>,
    pub(super) nodes: u32,
    pub(super) processes: Option<OlderProcesses>,
}

impl<T: OlderTable> WatchParts<T> {
    /// Unpacks the fields of a watch response that older formats have.
    ///
    /// # Errors
    /// [`UnpackError`] if the route table or the directory cannot be unpacked.
    pub(super) fn from_response(response: WatchResponse) -> Result<Self, UnpackError> {
        let table = response.table.map(|packed| packed.unpack()).transpose()?;
        let directory = response.directory.map(|packed| packed.unpack());
        Ok(WatchParts {
            table: table.map(T::from),
            directory: directory.transpose()?.map(v8::DirectoryUpdate::from),
            directory_age_ms: response.directory_age_ms,
            nodes: response.nodes,
            processes: response.processes.map(OlderProcesses::from),
        })
    }

    /// Converts the fields to the current type, with a single cell and without evacuations.
    pub(super) fn into_response(self) -> WatchResponse {
        let table: Option<crate::table::RouteTable> = self.table.map(T::into);
        let directory = self.directory.map(DirectoryUpdate::from);
        WatchResponse {
            table: table.as_ref().map(Packed::new),
            directory: directory.as_ref().map(Packed::new),
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
    /// The response exists only in newer formats, or its content cannot be unpacked.
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
            CallsResponse::SlowStarts(_) | CallsResponse::Versions(_) => return Err(()),
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
