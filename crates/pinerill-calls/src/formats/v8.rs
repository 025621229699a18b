//! Format 8. Compared with format 9 it lacks the software versions of workers in directories.
//!
//! Requests have the same layout in both formats ([`super::v9`]), and so do all responses but those to
//! watches. Requests for the history of versions are missing.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cells::CellId;
use crate::digest::Digest;
use crate::directory::{self, WorkerId, WorkerState};
use crate::encoding::{decode_any, encode_as, Format, MessageError};
use crate::evacuation::Evacuations;
use crate::message::{CallsRequest, CallsResponse, Processes, WatchResponse};
use crate::packed::{Packed, UnpackError};
use crate::table::RouteTable;

/// The format of this module.
const FORMAT: Format = Format::ZONES;

/// The counterpart of [`directory::WorkerEntry`] up to format 8, without a software version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct WorkerEntry {
    id: WorkerId,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: WorkerState,
    cold_left_ms: u64,
}

/// The counterpart of [`directory::DirectoryUpdate`] up to format 8.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DirectoryUpdate {
    pub(super) digest: Digest,
    pub(super) change: DirectoryChange,
}

/// The counterpart of [`directory::DirectoryChange`] up to format 8.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum DirectoryChange {
    Whole(Vec<WorkerEntry>),
    Difference {
        removed: Vec<WorkerId>,
        put: Vec<WorkerEntry>,
    },
}

/// The counterpart of [`WatchResponse`] in format 8.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OlderWatchResponse {
    table: Option<Packed<RouteTable>>,
    directory: Option<Packed<DirectoryUpdate>>,
    directory_age_ms: Option<u64>,
    nodes: u32,
    cell: CellId,
    cell_nodes: u32,
    processes: Option<Processes>,
    evacuations: Option<Evacuations>,
}

/// The first variant of [`CallsResponse`], which is the only one whose layout differs.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum WatchVariant {
    Watch(Box<OlderWatchResponse>),
}

/// Returns a request that format 8 has.
///
/// # Errors
/// The request exists only in newer formats.
pub(super) fn to_request(request: CallsRequest) -> Result<CallsRequest, ()> {
    match request {
        CallsRequest::ReadVersions => Err(()),
        request => Ok(request),
    }
}

/// Encodes a response in format 8.
///
/// # Errors
/// The response exists only in newer formats, or the route table or the directory of a watch
/// response cannot be unpacked.
pub(super) fn encode_response(response: CallsResponse) -> Result<Vec<u8>, ()> {
    match response {
        CallsResponse::Versions(_) => Err(()),
        CallsResponse::Watch(watch) => {
            let watch = OlderWatchResponse::try_from(*watch).map_err(|_| ())?;
            Ok(encode_as(FORMAT, &WatchVariant::Watch(Box::new(watch))))
        }
        response => Ok(encode_as(FORMAT, &response)),
    }
}

/// Decodes a response of format 8.
///
/// # Errors
/// [`MessageError`] if the bytes are malformed.
pub(super) fn decode_response(bytes: &[u8]) -> Result<CallsResponse, MessageError> {
    let response: CallsResponse = decode_any(bytes)?;
    if !matches!(response, CallsResponse::Watch(_)) {
        return Ok(response);
    }
    let WatchVariant::Watch(watch) = decode_any(bytes)?;
    let watch = WatchResponse::try_from(*watch);
    let watch = watch.map_err(|error| MessageError::Malformed(error.to_string()))?;
    Ok(CallsResponse::Watch(Box::new(watch)))
}

/// Returns the workers in the layout of formats up to 8.
pub(super) fn older_workers(workers: &[directory::WorkerEntry]) -> Vec<WorkerEntry> {
    into_entries(workers.to_vec())
}

impl TryFrom<WatchResponse> for OlderWatchResponse {
    type Error = UnpackError;

    fn try_from(response: WatchResponse) -> Result<Self, UnpackError> {
        let table = response.table.map(|packed| packed.unpack()).transpose()?;
        let directory = response.directory.map(|packed| packed.unpack());
        let directory = directory.transpose()?.map(DirectoryUpdate::from);
        Ok(OlderWatchResponse {
            table: table.map(|table| Packed::in_format(FORMAT, &table)),
            directory: directory.map(|update| Packed::in_format(FORMAT, &update)),
            directory_age_ms: response.directory_age_ms,
            nodes: response.nodes,
            cell: response.cell,
            cell_nodes: response.cell_nodes,
            processes: response.processes,
            evacuations: response.evacuations,
        })
    }
}

impl TryFrom<OlderWatchResponse> for WatchResponse {
    type Error = UnpackError;

    fn try_from(response: OlderWatchResponse) -> Result<Self, UnpackError> {
        let table = response.table.map(|packed| packed.unpack_from(FORMAT));
        let directory = response.directory.map(|packed| packed.unpack_from(FORMAT));
        let directory = directory.transpose()?;
        Ok(WatchResponse {
            table: table.transpose()?.as_ref().map(Packed::new),
            directory: directory
                .map(directory::DirectoryUpdate::from)
                .as_ref()
                .map(Packed::new),
            directory_age_ms: response.directory_age_ms,
            nodes: response.nodes,
            cell: response.cell,
            cell_nodes: response.cell_nodes,
            processes: response.processes,
            evacuations: response.evacuations,
        })
    }
}

impl From<directory::WorkerEntry> for WorkerEntry {
    fn from(entry: directory::WorkerEntry) -> Self {
        WorkerEntry {
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            state: entry.state,
            cold_left_ms: entry.cold_left_ms,
        }
    }
}

impl From<WorkerEntry> for directory::WorkerEntry {
    fn from(entry: WorkerEntry) -> Self {
        directory::WorkerEntry {
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            state: entry.state,
            cold_left_ms: entry.cold_left_ms,
            version: None,
        }
    }
}

impl From<directory::DirectoryUpdate> for DirectoryUpdate {
    fn from(update: directory::DirectoryUpdate) -> Self {
        let change = match update.change {
            directory::DirectoryChange::Whole(workers) => {
                DirectoryChange::Whole(into_entries(workers))
            }
            directory::DirectoryChange::Difference { removed, put } => {
                let put = into_entries(put);
                DirectoryChange::Difference { removed, put }
            }
        };
        DirectoryUpdate {
            digest: update.digest,
            change,
        }
    }
}

impl From<DirectoryUpdate> for directory::DirectoryUpdate {
    fn from(update: DirectoryUpdate) -> Self {
        let change = match update.change {
            DirectoryChange::Whole(workers) => {
                directory::DirectoryChange::Whole(into_entries(workers))
            }
            DirectoryChange::Difference { removed, put } => {
                let put = into_entries(put);
                directory::DirectoryChange::Difference { removed, put }
            }
        };
        directory::DirectoryUpdate {
            digest: update.digest,
            change,
        }
    }
}

/// Converts entries between the layouts.
pub(super) fn into_entries<Source, Target: From<Source>>(entries: Vec<Source>) -> Vec<Target> {
    entries.into_iter().map(Target::from).collect()
}
