//! Callers' keys as they are kept: only as hashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Bytes of a hash.
pub const KEY_HASH_BYTES: usize = 32;

/// SHA-256 of a caller's key. The key itself is never kept: neither a dump of a node's
/// memory nor a route table on its way gives anybody a key to call with.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; KEY_HASH_BYTES]);

impl KeyHash {
    /// The hash of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyHash(Sha256::digest(key).into())
    }

    /// A hash from its hexadecimal digits; none if they are not one.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; KEY_HASH_BYTES];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(KeyHash(bytes))
    }
}

/// Tells nothing: a hash of a short key could be searched for.
impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}
