//! Compression of bodies and results, which are kept and sent many times.

use lz4_flex::block::{compress_prepend_size, decompress_size_prepended, DecompressError};

/// Compresses bytes; the length of the original is stored in front.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    compress_prepend_size(bytes)
}

/// Restores what [`compress`] made.
///
/// # Errors
/// When the bytes were not made by [`compress`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressError> {
    decompress_size_prepended(bytes)
}
