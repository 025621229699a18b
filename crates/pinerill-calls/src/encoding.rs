//! The encoding of messages, commands and snapshots: one format byte, followed by the value in
//! postcard.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// The version of the layout of messages, commands and stored state, which their first byte
/// states. Every change of their fields increments it, because postcard encodes no field names
/// and bytes of another layout could decode to a wrong value. [`crate::formats`] converts the
/// layouts of older formats.
///
/// | format | additions |
/// |---|---|
/// | 1 | initial layout |
/// | 2 | counts of failed runs, usual run times in lease requests |
/// | 3 | the leader in answers to joining machines, lengths of calls and texts |
/// | 4 | slack of the backlog in answers to lease requests, nodes of other zones in answers to watches, maximum time that callers wait in routes |
/// | 5 | digests in watches and join requests in place of contents that the requester already has |
/// | 6 | tenants and public routes in route tables, borrowing of request tokens |
/// | 7 | age of the directory in answers to watches, health check paths of services |
/// | 8 | evacuated zones, slow starts of services, allowed regions, cells of the fleet |
/// | 9 | software versions of workers, requests for their history |
/// | 10 | items that a node can start by service, items that it has returned, and numbers in lease requests |
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Format(u8);

impl Format {
    /// The oldest format that this build reads and writes.
    pub const OLDEST: Format = Format(4);
    /// The first format in which requesters send digests of the contents that they have.
    pub const DIGESTS: Format = Format(5);
    /// The first format with tenants.
    pub const TENANTS: Format = Format(6);
    /// The first format whose answers to watches contain the age of the directory.
    pub const DIRECTORY_AGE: Format = Format(7);
    /// The first format with evacuated zones, and with the sender's zone in lease requests.
    pub const ZONES: Format = Format(8);
    /// The first format whose directories state the software versions of workers.
    pub const WORKER_VERSIONS: Format = Format(9);
    /// The first format whose lease requests state the items that a node can start by service, and
    /// have numbers.
    pub const SERVICE_CAPACITIES: Format = Format(10);
    /// The format of datagrams between nodes. Their layout only grows by variants at its end, which
    /// receivers of builds without them drop.
    pub const DATAGRAMS: Format = Format(8);
    /// The newest format, which processes of this build use among themselves.
    pub const NEWEST: Format = Format(10);

    /// Returns the format with this byte, or `None` if this build does not support it.
    pub fn from_byte(byte: u8) -> Option<Self> {
        let format = Format(byte);
        (Self::OLDEST..=Self::NEWEST)
            .contains(&format)
            .then_some(format)
    }

    /// Returns the byte with which encoded values of this format begin.
    pub fn byte(self) -> u8 {
        self.0
    }

    /// Returns all formats that this build supports, from the newest to the oldest.
    pub fn newest_first() -> impl Iterator<Item = Format> {
        (Self::OLDEST.0..=Self::NEWEST.0).rev().map(Format)
    }
}

impl fmt::Display for Format {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The reason why bytes cannot be decoded as a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The format byte is not supported, or `None` if the input is empty.
    #[error("format {} can't be read, formats {} to {} can", format_name(.0), Format::OLDEST, Format::NEWEST)]
    Format(Option<u8>),
    /// The format is supported, but the rest of the input is not a valid message.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Returns the text for a format byte in error messages.
fn format_name(byte: &Option<u8>) -> String {
    byte.map_or("of no bytes".to_owned(), |byte| byte.to_string())
}

/// Returns the format of encoded bytes.
///
/// # Errors
/// [`MessageError::Format`] if this build does not support it or the input is empty.
pub fn format_of(bytes: &[u8]) -> Result<Format, MessageError> {
    let byte = bytes.first().copied();
    byte.and_then(Format::from_byte)
        .ok_or(MessageError::Format(byte))
}

/// Encodes a message, or a part of one, in the newest format.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    encode_as(Format::NEWEST, message)
}

/// Encodes a value whose type has the layout of the given format.
pub fn encode_as<T: Serialize>(format: Format, message: &T) -> Vec<u8> {
    let bytes = vec![format.byte()];
    postcard::to_extend(message, bytes).expect("messages hold nothing that can't be encoded")
}

/// Decodes a value that [`encode`] wrote.
///
/// # Errors
/// [`MessageError`] if the bytes are of another format than the newest or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    decode_as(Format::NEWEST, bytes)
}

/// Decodes bytes of the given format. `T` must have the layout of that format.
///
/// # Errors
/// [`MessageError`] if the bytes are of another format or malformed.
pub fn decode_as<T: DeserializeOwned>(format: Format, bytes: &[u8]) -> Result<T, MessageError> {
    match format_of(bytes)? {
        actual if actual == format => decode_any(bytes),
        other => Err(MessageError::Format(Some(other.byte()))),
    }
}

/// Decodes bytes of any supported format. `T` must have the same layout in all of them, or have
/// the layout of the format that the caller has read with [`format_of`].
///
/// # Errors
/// [`MessageError`] if the bytes are of an unsupported format or malformed.
pub fn decode_any<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    format_of(bytes)?;
    postcard::from_bytes(&bytes[1..]).map_err(|error| MessageError::Malformed(error.to_string()))
}

/// Replaces the format byte of an encoded value whose layout is the same in both formats.
///
/// # Errors
/// [`MessageError::Format`] if the bytes are of an unsupported format.
pub fn set_format(mut bytes: Vec<u8>, format: Format) -> Result<Vec<u8>, MessageError> {
    format_of(&bytes)?;
    bytes[0] = format.byte();
    Ok(bytes)
}
