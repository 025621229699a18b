//! Texts, digests, addresses and lists of them.

use std::net::SocketAddr;

use capnp::{data, text, text_list};
use pinerill_types::Digest;

use super::CodecError;

/// A text field as an owned string.
pub(super) fn string(reader: text::Reader<'_>) -> Result<String, CodecError> {
    Ok(reader.to_str()?.to_owned())
}

/// A name that must not be empty.
pub(super) fn name(field: &'static str, reader: text::Reader<'_>) -> Result<String, CodecError> {
    let text = string(reader)?;
    if text.is_empty() {
        let message = "is empty".to_owned();
        return Err(CodecError::Field { field, message });
    }
    Ok(text)
}

/// A digest of 32 bytes.
pub(super) fn digest(field: &'static str, reader: data::Reader<'_>) -> Result<Digest, CodecError> {
    let bytes = <[u8; 32]>::try_from(reader).map_err(|_| CodecError::Field {
        field,
        message: format!("has {} bytes instead of 32", reader.len()),
    })?;
    Ok(Digest(bytes))
}

/// An `IP:PORT`.
pub(super) fn address(
    field: &'static str,
    reader: text::Reader<'_>,
) -> Result<SocketAddr, CodecError> {
    let text = string(reader)?;
    text.parse().map_err(|_| CodecError::Field {
        field,
        message: format!("`{text}` is not IP:PORT"),
    })
}

/// An `IP:PORT`, or nothing when the text is empty.
pub(super) fn optional_address(
    field: &'static str,
    reader: text::Reader<'_>,
) -> Result<Option<SocketAddr>, CodecError> {
    if reader.is_empty() {
        return Ok(None);
    }
    address(field, reader).map(Some)
}

/// An optional `IP:PORT` as text.
pub(super) fn optional_address_text(value: Option<SocketAddr>) -> String {
    value.map(|one| one.to_string()).unwrap_or_default()
}

/// A list of texts.
pub(super) fn strings(reader: text_list::Reader<'_>) -> Result<Vec<String>, CodecError> {
    reader.iter().map(|one| string(one?)).collect()
}

/// Writes each text at its place; the list has as many as there are.
pub(super) fn encode_strings<'a>(
    mut list: text_list::Builder<'_>,
    texts: impl IntoIterator<Item = &'a str>,
) {
    for (index, text) in texts.into_iter().enumerate() {
        list.set(index as u32, text);
    }
}
