//! Taking, keeping and handing over leadership.

use std::collections::BTreeMap;

use crate::progress::Progress;
use crate::read_index::ReadQueue;
use crate::{
    DropReason, EntryKind, Heartbeat, HeartbeatResponse, Message, Payload, PeerStatus, Replica,
    ReplicaId, Role, TimeoutNow,
};

/// A leadership transfer that was asked for.
pub(crate) struct Transfer {
    to: ReplicaId,
    deadline_ms: u64,
    told: bool,
}

/// State that only a leader has.
pub(crate) struct Leading {
    /// Followers by identifier.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this leader's term.
    pub(crate) first_index: u64,
    pub(crate) next_heartbeat_ms: u64,
    /// When the leader next checks that a majority still answers.
    next_quorum_check_ms: u64,
    /// How long a majority may have been silent at that check, in milliseconds.
    quorum_silence_ms: u64,
    /// Tokens of local proposals by the index of their entry.
    pub(crate) proposals: BTreeMap<u64, u64>,
    pub(crate) uncommitted_bytes: usize,
    pub(crate) reads: ReadQueue,
    pub(crate) transfer: Option<Transfer>,
}

impl Leading {
    /// Postpones deadlines after a pause of the process. A paused leader sends no heartbeats, so
    /// its followers get time to answer the next ones. Without an answer of a majority for the
    /// longest election timeout, pauses included, the leader steps down at once: the followers
    /// may have elected another one.
    pub(crate) fn postpone(&mut self, ms: u64, now_ms: u64, longest_silence_ms: u64) {
        self.next_quorum_check_ms = now_ms;
        self.quorum_silence_ms = longest_silence_ms;
        if let Some(transfer) = &mut self.transfer {
            transfer.deadline_ms += ms;
        }
    }
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.election.heard_any_leader = true;
        self.leader = Some(self.id());
        self.incoming_snapshot = None;
        self.leading = Some(Leading {
            progress: BTreeMap::new(),
            first_index: self.log.last_index() + 1,
            next_heartbeat_ms: self.now_ms,
            next_quorum_check_ms: self.now_ms + self.config.election_min_ms,
            quorum_silence_ms: self.config.election_min_ms,
            proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
            reads: ReadQueue::default(),
            transfer: None,
        });
        self.sync_progress_with_membership();
        self.append_as_leader(EntryKind::Empty);
        self.tick_leader();
    }

    /// Gives up whatever only a leader can finish.
    pub(crate) fn stop_leading(&mut self) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        self.keep_undecided(leading.proposals);
        self.refuse_reads(leading.reads);
    }

    pub(crate) fn tick_leader(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        if self.now_ms >= leading.next_quorum_check_ms && !self.keeps_quorum() {
            self.become_follower(self.term(), None);
            return;
        }
        let expired = self.expire_transfer();
        if self.draining {
            self.offer_leadership(expired);
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        if self.now_ms >= leading.next_heartbeat_ms {
            leading.next_heartbeat_ms = self.now_ms + self.config.heartbeat_ms;
            self.start_heartbeat_round();
            self.retry_stalled_snapshots();
        }
    }

    /// Whether a majority answered lately. A leader that is cut off steps
    /// down, so that its callers learn it soon.
    fn keeps_quorum(&mut self) -> bool {
        let now_ms = self.now_ms;
        let usual_silence_ms = self.config.election_min_ms;
        let own = self.config.id;
        let Some(leading) = &mut self.leading else {
            return false;
        };
        leading.next_quorum_check_ms = now_ms + usual_silence_ms / 2;
        let silence_ms = std::mem::replace(&mut leading.quorum_silence_ms, usual_silence_ms);
        let progress = &leading.progress;
        self.log.membership().has_quorum(|voter| {
            voter == own
                || progress
                    .get(&voter)
                    .is_some_and(|peer| now_ms < peer.last_contact_ms + silence_ms)
        })
    }

    /// Whether, as leader, it has committed an entry of its own term. Only
    /// then does its commit index cover everything committed before.
    pub(crate) fn is_settled(&self) -> bool {
        self.leading
            .as_ref()
            .is_some_and(|leading| self.commit >= leading.first_index)
    }

    pub(crate) fn propose(&mut self, token: u64, data: Payload) {
        let Some(leading) = &self.leading else {
            let leader = self.leader;
            self.drop_request(token, DropReason::NotLeader { leader });
            return;
        };
        let full = leading.uncommitted_bytes >= self.config.max_uncommitted_bytes;
        if full || self.draining || leading.transfer.is_some() {
            self.drop_request(token, DropReason::Busy);
            return;
        }
        self.append_proposal(token, EntryKind::Command(data));
    }

    pub(crate) fn append_proposal(&mut self, token: u64, kind: EntryKind) {
        let index = self.append_as_leader(kind);
        if let Some(leading) = &mut self.leading {
            leading.proposals.insert(index, token);
        }
    }

    /// Sends a heartbeat to every follower and confirms waiting reads with it.
    pub(crate) fn start_heartbeat_round(&mut self) {
        let term = self.term();
        let commit = self.commit;
        let settled = self.is_settled();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let round = leading.reads.start_round(settled, commit);
        let mut heartbeats = Vec::new();
        for (to, progress) in &mut leading.progress {
            let commit = commit.min(progress.match_index);
            progress.told_commit = progress.told_commit.max(commit);
            let heartbeat = Heartbeat {
                term,
                commit,
                round,
            };
            heartbeats.push((*to, heartbeat));
        }
        for (to, heartbeat) in heartbeats {
            self.send_now(to, Message::Heartbeat(heartbeat));
        }
        self.finish_confirmed_reads();
    }

    pub(crate) fn on_heartbeat_response(&mut self, from: ReplicaId, response: HeartbeatResponse) {
        if response.term > self.term() {
            self.become_follower(response.term, None);
            return;
        }
        if response.term < self.term() || !self.note_contact(from) {
            return;
        }
        if let Some(progress) = self.progress(from) {
            progress.answered_round = progress.answered_round.max(response.round);
        }
        self.resend_if_stalled(from);
        self.finish_confirmed_reads();
    }

    pub(crate) fn progress(&mut self, peer: ReplicaId) -> Option<&mut Progress> {
        self.leading.as_mut()?.progress.get_mut(&peer)
    }

    /// Notes that a follower answered in this term; false if it is none.
    pub(crate) fn note_contact(&mut self, from: ReplicaId) -> bool {
        let now_ms = self.now_ms;
        match self.progress(from) {
            Some(progress) => {
                progress.last_contact_ms = now_ms;
                true
            }
            None => false,
        }
    }

    pub(crate) fn peer_status(&self) -> Vec<PeerStatus> {
        let Some(leading) = &self.leading else {
            return Vec::new();
        };
        let status = |(id, progress): (&ReplicaId, &Progress)| PeerStatus {
            id: *id,
            match_index: progress.match_index,
            silent_ms: self.now_ms.saturating_sub(progress.last_contact_ms),
        };
        leading.progress.iter().map(status).collect()
    }

    pub(crate) fn transfer_leadership(&mut self, to: Option<ReplicaId>) {
        if let Some(to) = to.or_else(|| self.best_successor(None)) {
            self.start_transfer(to, self.config.election_max_ms);
        }
    }

    /// Takes no more proposals and leads no longer than until another voter does.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
        self.offer_leadership(None);
    }

    /// Starts a transfer unless one is going on. A voter that answers needs less than the
    /// shortest election timeout to campaign; one that doesn't may stand still or may not
    /// have been reached.
    fn offer_leadership(&mut self, last: Option<ReplicaId>) {
        let transferring = |leading: &Leading| leading.transfer.is_some();
        if self.leading.as_ref().is_none_or(transferring) {
            return;
        }
        if let Some(to) = self.best_successor(last) {
            self.start_transfer(to, self.config.election_min_ms);
        }
    }

    fn start_transfer(&mut self, to: ReplicaId, limit_ms: u64) {
        let deadline_ms = self.now_ms + limit_ms;
        let eligible = self.membership().is_voter(to) && to != self.id();
        if let (true, Some(leading)) = (eligible, &mut self.leading) {
            leading.transfer = Some(Transfer {
                to,
                deadline_ms,
                told: false,
            });
            self.continue_transfer();
        }
    }

    /// The voter with the longest log of those that answer; one other than `last` if there is.
    fn best_successor(&self, last: Option<ReplicaId>) -> Option<ReplicaId> {
        let now_ms = self.now_ms;
        let window_ms = self.config.election_min_ms;
        let leading = self.leading.as_ref()?;
        let voters = leading
            .progress
            .iter()
            .filter(|(id, _)| self.membership().is_voter(**id));
        voters
            .filter(|(_, progress)| now_ms < progress.last_contact_ms + window_ms)
            .max_by_key(|(id, progress)| (Some(**id) != last, progress.match_index))
            .map(|(id, _)| *id)
    }

    /// Tells the successor to campaign once it has the whole, committed log.
    pub(crate) fn continue_transfer(&mut self) {
        let term = self.term();
        let last_index = self.log.last_index();
        // Proposals in flight are finished first, so that none is cut.
        let drained = self.commit == last_index;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(transfer) = &mut leading.transfer else {
            return;
        };
        let to = transfer.to;
        let caught_up = leading
            .progress
            .get(&to)
            .is_some_and(|progress| progress.match_index == last_index);
        if drained && caught_up && !transfer.told {
            transfer.told = true;
            self.send_now(to, Message::TimeoutNow(TimeoutNow { term }));
        }
    }

    /// Gives a transfer up that took too long; returns to whom it was.
    fn expire_transfer(&mut self) -> Option<ReplicaId> {
        let now_ms = self.now_ms;
        let expired = self
            .leading
            .as_mut()?
            .transfer
            .take_if(|transfer| now_ms >= transfer.deadline_ms);
        expired.map(|transfer| transfer.to)
    }
}
