//! What a leader knows about one follower.

use std::collections::VecDeque;

use crate::SnapshotMeta;

/// How entries travel to a follower.
pub(crate) enum ProgressState {
    /// Looking for the last matching entry, one append at a time.
    Probe {
        /// When the unanswered append was sent.
        sent_ms: Option<u64>,
    },
    /// Appends are pipelined.
    Replicate,
    /// The follower needs entries that are compacted away.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to a follower, one unanswered chunk at a time.
pub(crate) struct SnapshotTransfer {
    /// What the snapshot covers; `None` until the first chunk was read.
    pub(crate) meta: Option<SnapshotMeta>,
    /// Offset of the current chunk.
    pub(crate) offset: u64,
    /// The current chunk, kept to be sent again, and whether it is the last.
    pub(crate) chunk: Option<(Vec<u8>, bool)>,
    /// When the current chunk was asked for or sent.
    pub(crate) sent_ms: u64,
}

/// What a leader knows about one follower.
pub(crate) struct Progress {
    /// Last index known to be durable and equal at the follower.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    pub(crate) state: ProgressState,
    /// Last index of each unanswered append.
    pub(crate) inflight: VecDeque<u64>,
    /// When the follower last answered in this term.
    pub(crate) last_contact_ms: u64,
    /// When `match_index` last rose or an append was sent into an empty pipe.
    pub(crate) last_advance_ms: u64,
    /// Highest commit index that the follower was told.
    pub(crate) told_commit: u64,
    /// Highest heartbeat round that the follower answered.
    pub(crate) answered_round: u64,
}

impl Progress {
    pub(crate) fn new(next_index: u64, now_ms: u64) -> Self {
        Progress {
            match_index: 0,
            next_index,
            state: ProgressState::Probe { sent_ms: None },
            inflight: VecDeque::new(),
            last_contact_ms: now_ms,
            last_advance_ms: now_ms,
            told_commit: 0,
            answered_round: 0,
        }
    }

    /// Notes that the follower has everything up to `index`.
    pub(crate) fn accepted(&mut self, index: u64, now_ms: u64) {
        if index > self.match_index {
            self.match_index = index;
            self.last_advance_ms = now_ms;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.inflight.front().is_some_and(|last| *last <= index) {
            self.inflight.pop_front();
        }
        let covered = match &self.state {
            ProgressState::Probe { .. } => true,
            ProgressState::Replicate => false,
            ProgressState::Snapshot(transfer) => transfer
                .meta
                .as_ref()
                .is_some_and(|meta| meta.index <= index),
        };
        if covered {
            self.state = ProgressState::Replicate;
        }
    }

    /// Goes back after a rejection. A rejection that answers an append from
    /// before the last step back is stale and ignored.
    pub(crate) fn rejected(&mut self, previous_index: u64, hint_index: u64) {
        let stale = match self.state {
            ProgressState::Probe { .. } => previous_index + 1 != self.next_index,
            ProgressState::Replicate => previous_index <= self.match_index,
            ProgressState::Snapshot(_) => true,
        };
        if stale {
            return;
        }
        let next = previous_index.min(hint_index + 1);
        self.probe_from(next.max(self.match_index + 1));
    }

    /// Starts over with one append at a time.
    pub(crate) fn probe_from(&mut self, next_index: u64) {
        self.next_index = next_index;
        self.inflight.clear();
        self.state = ProgressState::Probe { sent_ms: None };
    }

    /// Starts sending a snapshot from its beginning.
    pub(crate) fn start_snapshot(&mut self, now_ms: u64) {
        self.inflight.clear();
        self.state = ProgressState::Snapshot(SnapshotTransfer {
            meta: None,
            offset: 0,
            chunk: None,
            sent_ms: now_ms,
        });
    }
}
