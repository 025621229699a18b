//! Compression of bodies and results, which are kept and sent many times.
//!
//! Deflate, since most texts repeat nothing and gain by entropy coding alone.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use thiserror::Error;

/// Longest original that is restored, in bytes; a longer one can't be right.
const ORIGINAL_LIMIT: u64 = 64 << 20;

/// Bytes that [`compress`] did not make.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("decompress: {0}")]
pub struct DecompressError(String);

/// Compresses bytes.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector can't fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Restores what [`compress`] made.
///
/// # Errors
/// When the bytes were not made by [`compress`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressError> {
    let mut original = Vec::new();
    let mut limited = DeflateDecoder::new(bytes).take(ORIGINAL_LIMIT + 1);
    limited
        .read_to_end(&mut original)
        .map_err(|error| DecompressError(error.to_string()))?;
    if original.len() as u64 > ORIGINAL_LIMIT {
        return Err(DecompressError("the original is too long".to_owned()));
    }
    Ok(original)
}
