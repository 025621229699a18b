//! Compression of bodies and results, which are kept and sent many times.

use lz4_flex::block::{compress_prepend_size, decompress_size_prepended, uncompressed_size};
use thiserror::Error;

/// Longest original that is restored, in bytes; a longer one can't be right.
const ORIGINAL_LIMIT: usize = 64 << 20;

/// Bytes that [`compress`] did not make.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("decompress: {0}")]
pub struct DecompressError(String);

/// Compresses bytes; the length of the original is stored in front.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    compress_prepend_size(bytes)
}

/// Restores what [`compress`] made.
///
/// # Errors
/// When the bytes were not made by [`compress`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressError> {
    let failed = |error: String| DecompressError(error);
    let (length, _) = uncompressed_size(bytes).map_err(|error| failed(error.to_string()))?;
    if length > ORIGINAL_LIMIT {
        return Err(failed(format!("{length} bytes are too long")));
    }
    decompress_size_prepended(bytes).map_err(|error| failed(error.to_string()))
}
