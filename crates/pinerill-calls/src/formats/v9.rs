//! Format 9. Compared with format 10 its lease requests have no number and state neither the items
//! that a node can start by service nor those that it has returned.
//!
//! All other requests and all responses have the same layout in both formats, but what watches pack
//! names its format. Format 8 has the same lease requests.

use serde::{Deserialize, Serialize};

use crate::encoding::{decode_any, encode_as, Format, MessageError};
use crate::job::ItemRef;
use crate::message::{CallsRequest, CallsResponse, LeaseRequest, WatchResponse};
use crate::packed::{Packed, UnpackError};

/// The format of this module.
const FORMAT: Format = Format::WORKER_VERSIONS;

/// The counterpart of [`LeaseRequest`] in formats 8 and 9.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OlderLease {
    node: String,
    zone: String,
    held: Vec<ItemRef>,
    want: u32,
    run_ms: u64,
    wait_ms: u64,
}

/// The variants of [`CallsRequest`] up to the only one whose layout differs.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum LeaseVariant {
    Watch,
    SubmitJob,
    ReadResults,
    ReadItem,
    EndJob,
    LeaseItems(OlderLease),
}

/// Encodes a request in format 8 or 9.
pub(super) fn encode_request(format: Format, request: CallsRequest) -> Vec<u8> {
    match request {
        CallsRequest::LeaseItems(lease) => {
            encode_as(format, &LeaseVariant::LeaseItems(lease.into()))
        }
        request => encode_as(format, &request),
    }
}

/// Decodes a request of format 8 or 9.
///
/// # Errors
/// [`MessageError`] if the bytes are malformed.
pub(super) fn decode_request(bytes: &[u8]) -> Result<CallsRequest, MessageError> {
    match decode_any(bytes) {
        Ok(LeaseVariant::LeaseItems(lease)) => Ok(CallsRequest::LeaseItems(lease.into())),
        // Of other variants only the index is decoded here, or not even that.
        Ok(_) | Err(_) => decode_any(bytes),
    }
}

/// Encodes a response in format 9.
///
/// # Errors
/// The route table or the directory of a watch response cannot be unpacked.
pub(super) fn encode_response(response: CallsResponse) -> Result<Vec<u8>, ()> {
    let response = repack(response, Format::NEWEST, FORMAT).map_err(|_| ())?;
    Ok(encode_as(FORMAT, &response))
}

/// Decodes a response of format 9.
///
/// # Errors
/// [`MessageError`] if the bytes are malformed.
pub(super) fn decode_response(bytes: &[u8]) -> Result<CallsResponse, MessageError> {
    let response = repack(decode_any(bytes)?, FORMAT, Format::NEWEST);
    response.map_err(|error| MessageError::Malformed(error.to_string()))
}

/// Packs the route table and the directory of a watch response in another format.
fn repack(response: CallsResponse, from: Format, to: Format) -> Result<CallsResponse, UnpackError> {
    let CallsResponse::Watch(watch) = response else {
        return Ok(response);
    };
    let table = watch.table.as_ref().map(|packed| packed.unpack_from(from));
    let directory = watch.directory.as_ref();
    let directory = directory.map(|packed| packed.unpack_from(from));
    Ok(CallsResponse::Watch(Box::new(WatchResponse {
        table: table
            .transpose()?
            .map(|table| Packed::in_format(to, &table)),
        directory: directory
            .transpose()?
            .map(|update| Packed::in_format(to, &update)),
        ..*watch
    })))
}

impl From<LeaseRequest> for OlderLease {
    fn from(lease: LeaseRequest) -> Self {
        OlderLease {
            node: lease.node,
            zone: lease.zone,
            held: lease.held,
            want: lease.want,
            run_ms: lease.run_ms,
            wait_ms: lease.wait_ms,
        }
    }
}

impl From<OlderLease> for LeaseRequest {
    fn from(lease: OlderLease) -> Self {
        LeaseRequest {
            node: lease.node,
            zone: lease.zone,
            held: lease.held,
            want: lease.want,
            run_ms: lease.run_ms,
            wait_ms: lease.wait_ms,
            ..LeaseRequest::default()
        }
    }
}
