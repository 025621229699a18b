//! The replica: its state, the dispatch of inputs and the output.

use crate::defects::Defect;
use crate::durability::Durability;
use crate::election::Election;
use crate::leader::Leading;
use crate::log::Log;
use crate::read_index::ForwardedReads;
use crate::snapshot::IncomingSnapshot;
use crate::undecided::Undecided;
use crate::{
    Committed, DropReason, Dropped, Envelope, HardState, Input, Membership, Message, Output,
    ReplicaConfig, ReplicaId, RestoredState, RoleChange, SnapshotMeta,
};

/// What a replica does in its group at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// A follower as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The follower.
    pub id: ReplicaId,
    /// Last index known to be durable there.
    pub match_index: u64,
    /// Milliseconds since its last answer.
    pub silent_ms: u64,
}

/// A view of the replica for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// Highest committed index it knows.
    pub commit: u64,
    /// Highest index it has handed out to be applied.
    pub applied: u64,
    /// Last index of its log.
    pub last_index: u64,
    /// Whether, as leader, it has committed an entry of its own term.
    pub settled: bool,
    /// Membership in force.
    pub membership: Membership,
    /// Index of the entry that brought that membership.
    pub membership_index: u64,
    /// Followers, if it leads.
    pub peers: Vec<PeerStatus>,
    /// Whether it is about to stop and takes no proposals.
    pub draining: bool,
    /// Proposals from when it led whose fate it doesn't know yet.
    pub undecided: usize,
}

/// One replica of a group.
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) now_ms: u64,
    pub(crate) hard_state: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    /// Highest index handed out in [`Output::committed`].
    pub(crate) applied: u64,
    pub(crate) durability: Durability,
    pub(crate) election: Election,
    pub(crate) leading: Option<Leading>,
    /// Proposals from when it led.
    pub(crate) undecided: Undecided,
    pub(crate) forwarded_reads: ForwardedReads,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Whether it is about to stop: it takes no proposals and keeps no leadership.
    pub(crate) draining: bool,
    pub(crate) output: Output,
    reported: RoleChange,
}

impl Replica {
    /// Starts a replica from what its store holds.
    pub fn new(config: ReplicaConfig, restored: RestoredState) -> Self {
        let log = Log::new(&restored.snapshot, restored.entries);
        let reported = RoleChange {
            role: Role::Follower,
            term: restored.hard_state.term,
            leader: None,
        };
        Replica {
            now_ms: 0,
            hard_state: restored.hard_state,
            role: Role::Follower,
            leader: None,
            commit: restored.snapshot.index,
            applied: restored.snapshot.index,
            durability: Durability::new(log.last_index()),
            log,
            election: Election::default(),
            leading: None,
            undecided: Undecided::default(),
            forwarded_reads: ForwardedReads::new(config.seed),
            incoming_snapshot: None,
            draining: false,
            output: Output::default(),
            reported,
            config,
        }
    }

    /// Handles one input at the given time, in milliseconds of any steady
    /// clock. Its effects are collected until [`Replica::take_output`].
    pub fn step(&mut self, now_ms: u64, input: Input) {
        self.advance_clock(now_ms);
        match input {
            Input::Tick => self.tick(),
            Input::Message(envelope) => self.receive(envelope),
            Input::Propose { token, data } => self.propose(token, data),
            Input::ReadIndex { token } => self.read_index(token),
            Input::ChangeMembership { token, change } => self.change_membership(token, change),
            Input::Persisted { sequence } => self.persisted(sequence),
            Input::SnapshotSaved { meta } => self.snapshot_saved(meta),
            Input::SnapshotChunkRead {
                to,
                meta,
                offset,
                bytes,
                done,
            } => self.snapshot_chunk_read(to, meta, offset, bytes, done),
            Input::TransferLeadership { to } => self.transfer_leadership(to),
            Input::ProcessPaused { ms } => self.process_paused(ms),
            Input::Drain => self.drain(),
        }
    }

    /// Hands out everything collected since the last call. Proposals, reads
    /// and entries of several steps share appends, heartbeat rounds and
    /// writes, so a caller with many inputs steps them all first.
    pub fn take_output(&mut self) -> Output {
        self.flush_forwarded_reads();
        self.start_read_round_if_due();
        self.flush_appends();
        self.collect_committed();
        let mut output = std::mem::take(&mut self.output);
        output.persist = self.durability.take_persist();
        output.role = self.take_role_change();
        output
    }

    /// When the next [`Input::Tick`] is due, in milliseconds.
    pub fn next_deadline_ms(&self) -> u64 {
        let own = match &self.leading {
            Some(leading) => leading.next_heartbeat_ms,
            None => self.election.deadline_ms,
        };
        own.min(self.forwarded_reads.deadline_ms())
            .min(self.undecided.deadline_ms())
    }

