//! Values that many are sent, encoded and compressed once for all of them.

use std::marker::PhantomData;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::compression::{compress, decompress, DecompressError};
use crate::encoding::{decode, encode, MessageError};

/// A value in its compressed encoding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed<T> {
    bytes: Vec<u8>,
    #[serde(skip)]
    of: PhantomData<T>,
}

/// Bytes that are no packed value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnpackError {
    /// They can't be decompressed.
    #[error(transparent)]
    Compression(#[from] DecompressError),
    /// They are another value.
    #[error(transparent)]
    Encoding(#[from] MessageError),
}

impl<T: Serialize> Packed<T> {
    /// Packs a value.
    pub fn new(value: &T) -> Self {
        Packed {
            bytes: compress(&encode(value)),
            of: PhantomData,
        }
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// The value.
    ///
    /// # Errors
    /// [`UnpackError`] when the bytes are no such value.
    pub fn unpack(&self) -> Result<T, UnpackError> {
        Ok(decode(&decompress(&self.bytes)?)?)
    }
}

impl<T> Packed<T> {
    /// Its size, bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
