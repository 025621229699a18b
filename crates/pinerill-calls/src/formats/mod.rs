//! Reads and writes the messages and stored state of older builds.
//!
//! There is one module per older format. It defines the types whose layout differs from the next
//! newer format and converts them to and from the current types. Unchanged types are reused.
//! Fields that an older layout lacks are omitted. A message that an older format cannot express
//! without changing its meaning is rejected with [`NotExpressible`] and not sent.

mod requests;
mod responses;
mod v4;
mod v5;
mod v6;
mod v7;
mod v8;
mod v9;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::compression::{compress, decompress};
use crate::digest::Digest;
use crate::directory::WorkerEntry;
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

/// The error for a message that an older format cannot express.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("format {format} has no {what}")]
pub struct NotExpressible {
    /// The format in which the message was to be written.
    pub format: Format,
    /// The kind of the message, for the error text.
    pub what: &'static str,
}

/// A route table in the layout of an older format, convertible to and from [`RouteTable`].
pub trait OlderTable:
    Serialize + DeserializeOwned + From<RouteTable> + Into<RouteTable> + Clone
{
}

/// Encodes a request in the given format.
///
/// # Errors
/// [`NotExpressible`] if the format does not have this request.
pub fn encode_request(request: CallsRequest, format: Format) -> Result<Vec<u8>, NotExpressible> {
    if format == Format::NEWEST {
        return Ok(encode(&request));
    }
    let request = convert_calls_in(request, format);
    let what = request.purpose();
    let missing = |_| NotExpressible { format, what };
    Ok(match format.byte() {
        9 => v9::encode_request(format, request),
        8 => v9::encode_request(format, v8::to_request(request).map_err(missing)?),
        7 => encode_as(format, &v7::Request::try_from(request).map_err(missing)?),
        6 => encode_as(format, &v6::Request::try_from(request).map_err(missing)?),
        5 => encode_as(format, &v5::Request::try_from(request).map_err(missing)?),
        _ => encode_as(format, &v4::Request::try_from(request).map_err(missing)?),
    })
}

/// Decodes a request of any supported format. Returns the format together with the request.
///
/// # Errors
/// [`MessageError`] if the bytes are of an unsupported format or malformed.
pub fn decode_request(bytes: &[u8]) -> Result<(Format, CallsRequest), MessageError> {
    let format = format_of(bytes)?;
    let request = match format.byte() {
        4 => decode_any::<v4::Request>(bytes)?.into(),
        5 => decode_any::<v5::Request>(bytes)?.into(),
        6 => decode_any::<v6::Request>(bytes)?.into(),
        7 => decode_any::<v7::Request>(bytes)?.into(),
        8 | 9 => v9::decode_request(bytes)?,
        _ => decode_any(bytes)?,
    };
    Ok((format, request))
}

/// Encodes a response in the given format.
///
/// # Errors
/// [`NotExpressible`] if the format does not have this response or lacks an essential part of it.
pub fn encode_response(response: CallsResponse, format: Format) -> Result<Vec<u8>, NotExpressible> {
    if format == Format::NEWEST {
        return Ok(encode(&response));
    }
    let what = "such answer";
    let missing = |_| NotExpressible { format, what };
    Ok(match format.byte() {
        9 => v9::encode_response(response).map_err(missing)?,
        8 => v8::encode_response(response).map_err(missing)?,
        7 => encode_as(format, &v7::Response::try_from(response).map_err(missing)?),
        6 => encode_as(format, &v6::Response::try_from(response).map_err(missing)?),
        5 => encode_as(format, &v5::Response::try_from(response).map_err(missing)?),
        _ => encode_as(format, &v4::Response::try_from(response).map_err(missing)?),
    })
}

/// Decodes a response of any supported format.
///
/// # Errors
/// [`MessageError`] if the bytes are of an unsupported format or malformed.
pub fn decode_response(bytes: &[u8]) -> Result<CallsResponse, MessageError> {
    Ok(match format_of(bytes)?.byte() {
        4 => decode_any::<v4::Response>(bytes)?.into(),
        5 => decode_any::<v5::Response>(bytes)?.into(),
        6 => decode_any::<v6::Response>(bytes)?.into(),
        7 => decode_any::<v7::Response>(bytes)?.into(),
        8 => v8::decode_response(bytes)?,
        9 => v9::decode_response(bytes)?,
        _ => decode_any(bytes)?,
    })
}

/// Encodes a watch request in format 4, in which a node identifies the directory that it holds by
/// its position in the leader's history instead of its digest.
pub fn encode_positioned_watch(
    watch: WatchRequest,
    position: Option<DirectoryPosition>,
) -> Vec<u8> {
    let request = v4::Request::Watch(v4::Watch::new(watch, position));
    encode_as(Format::OLDEST, &request)
}

/// Returns the position of the directory in a watch response of format 4. Returns `None` if the
/// bytes are anything else or the response contains no directory.
pub fn directory_position(bytes: &[u8]) -> Option<DirectoryPosition> {
    match decode_any(bytes).ok()? {
        v4::Response::Watch(response) => response.position(),
        _ => None,
    }
}

/// Computes the digest that a process of formats 5 to 9 computes for its known processes.
pub fn older_processes_digest(format: Format, processes: &Processes) -> Digest {
    match format < Format::ZONES {
        true => Digest::of_in_format(format, &OlderProcesses::from(processes.clone())),
        false => Digest::of_in_format(format, processes),
    }
}

/// Computes the digest that a process of formats 5 to 8 computes for a directory of these workers.
pub fn older_directory_digest(format: Format, workers: &[WorkerEntry]) -> Digest {
    Digest::of_in_format(format, &v8::older_workers(workers))
}

/// Converts the compressed call of an item, stored or received, to a format that the reader supports. The
/// layout of calls is the same in all formats, so only the format byte changes. Bytes that are
/// not a call are returned unchanged, so that the reader reports them as malformed.
pub fn convert_call(call: Vec<u8>, format: Format) -> Vec<u8> {
    let Ok(plain) = decompress(&call) else {
        return call;
    };
    match format_of(&plain) {
        Ok(current) if current != format && decode_any::<ItemCall>(&plain).is_ok() => {
            let mut plain = plain;
            plain[0] = format.byte();
            compress(&plain)
        }
        _ => call,
    }
}

/// Converts all calls of a job to the given format.
pub fn convert_job(job: &mut NewCallJob, format: Format) {
    for item in &mut job.items {
        item.call = convert_call(std::mem::take(&mut item.call), format);
    }
}

/// Converts the calls that a request contains to the given format.
fn convert_calls_in(request: CallsRequest, format: Format) -> CallsRequest {
    match request {
        CallsRequest::SubmitJob(mut job) => {
            convert_job(&mut job, format);
            CallsRequest::SubmitJob(job)
        }
        other => other,
    }
}
