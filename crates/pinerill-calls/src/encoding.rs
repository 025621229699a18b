//! The encoding of messages, commands and snapshots: a version byte, then postcard.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// First byte of each message, command and snapshot; another one is refused. It is
/// raised with every change of what they hold, since the encoding names no fields:
/// bytes of another layout may be read as something else.
///
/// | version | what came with it |
/// |---|---|
/// | 1 | the first layout |
/// | 2 | numbers of failed runs, usual run times in lease requests |
/// | 3 | the leader in answers to joining machines, lengths of calls and texts |
/// | 4 | slack of the backlog in answers to lease requests, nodes of other zones in answers to watches, callers' patience in routes |
/// | 5 | what an asker of a watch or a joining machine knows already is named by its digest and not sent again |
/// | 6 | tenants and public routes in route tables, requests borrowed |
/// | 7 | age of the directory in answers to watches, health paths of services |
/// | 8 | evacuated zones, slow starts of services, allowed regions, cells of the fleet |
const VERSION: u8 = 8;

/// The version before, whose stored state is still read.
pub const PREVIOUS_VERSION: u8 = 7;

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Another version of the encoding.
    #[error("message of version {0:?}; is the peer of another version?")]
    Version(Option<u8>),
    /// Not a message.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Encodes a message or a part of one.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let bytes = vec![VERSION];
    postcard::to_extend(message, bytes).expect("messages hold nothing that can't be encoded")
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// [`MessageError`] when the bytes are of another version or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    decode_version(bytes, VERSION)
}

/// Decodes what a process of another version stored; `T` has the layout of that version.
///
/// # Errors
/// [`MessageError`] when the bytes are of another version or malformed.
pub fn decode_version<T: DeserializeOwned>(bytes: &[u8], wanted: u8) -> Result<T, MessageError> {
    match bytes.split_first() {
        Some((&version, rest)) if version == wanted => {
            postcard::from_bytes(rest).map_err(|error| MessageError::Malformed(error.to_string()))
        }
        other => Err(MessageError::Version(other.map(|(version, _)| *version))),
    }
}

/// Decodes what may have been stored by a process of this version or the one before, whose
/// layout of `T` is the same.
///
/// # Errors
/// [`MessageError`] when the bytes are of another version or malformed.
pub fn decode_stored<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match decode(bytes) {
        Err(MessageError::Version(Some(PREVIOUS_VERSION))) => {
            decode_version(bytes, PREVIOUS_VERSION)
        }
        decoded => decoded,
    }
}
