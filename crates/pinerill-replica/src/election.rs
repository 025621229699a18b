//! Elections: timeouts, pre-votes and votes.

use std::collections::BTreeSet;

use crate::defects::Defect;
use crate::{
    Message, PreVoteRequest, PreVoteResponse, Replica, ReplicaId, Role, TimeoutNow, VoteRequest,
    VoteResponse,
};

/// Parts of the shortest election timeout that bound the timeout of a replica which heard
/// no leader since its start. With 300 ms, nine replicas that start together ask between
/// 50 and 150 ms later; their connections take some 10 ms, a vote a few.
const STARTING_PARTS: (u64, u64) = (6, 2);

/// State of a replica that does not lead.
#[derive(Default)]
pub(crate) struct Election {
    /// When the next election starts unless a leader is heard.
    pub(crate) deadline_ms: u64,
    armed: bool,
    /// Counts timeouts, to vary the next one.
    attempts: u64,
    /// When a leader of the current term was last heard.
    last_leader_contact_ms: Option<u64>,
    /// Whether any leader was heard since this start.
    pub(crate) heard_any_leader: bool,
    /// Replicas that granted the running election.
    granted: BTreeSet<ReplicaId>,
    /// Whether the running election was asked for by the leader.
    transfer: bool,
}

impl Election {
    pub(crate) fn is_armed(&self) -> bool {
        self.armed
    }

    /// Lets the next election start later.
    pub(crate) fn postpone(&mut self, ms: u64) {
        self.deadline_ms += ms;
    }
}

/// One round of the splitmix64 generator.
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Replica {
    pub(crate) fn reset_election_deadline(&mut self) {
        self.election.attempts += 1;
        self.election.armed = true;
        let (shortest_ms, longest_ms) = self.election_timeouts_ms();
        let span = longest_ms - shortest_ms + 1;
        let jitter = mix(self.config.seed ^ mix(self.election.attempts)) % span;
        self.election.deadline_ms = self.now_ms + shortest_ms + jitter;
    }

    /// Bounds of the next election timeout. A replica that heard no leader since its start
    /// asks for votes early and often, since all may have started together. This deposes
    /// nobody: a pre-vote changes nothing, and who hears a leader refuses it.
    fn election_timeouts_ms(&self) -> (u64, u64) {
        let (shortest_ms, longest_ms) = (self.config.election_min_ms, self.config.election_max_ms);
        if self.election.heard_any_leader || self.role == Role::Candidate {
            return (shortest_ms, longest_ms);
        }
        (
            shortest_ms / STARTING_PARTS.0,
            shortest_ms / STARTING_PARTS.1,
        )
    }

    pub(crate) fn note_leader_contact(&mut self) {
        self.election.heard_any_leader = true;
        self.election.last_leader_contact_ms = Some(self.now_ms);
        self.reset_election_deadline();
    }

    pub(crate) fn tick_election(&mut self) {
        if self.now_ms < self.election.deadline_ms {
            return;
        }
        self.reset_election_deadline();
        // Also one that does not vote, such as a removed learner, no longer names
        // a leader that it hears nothing of.
        self.leader = None;
        if self.membership().is_voter(self.id()) {
            self.start_pre_vote();
        }
    }

    /// Whether a leader was heard so recently that no election is needed. A
    /// removed or cut-off replica thereby can't depose a working leader.
    fn hears_leader(&self) -> bool {
        if self.leading.is_some() {
            return true;
        }
        self.election
            .last_leader_contact_ms
            .is_some_and(|at| self.now_ms < at + self.config.election_min_ms)
    }

    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.election.granted = [self.id()].into();
        if self.election_is_won() {
            self.start_election(false);
            return;
        }
        let request = PreVoteRequest {
            term: self.term() + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            self.send_now(voter, Message::PreVoteRequest(request.clone()));
        }
    }

    /// Campaigns in a new term. The requests and the vote for itself wait
    /// until that vote is durable: after a crash the replica could otherwise
    /// vote for another candidate in the same term.
    fn start_election(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.id());
        self.durability.set_hard_state(self.hard_state);
        self.election.granted.clear();
        self.election.transfer = transfer;
        self.reset_election_deadline();
        let own_vote = VoteResponse {
            term: self.term(),
            granted: true,
        };
        self.send_vote(self.id(), Message::VoteResponse(own_vote));
        let request = VoteRequest {
            term: self.term(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for voter in self.other_voters() {
            self.send_vote(voter, Message::VoteRequest(request.clone()));
        }
    }

    fn send_vote(&mut self, to: ReplicaId, message: Message) {
        let early = self.has_defect(Defect::VoteBeforeSync) && to != self.id();
        if early {
            self.send_now(to, message);
        } else {
            self.send_after_all(to, message);
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.id();
        let voters = self.membership().voters.iter().copied();
        voters.filter(|voter| *voter != own).collect()
    }

    fn election_is_won(&self) -> bool {
        let granted = &self.election.granted;
        self.membership()
            .has_quorum(|voter| granted.contains(&voter))
    }

    pub(crate) fn on_pre_vote_request(&mut self, from: ReplicaId, request: PreVoteRequest) {
        let granted = request.term > self.term()
            && !self.hears_leader()
            && self
                .log
                .is_covered_by(request.last_index, request.last_term);
        let response = PreVoteResponse {
            term: self.term(),
            requested_term: request.term,
            granted,
        };
        self.send_after_hard_state(from, Message::PreVoteResponse(response));
    }

    pub(crate) fn on_pre_vote_response(&mut self, from: ReplicaId, response: PreVoteResponse) {
        if response.term > self.term() {
            self.become_follower(response.term, None);
            return;
        }
        let answers_this = self.role == Role::PreCandidate
            && response.granted
            && response.requested_term == self.term() + 1;
        if !answers_this {
            return;
        }
        self.election.granted.insert(from);
        if self.election_is_won() {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: ReplicaId, request: VoteRequest) {
        if request.term > self.term() {
            if self.hears_leader() && !request.transfer {
                return;
            }
            self.become_follower(request.term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = request.term == self.term()
            && free
            && self
                .log
                .is_covered_by(request.last_index, request.last_term);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.durability.set_hard_state(self.hard_state);
            self.role = Role::Follower;
            self.reset_election_deadline();
        }
        let response = VoteResponse {
            term: self.term(),
            granted,
        };
        self.send_vote(from, Message::VoteResponse(response));
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, response: VoteResponse) {
        if response.term > self.term() {
            self.become_follower(response.term, None);
            return;
        }
        let answers_this =
            self.role == Role::Candidate && response.granted && response.term == self.term();
        if !answers_this {
            return;
        }
        self.election.granted.insert(from);
        if self.election_is_won() {
            self.become_leader();
        }
    }

    pub(crate) fn on_timeout_now(&mut self, request: TimeoutNow) {
        let applies = request.term == self.term()
            && self.role != Role::Leader
            && !self.draining
            && self.membership().is_voter(self.id());
        if applies {
            self.start_election(true);
        }
    }

    /// Follows `leader` in `term`, which is at least the current one.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term() {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.durability.set_hard_state(self.hard_state);
            self.election.last_leader_contact_ms = None;
            self.incoming_snapshot = None;
        }
        if self.role != Role::Follower {
            self.role = Role::Follower;
            self.reset_election_deadline();
        }
        self.leader = leader;
        self.stop_leading();
    }
}
