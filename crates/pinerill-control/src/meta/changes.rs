//! The newest changes of the bundle, for watchers that have an older one.

use std::collections::VecDeque;

use pinerill_types::bundle::BundleChange;
use pinerill_types::Digest;
use serde::{Deserialize, Serialize};

/// Most bytes of entries that are kept; older changes go first.
const CHANGE_BYTES_LIMIT: usize = 4 * 1024 * 1024;
/// Bytes that a change costs besides its entries.
const CHANGE_OVERHEAD: usize = 256;

/// How a watcher gets to the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateSince {
    /// It has it.
    Same,
    /// By these changes, in order.
    Changes(Vec<BundleChange>),
    /// Only by the whole bundle.
    Snapshot,
    /// It claims a newer one than is known here.
    Ahead,
}

/// Consecutive changes up to the bundle in force.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct RecentChanges {
    changes: VecDeque<BundleChange>,
    bytes: usize,
}

impl RecentChanges {
    /// Appends the change that yielded the bundle in force.
    pub(super) fn push(&mut self, change: BundleChange) {
        self.bytes += size_of_change(&change);
        self.changes.push_back(change);
        while self.bytes > CHANGE_BYTES_LIMIT {
            let Some(old) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size_of_change(&old);
        }
    }

    /// Changes that follow the bundle with `version` and `digest`; none when
    /// they are gone or the bundle was never in force.
    pub(super) fn since(&self, version: u64, digest: Digest) -> Option<Vec<BundleChange>> {
        let skip = self.position_after(version, digest)?;
        Some(self.changes.iter().skip(skip).cloned().collect())
    }

    /// How many changes follow the bundle with `version` and `digest`; none
    /// when they are gone or the bundle was never in force.
    pub(super) fn count_since(&self, version: u64, digest: Digest) -> Option<usize> {
        let skip = self.position_after(version, digest)?;
        Some(self.changes.len() - skip)
    }

    fn position_after(&self, version: u64, digest: Digest) -> Option<usize> {
        let first = self.changes.front()?.version;
        let position = usize::try_from((version + 1).checked_sub(first)?).ok()?;
        let next = self.changes.get(position)?;
        (next.base == digest).then_some(position)
    }
}

fn size_of_change(change: &BundleChange) -> usize {
    let set = change.set.iter();
    let set: usize = set.map(|one| one.key.name.len() + one.value.len()).sum();
    let removed: usize = change.removed.iter().map(|key| key.name.len()).sum();
    CHANGE_OVERHEAD + set + removed
}
