//! Up to which index readers of the state table see everything applied.

use std::collections::{BTreeMap, VecDeque};

use super::event::ReadReply;

/// Tracks table writes on their way to the store and the reads that wait.
#[derive(Default)]
pub(super) struct TableVisibility {
    applied: u64,
    /// First index of each write under way, in the order of the writes.
    writes: VecDeque<u64>,
    waiting: BTreeMap<u64, Vec<ReadReply>>,
}

impl TableVisibility {
    pub(super) fn new(applied: u64) -> Self {
        TableVisibility {
            applied,
            ..TableVisibility::default()
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
    pub(super) fn wait(&mut self, index: u64, replies: Vec<ReadReply>) {
        self.waiting.entry(index).or_default().extend(replies);
    }

    /// Answers the reads whose index is visible; returns how many.
    pub(super) fn answer(&mut self) -> usize {
        let visible = self.visible();
        let mut answered = 0;
        while let Some(first) = self.waiting.first_entry() {
            if *first.key() > visible {
                break;
            }
            let (index, replies) = first.remove_entry();
            answered += replies.len();
            for reply in replies {
                let _ = reply.send(Ok(index));
            }
        }
        answered
    }
}
