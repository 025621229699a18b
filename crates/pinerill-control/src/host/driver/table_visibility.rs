//! Up to which index readers of the state table see everything applied.

use std::collections::{BTreeMap, VecDeque};

/// Tracks table writes on their way to the store and the reads that wait,
/// each named by its `R`.
pub(super) struct TableVisibility<R> {
    applied: u64,
    /// First index of each write under way, in the order of the writes.
    writes: VecDeque<u64>,
    waiting: BTreeMap<u64, Vec<R>>,
}

impl<R> TableVisibility<R> {
    pub(super) fn new(applied: u64) -> Self {
        TableVisibility {
            applied,
            writes: VecDeque::new(),
            waiting: BTreeMap::new(),
        }
    }

    pub(super) fn applied(&self) -> u64 {
        self.applied
    }

    /// Notes that everything up to `index` is applied. With `write`, its
    /// table writes were queued at the store and are not visible yet.
    pub(super) fn applied_up_to(&mut self, index: u64, write: bool) {
        if write {
            self.writes.push_back(self.applied + 1);
        }
        self.applied = index;
    }

    /// Notes that the oldest write under way became visible.
    pub(super) fn written(&mut self) {
        self.writes.pop_front();
    }

    fn visible(&self) -> u64 {
        match self.writes.front() {
            Some(first) => first - 1,
            None => self.applied,
        }
    }

    /// Makes reads wait until everything up to `index` is visible.
    pub(super) fn wait(&mut self, index: u64, reads: Vec<R>) {
        self.waiting.entry(index).or_default().extend(reads);
    }

    /// Takes the reads whose index is visible, with that index.
    pub(super) fn take_visible(&mut self) -> Vec<(u64, R)> {
        let visible = self.visible();
        let mut ready = Vec::new();
        while let Some(first) = self.waiting.first_entry() {
            if *first.key() > visible {
                break;
            }
            let (index, reads) = first.remove_entry();
            ready.extend(reads.into_iter().map(|read| (index, read)));
        }
        ready
    }
}
