//! Bytes of commands, replies, records and snapshots: a version byte, then
//! postcard.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the formats below. A log may hold commands of older versions,
/// so a change of a format needs a new version and a decoder for the old one.
const VERSION: u8 = 1;

/// Why bytes were not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Nothing at all.
    #[error("no bytes")]
    Empty,
    /// Written by another version of pinerill.
    #[error("version {0} of the format is not known here")]
    Version(u8),
    /// Not what is expected.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let bytes = vec![VERSION];
    postcard::to_extend(value, bytes).expect("plain data in memory always encodes")
}

/// Decodes a value.
///
/// # Errors
/// [`CodecError`] when the bytes are of another version or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, rest) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != VERSION {
        return Err(CodecError::Version(*version));
    }
    postcard::from_bytes(rest).map_err(|error| CodecError::Malformed(error.to_string()))
}
