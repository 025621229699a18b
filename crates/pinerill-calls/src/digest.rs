//! Short names of contents, so that what a peer holds already is not sent again.

use serde::{Deserialize, Serialize};

use crate::encoding::{encode_as, Format};

/// FNV-1a's first value and its multiplier, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash of a content's encoding, the same in all processes of one format. It guards
/// against nobody who makes contents with the same one on purpose: only processes that
/// know the cluster's key are told digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// The digest of a content.
    pub fn of<T: Serialize>(content: &T) -> Self {
        Self::of_in_format(Format::NEWEST, content)
    }

    /// The digest that a process of an older format gives a content.
    pub fn of_in_format<T: Serialize>(format: Format, content: &T) -> Self {
        let bytes = encode_as(format, content).into_iter();
        Digest(bytes.fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        }))
    }

    /// As a number.
    pub fn number(self) -> u64 {
        self.0
    }

    /// What [`Digest::number`] gave.
    pub fn from_number(number: u64) -> Self {
        Digest(number)
    }
}