    /// A view of the replica for operators and tests.
    pub fn status(&self) -> Status {
        Status {
            id: self.config.id,
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            last_index: self.log.last_index(),
            settled: self.is_settled(),
            membership: self.membership().clone(),
            membership_index: self.log.membership_index(),
            peers: self.peer_status(),
            draining: self.draining,
            undecided: self.undecided.len(),
        }
    }

    /// Term of the log's entry at `index`; none if it is compacted away or
    /// not there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// What a snapshot taken at `index` covers; `index` must be applied and
    /// not compacted away.
    pub fn snapshot_meta(&self, index: u64) -> Option<SnapshotMeta> {
        if index > self.applied {
            return None;
        }
        let term = self.log.term_at(index)?;
        Some(SnapshotMeta {
            index,
            term,
            membership: self.log.membership_at(index).clone(),
        })
    }

    pub(crate) fn id(&self) -> ReplicaId {
        self.config.id
    }

    pub(crate) fn term(&self) -> u64 {
        self.hard_state.term
    }

    pub(crate) fn membership(&self) -> &Membership {
        self.log.membership()
    }

    pub(crate) fn has_defect(&self, defect: Defect) -> bool {
        self.config.defects.contains(defect)
    }

    pub(crate) fn drop_request(&mut self, token: u64, reason: DropReason) {
        self.output.dropped.push(Dropped { token, reason });
    }

    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if !self.election.is_armed() {
            self.reset_election_deadline();
        }
    }

    fn tick(&mut self) {
        self.expire_forwarded_reads();
        self.expire_undecided();
        if self.leading.is_some() {
            self.tick_leader();
        } else {
            self.tick_election();
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let addressed = envelope.to == self.id() && envelope.group == self.config.group;
        if addressed {
            self.handle(envelope.from, envelope.message);
        }
    }

    fn handle(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::PreVoteRequest(request) => self.on_pre_vote_request(from, request),
            Message::PreVoteResponse(response) => self.on_pre_vote_response(from, response),
            Message::VoteRequest(request) => self.on_vote_request(from, request),
            Message::VoteResponse(response) => self.on_vote_response(from, response),
            Message::AppendRequest(request) => self.on_append_request(from, request),
            Message::AppendResponse(response) => self.on_append_response(from, response),
            Message::CommitNotice(notice) => self.on_commit_notice(from, notice),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            Message::HeartbeatResponse(response) => self.on_heartbeat_response(from, response),
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            Message::SnapshotChunkResponse(response) => self.on_chunk_response(from, response),
            Message::ReadIndexRequest(request) => self.on_read_index_request(from, request),
            Message::ReadIndexResponse(response) => self.on_read_index_response(response),
            Message::TimeoutNow(request) => self.on_timeout_now(request),
        }
    }

    fn persisted(&mut self, sequence: u64) {
        for envelope in self.durability.persisted(sequence) {
            self.release(envelope);
        }
        self.advance_commit();
    }

    /// Sends a message whose write is durable. A candidate's vote for itself
    /// is such a message too, so that it counts only once it is durable.
    fn release(&mut self, envelope: Envelope) {
        if envelope.to == self.id() {
            self.handle(envelope.from, envelope.message);
        } else {
            self.output.messages.push(envelope);
        }
    }

    fn envelope(&self, to: ReplicaId, message: Message) -> Envelope {
        Envelope {
            group: self.config.group,
            from: self.id(),
            to,
            message,
        }
    }

    /// Sends a message that rests on nothing still to be made durable.
    pub(crate) fn send_now(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, message);
        self.output.messages.push(envelope);
    }

    /// Sends a message once every change made so far is durable.
    pub(crate) fn send_after_all(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, message);
        if let Some(ready) = self.durability.after_all(envelope) {
            self.release(ready);
        }
    }

    /// Sends a message once term and vote are durable.
    pub(crate) fn send_after_hard_state(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, message);
        if let Some(ready) = self.durability.after_hard_state(envelope) {
            self.release(ready);
        }
    }

    /// Moves entries that have become committed to the output.
    pub(crate) fn collect_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.entry(index).cloned() else {
                debug_assert!(false, "committed entry {index} is not in the log");
                break;
            };
            let led_before = self.take_decided(index, entry.term);
            let token = self
                .leading
                .as_mut()
                .and_then(|leading| leading.proposals.remove(&index))
                .or(led_before);
            self.output.committed.push(Committed { entry, token });
            self.applied = index;
        }
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let current = RoleChange {
            role: self.role,
            term: self.term(),
            leader: self.leader,
        };
        if current == self.reported {
            return None;
        }
        self.reported = current;
        Some(current)
    }
}
