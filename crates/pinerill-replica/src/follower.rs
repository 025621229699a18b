//! The follower's side of log replication.

use crate::defects::Defect;
use crate::{
    AppendOutcome, AppendRequest, AppendResponse, CommitNotice, Entry, Heartbeat,
    HeartbeatResponse, Message, Replica, ReplicaId, Role,
};

impl Replica {
    /// Accepts the sender as leader if its term is not stale.
    pub(crate) fn follow(&mut self, leader: ReplicaId, term: u64) -> bool {
        if term < self.term() {
            return false;
        }
        let changed =
            term > self.term() || self.role != Role::Follower || self.leader != Some(leader);
        if changed {
            self.become_follower(term, Some(leader));
        }
        self.note_leader_contact();
        true
    }

    pub(crate) fn on_heartbeat(&mut self, from: ReplicaId, heartbeat: Heartbeat) {
        if self.follow(from, heartbeat.term) {
            self.commit_up_to(heartbeat.commit);
        }
        // A response of a higher term makes a stale leader step down.
        let response = HeartbeatResponse {
            term: self.term(),
            round: heartbeat.round,
        };
        self.send_after_hard_state(from, Message::HeartbeatResponse(response));
    }

    pub(crate) fn on_commit_notice(&mut self, from: ReplicaId, notice: CommitNotice) {
        if self.follow(from, notice.term) {
            self.commit_up_to(notice.commit);
        }
    }

    pub(crate) fn on_append_request(&mut self, from: ReplicaId, request: AppendRequest) {
        if !self.follow(from, request.term) {
            self.reject_append(from, &request);
            return;
        }
        if request.previous_index < self.commit {
            // Everything up to the commit index equals the leader's log.
            let match_index = self.commit;
            self.accept_append(from, match_index);
            return;
        }
        let previous_term = self.log.term_at(request.previous_index);
        if previous_term != Some(request.previous_term) {
            self.reject_append(from, &request);
            return;
        }
        let match_index = request.previous_index + request.entries.len() as u64;
        let commit = request.commit.min(match_index);
        self.store_entries(request.entries);
        self.commit_up_to(commit);
        self.accept_append(from, match_index);
    }

    /// Appends what the log lacks. Entries are removed only from the first
    /// one that contradicts the leader: an old, reordered append must not
    /// shorten the log.
    fn store_entries(&mut self, entries: Vec<Entry>) {
        let new = entries
            .iter()
            .position(|entry| self.log.term_at(entry.index) != Some(entry.term));
        let Some(start) = new else {
            return;
        };
        let fresh = &entries[start..];
        let first_index = fresh[0].index;
        if first_index <= self.commit {
            debug_assert!(false, "committed entry {first_index} contradicted");
            return;
        }
        self.log.truncate_from(first_index);
        self.durability.append(fresh);
        for entry in fresh {
            self.log.push(entry.clone());
        }
    }

    /// Acknowledges once everything so far is durable, also for entries that
    /// an earlier append brought and that are still on their way to the disk.
    pub(crate) fn accept_append(&mut self, to: ReplicaId, match_index: u64) {
        let response = Message::AppendResponse(AppendResponse {
            term: self.term(),
            outcome: AppendOutcome::Accepted { match_index },
        });
        if self.has_defect(Defect::AcknowledgeBeforeSync) {
            self.send_now(to, response);
        } else {
            self.send_after_all(to, response);
        }
    }

    fn reject_append(&mut self, to: ReplicaId, request: &AppendRequest) {
        let hint_index = self
            .log
            .before_term_run(request.previous_index, self.commit)
            .min(request.previous_index.saturating_sub(1));
        let response = AppendResponse {
            term: self.term(),
            outcome: AppendOutcome::Rejected {
                previous_index: request.previous_index,
                hint_index,
            },
        };
        self.send_after_hard_state(to, Message::AppendResponse(response));
    }

    pub(crate) fn commit_up_to(&mut self, index: u64) {
        let known = index.min(self.log.last_index());
        self.commit = self.commit.max(known);
    }
}
