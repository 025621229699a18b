//! Digests of contents, with which a process asks only for contents that it does not have.

use serde::{Deserialize, Serialize};

use crate::encoding::{encode_as, Format};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A 64-bit hash of the encoding of a content, equal in all processes of the same format. It is
/// not resistant to deliberate collisions, which suffices because digests are exchanged only
/// between processes that know the cluster's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// Computes the digest of a content in the newest format.
    pub fn of<T: Serialize>(content: &T) -> Self {
        Self::of_in_format(Format::NEWEST, content)
    }

    /// Computes the digest that a process of the given format computes for a content.
    pub fn of_in_format<T: Serialize>(format: Format, content: &T) -> Self {
        let bytes = encode_as(format, content).into_iter();
        Digest(bytes.fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        }))
    }

    /// Returns the digest as a number.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Restores a digest from the result of [`Digest::number`].
    pub fn from_number(number: u64) -> Self {
        Digest(number)
    }
}
