//! Which bundle took which version, kept in the state table.
//!
//! A proposal whose answer was lost may be sent again long after, so the
//! digest of each version outlives the change itself.

use pinerill_types::Digest;

use crate::machine::{TableReader, TableWriter};

/// Versions whose digests are kept: a month at 56,000 changes a day.
pub const HISTORY_LIMIT: u64 = 1_700_000;
/// First bytes of a key of the history.
const HISTORY_PREFIX: &[u8] = b"history/";

/// What is known of a version up to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PastVersion {
    /// It was taken by the bundle with this digest.
    Taken(Digest),
    /// It is older than the history.
    Forgotten,
}

/// Records the digest of a version and forgets the one that is too old.
pub(super) fn record(table: &mut dyn TableWriter, version: u64, digest: Digest) {
    table.put(&history_key(version), &digest.0);
    if let Some(old) = version.checked_sub(HISTORY_LIMIT) {
        table.delete(&history_key(old));
    }
}

/// Reads which bundle took `version`, which is at most the one in force.
///
/// # Errors
/// When the table can't be read or holds something else under the key.
pub fn read_history(table: &dyn TableReader, version: u64) -> anyhow::Result<PastVersion> {
    let Some(bytes) = table.get(&history_key(version))? else {
        return Ok(PastVersion::Forgotten);
    };
    let digest = bytes
        .try_into()
        .map_err(|_| anyhow::anyhow!("history of version {version} is not a digest"))?;
    Ok(PastVersion::Taken(Digest(digest)))
}

fn history_key(version: u64) -> Vec<u8> {
    let mut key = HISTORY_PREFIX.to_vec();
    key.extend_from_slice(&version.to_be_bytes());
    key
}
