//! Typed messages to Cap'n Proto and back.
//!
//! Each submodule converts the messages of the module of the same name.
//! Encoding can't fail; decoding fails with the field that is wrong.

mod bundle;
mod cluster;
mod directory;
mod encoded_bundle;
mod envelope;
mod frame;
mod job;
mod list;
mod request;
mod response;
mod text;

pub use encoded_bundle::EncodedBundle;
pub use frame::{decode_frame, encode_frame, Frame, Hello};

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Not a Cap'n Proto message, or one that breaks its limits.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// A union or an enum has a case that this version does not know.
    #[error("unknown case {0} in a message; is the peer of another version?")]
    UnknownCase(u16),
    /// A field's value is impossible.
    #[error("field {field}: {message}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong.
        message: String,
    },
}

impl From<capnp::Error> for CodecError {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<capnp::NotInSchema> for CodecError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::UnknownCase(error.0)
    }
}

impl From<std::str::Utf8Error> for CodecError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed(error.to_string())
    }
}
