//! The encoding of messages, commands and snapshots: a byte that names the format, then postcard.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// A layout of messages, commands and stored state, named by their first byte. It is raised
/// with every change of what they hold, since the encoding names no fields: bytes of another
/// layout may be read as something else. Forms of older formats stand in [`crate::formats`].
///
/// | format | what came with it |
/// |---|---|
/// | 1 | the first layout |
/// | 2 | numbers of failed runs, usual run times in lease requests |
/// | 3 | the leader in answers to joining machines, lengths of calls and texts |
/// | 4 | slack of the backlog in answers to lease requests, nodes of other zones in answers to watches, callers' patience in routes |
/// | 5 | what an asker of a watch or a joining machine knows already is named by its digest and not sent again |
/// | 6 | tenants and public routes in route tables, requests borrowed |
/// | 7 | age of the directory in answers to watches, health paths of services |
/// | 8 | evacuated zones, slow starts of services, allowed regions, cells of the fleet |
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Format(u8);

impl Format {
    /// The oldest one that this build reads and writes.
    pub const OLDEST: Format = Format(4);
    /// The first one with an answer that names what the asker knows by its digest.
    pub const DIGESTS: Format = Format(5);
    /// The first one with tenants.
    pub const TENANTS: Format = Format(6);
    /// The first one with the age of the directory.
    pub const DIRECTORY_AGE: Format = Format(7);
    /// The newest one.
    pub const NEWEST: Format = Format(8);

    /// The format that a byte names, if this build knows it.
    pub fn from_byte(byte: u8) -> Option<Self> {
        let format = Format(byte);
        (Self::OLDEST..=Self::NEWEST)
            .contains(&format)
            .then_some(format)
    }

    /// The byte that names it.
    pub fn byte(self) -> u8 {
        self.0
    }

    /// Those that this build knows, the newest first.
    pub fn newest_first() -> impl Iterator<Item = Format> {
        (Self::OLDEST.0..=Self::NEWEST.0).rev().map(Format)
    }
}

impl fmt::Display for Format {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Of a format that can't be read here.
    #[error("format {} can't be read, formats {} to {} can", named(.0), Format::OLDEST, Format::NEWEST)]
    Format(Option<u8>),
    /// Not a message.
    #[error("malformed message: {0}")]
    Malformed(String),
}

fn named(byte: &Option<u8>) -> String {
    byte.map_or("of no bytes".to_owned(), |byte| byte.to_string())
}

/// The format of encoded bytes.
///
/// # Errors
/// [`MessageError::Format`] when this build does not know it.
pub fn format_of(bytes: &[u8]) -> Result<Format, MessageError> {
    let byte = bytes.first().copied();
    byte.and_then(Format::from_byte)
        .ok_or(MessageError::Format(byte))
}

/// Encodes a message or a part of one in the newest format.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    encode_as(Format::NEWEST, message)
}

/// Encodes what has its layout in this format.
pub fn encode_as<T: Serialize>(format: Format, message: &T) -> Vec<u8> {
    let bytes = vec![format.byte()];
    postcard::to_extend(message, bytes).expect("messages hold nothing that can't be encoded")
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// [`MessageError`] when the bytes are of another format or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    decode_as(Format::NEWEST, bytes)
}

/// Decodes bytes of one format; `T` has the layout of that format.
///
/// # Errors
/// [`MessageError`] when the bytes are of another format or malformed.
pub fn decode_as<T: DeserializeOwned>(format: Format, bytes: &[u8]) -> Result<T, MessageError> {
    match format_of(bytes)? {
        found if found == format => decode_any(bytes),
        other => Err(MessageError::Format(Some(other.byte()))),
    }
}

/// Decodes bytes of any known format; the layout of `T` is the same in all of them.
///
/// # Errors
/// [`MessageError`] when the bytes are of an unknown format or malformed.
pub fn decode_any<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    format_of(bytes)?;
    postcard::from_bytes(&bytes[1..]).map_err(|error| MessageError::Malformed(error.to_string()))
}

/// Names another format in bytes whose layout is the same in both.
///
/// # Errors
/// [`MessageError::Format`] when the bytes are of an unknown format.
pub fn set_format(mut bytes: Vec<u8>, format: Format) -> Result<Vec<u8>, MessageError> {
    format_of(&bytes)?;
    bytes[0] = format.byte();
    Ok(bytes)
}
