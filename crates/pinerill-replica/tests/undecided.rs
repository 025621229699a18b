//! What becomes of the proposals of a leader that steps down.

mod support;

use pinerill_replica::{
    AppendRequest, Committed, DropReason, Dropped, Entry, EntryKind, Envelope, Input, Message,
    Replica, ReplicaId, RestoredState, Role, SnapshotChunk, SnapshotMeta, TimeoutNow, VoteResponse,
};
use support::{config, id, GROUP};

const TOKEN: u64 = 7;
const SECOND_TOKEN: u64 = 8;
/// The leader's first entry lies before its first proposal.
const BEFORE: u64 = SnapshotMeta::BOOTSTRAP_INDEX + 1;
const PROPOSED: u64 = BEFORE + 1;

/// The first of three voters; the others are played by the test.
struct Alone {
    now_ms: u64,
    replica: Replica,
    committed: Vec<Committed>,
    dropped: Vec<Dropped>,
}

impl Alone {
    /// A leader with a proposal that nobody has acknowledged.
    fn leader_with_a_proposal() -> Self {
        let restored = RestoredState {
            snapshot: SnapshotMeta::bootstrap([id(1), id(2), id(3)]),
            ..RestoredState::default()
        };
        let mut alone = Alone {
            now_ms: 0,
            replica: Replica::new(config(id(1)), restored),
            committed: Vec::new(),
            dropped: Vec::new(),
        };
        alone.win_an_election();
        alone.propose(TOKEN);
        assert_eq!(alone.replica.status().last_index, PROPOSED);
        alone
    }

    fn win_an_election(&mut self) {
        let term = self.term();
        self.hear(2, Message::TimeoutNow(TimeoutNow { term }));
        let vote = VoteResponse {
            term: term + 1,
            granted: true,
        };
        self.hear(2, Message::VoteResponse(vote));
        assert_eq!(self.replica.status().role, Role::Leader);
    }

    fn term(&self) -> u64 {
        self.replica.status().term
    }

    fn propose(&mut self, token: u64) {
        let data = token.to_be_bytes().to_vec().into();
        self.step(Input::Propose { token, data });
    }

    fn step(&mut self, input: Input) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            self.replica.step(self.now_ms, input);
            let output = self.replica.take_output();
            self.committed.extend(output.committed);
            self.dropped.extend(output.dropped);
            next = output.persist.map(|persist| Input::Persisted {
                sequence: persist.sequence,
            });
        }
    }

    fn hear(&mut self, from: u64, message: Message) {
        self.step(Input::Message(Envelope {
            group: GROUP,
            from: id(from),
            to: id(1),
            message,
        }));
    }

    /// Entries behind the leader's first one, from another leader.
    fn append(&mut self, from: u64, term: u64, entries: Vec<Entry>, commit: u64) {
        let previous_term = self.replica.term_at(BEFORE).expect("there");
        let request = AppendRequest {
            term,
            previous_index: BEFORE,
            previous_term,
            entries,
            commit,
        };
        self.hear(from, Message::AppendRequest(request));
    }

    fn step_down_by_silence(&mut self) {
        while self.replica.status().role == Role::Leader {
            self.tick(10);
        }
        assert_eq!(self.replica.status().undecided, 1);
        assert!(self.dropped.is_empty());
    }

    fn tick(&mut self, ms: u64) {
        self.now_ms += ms;
        self.step(Input::Tick);
    }

    fn pause(&mut self, ms: u64) {
        self.now_ms += ms;
        self.step(Input::ProcessPaused { ms });
        self.step(Input::Tick);
    }

    fn committed_tokens(&self) -> Vec<u64> {
        let tokens = self.committed.iter();
        tokens.filter_map(|committed| committed.token).collect()
    }

    fn dropped(&self) -> Vec<(u64, DropReason)> {
        let dropped = self.dropped.iter();
        dropped.map(|one| (one.token, one.reason)).collect()
    }
}

fn entry(index: u64, term: u64, kind: EntryKind) -> Entry {
    Entry { index, term, kind }
}

fn command(token: u64) -> EntryKind {
    EntryKind::Command(token.to_be_bytes().to_vec().into())
}

fn not_leader(leader: u64) -> DropReason {
    let leader = Some(ReplicaId(leader));
    DropReason::NotLeader { leader }
}

#[test]
fn an_entry_that_the_next_leader_commits_answers_its_proposal() {
    let mut alone = Alone::leader_with_a_proposal();
    let term = alone.term();
    alone.step_down_by_silence();
    let next_term = alone.term() + 1;
    let entries = vec![
        entry(PROPOSED, term, command(TOKEN)),
        entry(PROPOSED + 1, next_term, EntryKind::Empty),
    ];
    alone.append(2, next_term, entries, PROPOSED);
    assert_eq!(alone.committed_tokens(), [TOKEN]);
    assert_eq!(alone.dropped(), []);
    assert_eq!(alone.replica.status().undecided, 0);
}

#[test]
fn an_entry_in_whose_place_another_is_committed_was_not_applied() {
    let mut alone = Alone::leader_with_a_proposal();
    let next_term = alone.term() + 1;
    let entries = vec![entry(PROPOSED, next_term, EntryKind::Empty)];
    alone.append(2, next_term, entries, BEFORE);
    assert_eq!(alone.dropped(), [], "replaced in this log only");
    alone.append(2, next_term, Vec::new(), BEFORE);
    let entries = vec![entry(PROPOSED, next_term, EntryKind::Empty)];
    alone.append(2, next_term, entries, PROPOSED);
    assert_eq!(alone.dropped(), [(TOKEN, not_leader(2))]);
    assert_eq!(alone.committed_tokens(), [0; 0]);
    assert_eq!(alone.replica.status().undecided, 0);
}

