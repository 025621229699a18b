//! Compression of request bodies and results, which are stored and sent several times.
//!
//! The algorithm is Deflate, because most texts contain few repetitions and shrink only through
//! its entropy coding.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use thiserror::Error;

/// Maximum size in bytes that [`decompress`] restores. No valid input is larger, so the limit
/// bounds the memory that malformed input can allocate.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// The input of [`decompress`] is malformed or exceeds the size limit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("decompress: {0}")]
pub struct DecompressError(String);

/// Compresses bytes with Deflate, favouring speed over size.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector cannot fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Restores bytes that [`compress`] has compressed.
///
/// # Errors
/// [`DecompressError`] if the input is not valid Deflate data or decompresses to more than 64 MiB.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressError> {
    let mut original = Vec::new();
    let mut limited = DeflateDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES + 1);
    limited
        .read_to_end(&mut original)
        .map_err(|error| DecompressError(error.to_string()))?;
    if original.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(DecompressError("the original is too long".to_owned()));
    }
    Ok(original)
}
