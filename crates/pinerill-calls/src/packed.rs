//! Encoded and compressed values, so that a value that many processes receive is encoded and
//! compressed only once.

use std::marker::PhantomData;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::compression::{compress, decompress, DecompressError};
use crate::encoding::{decode_as, encode_as, Format, MessageError};

/// A value of type `T` in its encoded and compressed form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed<T> {
    bytes: Vec<u8>,
    #[serde(skip)]
    value_type: PhantomData<T>,
}

/// The reason why a packed value cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnpackError {
    /// The bytes cannot be decompressed.
    #[error(transparent)]
    Compression(#[from] DecompressError),
    /// The decompressed bytes are not an encoded value of the expected type.
    #[error(transparent)]
    Encoding(#[from] MessageError),
}

impl<T: Serialize> Packed<T> {
    /// Encodes a value in the newest format and compresses it.
    pub fn new(value: &T) -> Self {
        Self::in_format(Format::NEWEST, value)
    }

    /// Encodes a value whose type has the layout of the given format, and compresses it.
    pub fn in_format(format: Format, value: &T) -> Self {
        Packed {
            bytes: compress(&encode_as(format, value)),
            value_type: PhantomData,
        }
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// Restores the value.
    ///
    /// # Errors
    /// [`UnpackError`] if the bytes are not a packed value of type `T`.
    pub fn unpack(&self) -> Result<T, UnpackError> {
        self.unpack_from(Format::NEWEST)
    }

    /// Restores a value that was packed in the given format.
    ///
    /// # Errors
    /// [`UnpackError`] if the bytes are not a packed value of type `T` in that format.
    pub fn unpack_from(&self, format: Format) -> Result<T, UnpackError> {
        Ok(decode_as(format, &decompress(&self.bytes)?)?)
    }
}

impl<T> Packed<T> {
    /// Returns the compressed size in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