/// Guards against callers who wait, and hear that the outcome is unknown, because nothing is
/// committed any more at the index of their entry.
#[test]
fn an_entry_behind_one_of_a_later_term_was_not_applied() {
    let mut alone = Alone::leader_with_a_proposal();
    alone.propose(SECOND_TOKEN);
    let next_term = alone.term() + 1;
    let entries = vec![entry(PROPOSED, next_term, EntryKind::Empty)];
    alone.append(2, next_term, entries, BEFORE);
    assert_eq!(alone.dropped(), [], "replaced in this log only");
    let entries = vec![entry(PROPOSED, next_term, EntryKind::Empty)];
    alone.append(2, next_term, entries, PROPOSED);
    let refused = [TOKEN, SECOND_TOKEN].map(|token| (token, not_leader(2)));
    assert_eq!(alone.dropped(), refused);
    assert_eq!(alone.committed_tokens(), [0; 0]);
    assert_eq!(alone.replica.status().undecided, 0);
}

#[test]
fn an_entry_that_was_replaced_here_may_still_be_committed() {
    let mut alone = Alone::leader_with_a_proposal();
    let term = alone.term();
    let entries = vec![entry(PROPOSED, term + 1, EntryKind::Empty)];
    alone.append(2, term + 1, entries, BEFORE);
    assert_eq!(alone.replica.term_at(PROPOSED), Some(term + 1));
    let entries = vec![
        entry(PROPOSED, term, command(TOKEN)),
        entry(PROPOSED + 1, term + 2, EntryKind::Empty),
    ];
    alone.append(3, term + 2, entries, PROPOSED + 1);
    assert_eq!(alone.committed_tokens(), [TOKEN]);
    assert_eq!(alone.dropped(), []);
}

/// The same index was proposed in two terms of this leader.
#[test]
fn a_proposal_of_a_later_term_is_not_taken_for_the_one_before_it() {
    let mut alone = Alone::leader_with_a_proposal();
    let term = alone.term();
    alone.append(2, term + 1, Vec::new(), BEFORE);
    let entries = vec![entry(PROPOSED, term + 1, EntryKind::Empty)];
    alone.append(2, term + 1, entries, BEFORE);
    alone.win_an_election();
    let last_term = alone.term();
    alone.propose(SECOND_TOKEN);
    let second = alone.replica.status().last_index;
    assert_eq!(second, PROPOSED + 2);
    let entries = vec![
        entry(PROPOSED, term, command(TOKEN)),
        entry(PROPOSED + 1, last_term + 1, EntryKind::Empty),
        entry(second, last_term + 1, command(TOKEN)),
    ];
    alone.append(3, last_term + 1, entries, second);
    assert_eq!(alone.committed_tokens(), [TOKEN]);
    assert_eq!(alone.dropped(), [(SECOND_TOKEN, not_leader(3))]);
}

#[test]
fn a_leader_that_leads_again_commits_and_answers_what_it_had_in_flight() {
    let mut alone = Alone::leader_with_a_proposal();
    alone.step_down_by_silence();
    alone.win_an_election();
    let (term, last_index) = (alone.term(), alone.replica.status().last_index);
    let outcome = pinerill_replica::AppendOutcome::Accepted {
        match_index: last_index,
    };
    let response = pinerill_replica::AppendResponse { term, outcome };
    alone.hear(2, Message::AppendResponse(response));
    assert_eq!(alone.committed_tokens(), [TOKEN]);
    assert_eq!(alone.dropped(), []);
}

#[test]
fn a_fate_that_does_not_show_is_unknown_after_two_elections() {
    let mut alone = Alone::leader_with_a_proposal();
    alone.step_down_by_silence();
    let limit_ms = 2 * config(id(1)).election_max_ms;
    alone.tick(limit_ms - 1);
    assert_eq!(alone.dropped(), []);
    assert!(alone.replica.next_deadline_ms() <= alone.now_ms + 1);
    alone.tick(1);
    assert_eq!(alone.dropped(), [(TOKEN, DropReason::Unknown)]);
    assert_eq!(alone.replica.status().undecided, 0);
}

/// Guards against callers who hear that the outcome is unknown because suspended time used up
/// the time in which it could show.
#[test]
fn a_pause_leaves_as_much_time_for_a_fate_to_show() {
    let mut alone = Alone::leader_with_a_proposal();
    alone.step_down_by_silence();
    let limit_ms = 2 * config(id(1)).election_max_ms;
    alone.pause(3 * limit_ms);
    assert_eq!(alone.dropped(), []);
    alone.tick(limit_ms - 1);
    assert_eq!(alone.dropped(), []);
    alone.tick(1);
    assert_eq!(alone.dropped(), [(TOKEN, DropReason::Unknown)]);
}

#[test]
fn a_snapshot_leaves_the_fate_of_what_it_covers_unknown() {
    let mut alone = Alone::leader_with_a_proposal();
    let next_term = alone.term() + 1;
    let meta = SnapshotMeta {
        index: PROPOSED,
        term: next_term,
        ..SnapshotMeta::bootstrap([id(1), id(2), id(3)])
    };
    let chunk = SnapshotChunk {
        term: next_term,
        meta,
        offset: 0,
        bytes: vec![1],
        done: true,
    };
    alone.hear(2, Message::SnapshotChunk(chunk));
    assert_eq!(alone.replica.status().applied, PROPOSED);
    assert_eq!(alone.dropped(), [(TOKEN, DropReason::Unknown)]);
    assert_eq!(alone.committed_tokens(), [0; 0]);
}
