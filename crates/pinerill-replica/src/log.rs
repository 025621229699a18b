//! The in-memory part of the log, from the last compaction on.

use std::collections::VecDeque;

use crate::{Entry, EntryKind, Membership, SnapshotMeta};

/// Entries after a compacted prefix, with the memberships they contain.
///
/// Invariants: `entries` has no gaps and starts at `base_index + 1`;
/// `memberships` is ascending and never empty, its first element is the
/// membership in force at or before `base_index`.
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(snapshot: &SnapshotMeta, entries: Vec<Entry>) -> Self {
        let mut log = Log {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            memberships: vec![(snapshot.index, snapshot.membership.clone())],
        };
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(position as usize)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let EntryKind::Membership(membership) = &entry.kind {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones, and thereby takes
    /// back the memberships they brought.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(keep as usize);
        while self.memberships.len() > 1 && self.membership_index() >= index {
            self.memberships.pop();
        }
    }

    /// Entries from `from` on, at least one if there is any, up to `max_bytes`.
    pub(crate) fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let start = from.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.range(start.min(self.entries.len())..) {
            bytes += entry.size();
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// The index before the entries that are kept behind a snapshot at
    /// `index`: at most `entries` of them and at most `bytes`.
    pub(crate) fn start_of_margin(&self, index: u64, entries: u64, bytes: usize) -> u64 {
        let mut start = index;
        let mut left = bytes;
        while index - start < entries {
            let size = self.entry(start).map_or(usize::MAX, Entry::size);
            if size > left {
                break;
            }
            left -= size;
            start -= 1;
        }
        start
    }

    /// Forgets entries up to `index`, which must be in the log.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let membership = self.membership_at(index).clone();
        let count = index - self.base_index;
        self.entries.drain(..count as usize);
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, (index, membership));
        self.base_index = index;
        self.base_term = term;
    }

    /// The membership in force: that of the last membership entry, committed
    /// or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry that brought the membership in force.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// The membership in force at `index`.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        let after = self.memberships.partition_point(|(at, _)| *at <= index);
        &self.memberships[after.max(1) - 1].1
    }

    /// Whether a log that ends with the given entry has all this one may have
    /// committed.
    pub(crate) fn is_covered_by(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// The highest index before the run of entries that share the term at
    /// `index`, but not below `floor`.
    pub(crate) fn before_term_run(&self, index: u64, floor: u64) -> u64 {
        let Some(term) = self.term_at(index) else {
            return self.last_index();
        };
        let mut candidate = index;
        while candidate > floor && self.term_at(candidate) == Some(term) {
            candidate -= 1;
        }
        candidate
    }
}
