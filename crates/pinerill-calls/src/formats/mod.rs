//! Messages and stored state of older builds, read and written.
//!
//! One module an older format holds the forms that differ from the next newer one and turns
//! them into the present ones and back; what did not change is used as it is. What an older
//! form can't hold is left out, or the message can't be expressed at all
//! ([`NotExpressible`]): the peer then is asked nothing, instead of something else.

mod requests;
mod responses;
mod v4;
mod v5;
mod v6;
mod v7;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::compression::{compress, decompress};
use crate::digest::Digest;
use crate::encoding::{decode_any, encode, encode_as, format_of, Format, MessageError};
use crate::job::{ItemCall, NewCallJob};
use crate::message::{CallsRequest, CallsResponse, Processes, WatchRequest};
use crate::table::RouteTable;

use requests::OlderRequest;
use responses::{OlderProcesses, OlderResponse};

pub use requests::OlderPutTable;
pub use v4::DirectoryPosition;
pub use v5::Table as TableV5;
pub use v6::Table as TableV6;
pub use v7::Table as TableV7;

/// A format has no form for a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("format {format} has no {what}")]
pub struct NotExpressible {
    /// The format.
    pub format: Format,
    /// The message.
    pub what: &'static str,
}

/// A route table of an older format.
pub trait OlderTable:
    Serialize + DeserializeOwned + From<RouteTable> + Into<RouteTable> + Clone
{
}

/// Writes a request in a format.
///
/// # Errors
/// [`NotExpressible`].
pub fn encode_request(request: CallsRequest, format: Format) -> Result<Vec<u8>, NotExpressible> {
    if format == Format::NEWEST {
        return Ok(encode(&request));
    }
    let request = convert_calls_in(request, format);
    let what = request.purpose();
    let missing = |_| NotExpressible { format, what };
    Ok(match format.byte() {
        7 => encode_as(format, &v7::Request::try_from(request).map_err(missing)?),
        6 => encode_as(format, &v6::Request::try_from(request).map_err(missing)?),
        5 => encode_as(format, &v5::Request::try_from(request).map_err(missing)?),
        _ => encode_as(format, &v4::Request::try_from(request).map_err(missing)?),
    })
}

/// Reads a request of any known format.
///
/// # Errors
/// [`MessageError`] when it is of an unknown format or malformed.
pub fn decode_request(bytes: &[u8]) -> Result<(Format, CallsRequest), MessageError> {
    let format = format_of(bytes)?;
    let request = match format.byte() {
        4 => decode_any::<v4::Request>(bytes)?.into(),
        5 => decode_any::<v5::Request>(bytes)?.into(),
        6 => decode_any::<v6::Request>(bytes)?.into(),
        7 => decode_any::<v7::Request>(bytes)?.into(),
        _ => decode_any(bytes)?,
    };
    Ok((format, request))
}

/// Writes a response in a format.
///
/// # Errors
/// [`NotExpressible`].
pub fn encode_response(response: CallsResponse, format: Format) -> Result<Vec<u8>, NotExpressible> {
    if format == Format::NEWEST {
        return Ok(encode(&response));
    }
    let what = "such answer";
    let missing = |_| NotExpressible { format, what };
    Ok(match format.byte() {
        7 => encode_as(format, &v7::Response::try_from(response).map_err(missing)?),
        6 => encode_as(format, &v6::Response::try_from(response).map_err(missing)?),
        5 => encode_as(format, &v5::Response::try_from(response).map_err(missing)?),
        _ => encode_as(format, &v4::Response::try_from(response).map_err(missing)?),
    })
}

/// Reads a response of any known format.
///
/// # Errors
/// [`MessageError`] when it is of an unknown format or malformed.
pub fn decode_response(bytes: &[u8]) -> Result<CallsResponse, MessageError> {
    Ok(match format_of(bytes)?.byte() {
        4 => decode_any::<v4::Response>(bytes)?.into(),
        5 => decode_any::<v5::Response>(bytes)?.into(),
        6 => decode_any::<v6::Response>(bytes)?.into(),
        7 => decode_any::<v7::Response>(bytes)?.into(),
        _ => decode_any(bytes)?,
    })
}

/// Writes a watch of format 4 by a node that holds the directory with this place.
pub fn encode_positioned_watch(watch: WatchRequest, place: Option<DirectoryPosition>) -> Vec<u8> {
    let request = v4::Request::Watch(v4::Watch::new(watch, place));
    encode_as(Format::OLDEST, &request)
}

/// The place of the directory in an answer of format 4 to a watch.
pub fn directory_position(bytes: &[u8]) -> Option<DirectoryPosition> {
    match decode_any(bytes).ok()? {
        v4::Response::Watch(watched) => watched.position(),
        _ => None,
    }
}

/// The digest by which a process of formats 5 to 7 names the processes that it was told.
pub fn older_processes_digest(format: Format, processes: &Processes) -> Digest {
    Digest::of_in_format(format, &OlderProcesses::from(processes.clone()))
}

/// A stored or sent call of an item, in a format that its reader knows. Bytes that are no
/// call stay as they are: who reads them says so.
pub fn convert_call(call: Vec<u8>, format: Format) -> Vec<u8> {
    let Ok(plain) = decompress(&call) else {
        return call;
    };
    match format_of(&plain) {
        Ok(found) if found != format && decode_any::<ItemCall>(&plain).is_ok() => {
            let mut plain = plain;
            plain[0] = format.byte();
            compress(&plain)
        }
        _ => call,
    }
}

/// Names a format in all calls of a job.
pub fn convert_job(job: &mut NewCallJob, format: Format) {
    for item in &mut job.items {
        item.call = convert_call(std::mem::take(&mut item.call), format);
    }
}

fn convert_calls_in(request: CallsRequest, format: Format) -> CallsRequest {
    match request {
        CallsRequest::SubmitJob(mut job) => {
            convert_job(&mut job, format);
            CallsRequest::SubmitJob(job)
        }
        other => other,
    }
}
