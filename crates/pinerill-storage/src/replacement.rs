//! Which groups' states are being replaced.
//!
//! A received snapshot is written in two steps, between which the state table is
//! empty. A view of that moment would show nothing where something was, so views are
//! refused meanwhile.

use std::collections::HashMap;

use parking_lot::Mutex;
use pinerill_replica::GroupId;

/// Counts the beginnings and ends of replacements by group: odd while one is under
/// way.
#[derive(Debug, Default)]
pub(crate) struct Replacements {
    steps: Mutex<HashMap<GroupId, u64>>,
}

/// What a view was opened between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReplacementStep(u64);

impl ReplacementStep {
    pub(crate) fn is_under_way(self) -> bool {
        self.0 % 2 == 1
    }
}

impl Replacements {
    /// The last step of a group. A view that is opened between two equal ones, neither
    /// under way, shows a whole state.
    pub(crate) fn step(&self, group: GroupId) -> ReplacementStep {
        let steps = self.steps.lock();
        ReplacementStep(steps.get(&group).copied().unwrap_or_default())
    }

    /// A replacement begins or ends.
    pub(crate) fn advance(&self, group: GroupId) {
        *self.steps.lock().entry(group).or_default() += 1;
    }
}
