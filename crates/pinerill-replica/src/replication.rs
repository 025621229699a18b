//! The leader's side of log replication and commits.

use crate::defects::Defect;
use crate::progress::ProgressState;
use crate::{
    AppendOutcome, AppendRequest, AppendResponse, CommitNotice, Entry, EntryKind, Message, Replica,
    ReplicaId, SnapshotRequest,
};

/// Unacknowledged entries are sent again after this many heartbeat intervals.
const STALL_HEARTBEATS: u64 = 2;

impl Replica {
    /// Appends an entry to the leader's own log and returns its index. The
    /// leader's write and the followers' run in parallel: the leader counts
    /// itself for a commit only up to its own durable index.
    pub(crate) fn append_as_leader(&mut self, kind: EntryKind) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term(),
            kind,
        };
        let index = entry.index;
        if let Some(leading) = &mut self.leading {
            leading.uncommitted_bytes += entry.size();
        }
        self.durability.append(std::slice::from_ref(&entry));
        self.log.push(entry);
        index
    }

    /// Sends to every follower what it may get now.
    pub(crate) fn flush_appends(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let peers: Vec<ReplicaId> = leading.progress.keys().copied().collect();
        for peer in peers {
            while self.send_append(peer) {}
            self.send_commit_notice(peer);
        }
    }

    /// Sends at most one append; whether another one may follow at once.
    fn send_append(&mut self, to: ReplicaId) -> bool {
        let now_ms = self.now_ms;
        let heartbeat_ms = self.config.heartbeat_ms;
        let silence_ms = self.config.election_max_ms;
        let max_inflight = self.config.max_inflight_appends;
        let base_index = self.log.base_index();
        let Some(progress) = self.progress(to) else {
            return false;
        };
        let silent = now_ms > progress.last_contact_ms + silence_ms;
        let probing = match &progress.state {
            ProgressState::Snapshot(_) => return false,
            ProgressState::Probe { sent_ms } => {
                let waiting = sent_ms.is_some_and(|at| now_ms < at + heartbeat_ms);
                if waiting || silent {
                    return false;
                }
                true
            }
            ProgressState::Replicate => {
                if progress.inflight.len() >= max_inflight {
                    return false;
                }
                if silent {
                    let next_index = progress.match_index + 1;
                    progress.probe_from(next_index);
                    return false;
                }
                false
            }
        };
        let next_index = progress.next_index;
        if next_index <= base_index {
            progress.start_snapshot(now_ms);
            let request = SnapshotRequest { to, offset: 0 };
            self.output.snapshot_requests.push(request);
            return false;
        }
        let entries = self.log.slice(next_index, self.config.max_append_bytes);
        if entries.is_empty() && !probing {
            return false;
        }
        self.note_append(to, probing, entries.last().map(|entry| entry.index));
        self.send_entries(to, next_index, entries);
        !probing
    }

    fn note_append(&mut self, to: ReplicaId, probing: bool, last_index: Option<u64>) {
        let now_ms = self.now_ms;
        let Some(progress) = self.progress(to) else {
            return;
        };
        if probing {
            progress.state = ProgressState::Probe {
                sent_ms: Some(now_ms),
            };
            return;
        }
        if let Some(last_index) = last_index {
            if progress.inflight.is_empty() {
                progress.last_advance_ms = now_ms;
            }
            progress.next_index = last_index + 1;
            progress.inflight.push_back(last_index);
        }
    }

    fn send_entries(&mut self, to: ReplicaId, next_index: u64, entries: Vec<Entry>) {
        let previous_index = next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            debug_assert!(false, "no term for index {previous_index}");
            return;
        };
        let request = AppendRequest {
            term: self.term(),
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
        };
        self.send_now(to, Message::AppendRequest(request));
    }

    /// Tells a follower a commit index that no append has carried to it.
    fn send_commit_notice(&mut self, to: ReplicaId) {
        let term = self.term();
        let commit = self.commit;
        let Some(progress) = self.progress(to) else {
            return;
        };
        let commit = commit.min(progress.match_index);
        if commit > progress.told_commit {
            progress.told_commit = commit;
            self.send_now(to, Message::CommitNotice(CommitNotice { term, commit }));
        }
    }

    pub(crate) fn on_append_response(&mut self, from: ReplicaId, response: AppendResponse) {
        if response.term > self.term() {
            self.become_follower(response.term, None);
            return;
        }
        if response.term < self.term() || !self.note_contact(from) {
            return;
        }
        let now_ms = self.now_ms;
        let Some(progress) = self.progress(from) else {
            return;
        };
        match response.outcome {
            AppendOutcome::Accepted { match_index } => {
                progress.accepted(match_index, now_ms);
                self.advance_commit();
                self.continue_transfer();
            }
            AppendOutcome::Rejected {
                previous_index,
                hint_index,
            } => progress.rejected(previous_index, hint_index),
        }
    }

    /// Sends unacknowledged entries again if nothing has moved for a while: a
    /// lost append is otherwise noticed only when a later one is rejected.
    pub(crate) fn resend_if_stalled(&mut self, peer: ReplicaId) {
        let now_ms = self.now_ms;
        let stall_ms = STALL_HEARTBEATS * self.config.heartbeat_ms;
        let Some(progress) = self.progress(peer) else {
            return;
        };
        let waiting = matches!(progress.state, ProgressState::Replicate)
            && !progress.inflight.is_empty()
            && now_ms >= progress.last_advance_ms + stall_ms;
        if waiting {
            let next_index = progress.match_index + 1;
            progress.probe_from(next_index);
        }
    }

    /// Commits what a majority holds durably.
    pub(crate) fn advance_commit(&mut self) {
        let own = self.id();
        let durable_index = self.durability.durable_index();
        let Some(leading) = &self.leading else {
            return;
        };
        let progress = &leading.progress;
        let reached = self.membership().quorum_value(|voter| {
            if voter == own {
                return durable_index;
            }
            progress.get(&voter).map_or(0, |peer| peer.match_index)
        });
        if reached <= self.commit || !self.may_commit_by_count(reached) {
            return;
        }
        self.release_committed_bytes(reached);
        self.commit = reached;
        self.continue_transfer();
        self.step_down_if_removed();
    }

    /// An entry of an older term must not be committed by counting replicas:
    /// a later leader may still replace it. It commits along with the first
    /// entry of this leader's own term.
    fn may_commit_by_count(&self, index: u64) -> bool {
        self.log.term_at(index) == Some(self.term())
            || self.has_defect(Defect::CommitOlderTermByCount)
    }

    fn release_committed_bytes(&mut self, reached: u64) {
        let newly = (self.commit + 1)..=reached;
        let bytes: usize = newly
            .filter_map(|index| self.log.entry(index))
            .map(Entry::size)
            .sum();
        if let Some(leading) = &mut self.leading {
            leading.uncommitted_bytes = leading.uncommitted_bytes.saturating_sub(bytes);
        }
    }
}
