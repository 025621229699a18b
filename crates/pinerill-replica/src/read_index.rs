//! Linearizable reads: an index confirmed by a majority, never by a clock.
//!
//! A leader notes its commit index when a heartbeat round starts; once a
//! majority has answered that round, no newer leader existed when it started,
//! so the index covers every write that finished before. Reads that wait
//! together share a round. A follower forwards one request for all reads that
//! wait there.

use std::collections::{BTreeMap, VecDeque};

use crate::defects::Defect;
use crate::{
    ConfirmedRead, DropReason, Message, ReadIndexRequest, ReadIndexResponse, Replica, ReplicaId,
};

/// Who waits for a read index.
#[derive(Clone, Copy)]
enum Reader {
    Local { token: u64 },
    Remote { from: ReplicaId, request: u64 },
}

/// Reads that share a heartbeat round.
struct Round {
    number: u64,
    index: u64,
    readers: Vec<Reader>,
}

/// Reads at a leader.
#[derive(Default)]
pub(crate) struct ReadQueue {
    last_round: u64,
    waiting: Vec<Reader>,
    rounds: VecDeque<Round>,
}

impl ReadQueue {
    /// Starts a round and, if the leader is settled, binds waiting reads to it.
    pub(crate) fn start_round(&mut self, settled: bool, commit: u64) -> u64 {
        self.last_round += 1;
        if settled && !self.waiting.is_empty() {
            self.rounds.push_back(Round {
                number: self.last_round,
                index: commit,
                readers: std::mem::take(&mut self.waiting),
            });
        }
        self.last_round
    }

    fn needs_round(&self) -> bool {
        !self.waiting.is_empty() && self.rounds.is_empty()
    }

    fn take_confirmed(&mut self, round: u64) -> Vec<Round> {
        let count = self.rounds.partition_point(|each| each.number <= round);
        self.rounds.drain(..count).collect()
    }

    fn into_readers(self) -> impl Iterator<Item = Reader> {
        let in_rounds = self.rounds.into_iter().flat_map(|round| round.readers);
        in_rounds.chain(self.waiting)
    }
}

/// Reads that share a request to the leader.
struct Forwarded {
    tokens: Vec<u64>,
    deadline_ms: u64,
}

/// Reads at a follower.
pub(crate) struct ForwardedReads {
    next_request: u64,
    waiting: Vec<u64>,
    sent: BTreeMap<u64, Forwarded>,
}

impl ForwardedReads {
    /// Requests count up from a random start, so that an answer to a request
    /// from before a restart is not taken for one to a new request.
    pub(crate) fn new(seed: u64) -> Self {
        ForwardedReads {
            next_request: seed,
            waiting: Vec::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Lets every request wait for longer.
    pub(crate) fn postpone(&mut self, ms: u64) {
        for forwarded in self.sent.values_mut() {
            forwarded.deadline_ms += ms;
        }
    }

    pub(crate) fn deadline_ms(&self) -> u64 {
        let deadlines = self.sent.values().map(|forwarded| forwarded.deadline_ms);
        deadlines.min().unwrap_or(u64::MAX)
    }
}

impl Replica {
    pub(crate) fn read_index(&mut self, token: u64) {
        if self.leading.is_some() {
            self.queue_read(Reader::Local { token });
        } else if self.leader.is_some() {
            self.forwarded_reads.waiting.push(token);
        } else {
            self.drop_request(token, DropReason::NotLeader { leader: None });
        }
    }

    fn queue_read(&mut self, reader: Reader) {
        if self.has_defect(Defect::ReadWithoutConfirming) {
            let index = self.commit;
            self.answer_read(reader, index);
            return;
        }
        if let Some(leading) = &mut self.leading {
            leading.reads.waiting.push(reader);
        }
    }

    /// Starts a round for waiting reads unless one is under way; reads that
    /// arrive meanwhile share the next one.
    pub(crate) fn start_read_round_if_due(&mut self) {
        let due = self
            .leading
            .as_ref()
            .is_some_and(|leading| leading.reads.needs_round());
        if due && self.is_settled() {
            self.start_heartbeat_round();
        }
    }

    pub(crate) fn finish_confirmed_reads(&mut self) {
        let own = self.id();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let progress = &leading.progress;
        let last_round = leading.reads.last_round;
        let confirmed = self.log.membership().quorum_value(|voter| {
            if voter == own {
                return last_round;
            }
            progress.get(&voter).map_or(0, |peer| peer.answered_round)
        });
        for round in leading.reads.take_confirmed(confirmed) {
            for reader in round.readers {
                self.answer_read(reader, round.index);
            }
        }
    }

    fn answer_read(&mut self, reader: Reader, index: u64) {
        match reader {
            Reader::Local { token } => self.output.reads.push(ConfirmedRead { token, index }),
            Reader::Remote { from, request } => self.answer_remote(from, request, Some(index)),
        }
    }

    fn answer_remote(&mut self, to: ReplicaId, request: u64, index: Option<u64>) {
        let response = ReadIndexResponse { request, index };
        self.send_now(to, Message::ReadIndexResponse(response));
    }

    pub(crate) fn refuse_reads(&mut self, reads: ReadQueue) {
        let leader = self.leader;
        for reader in reads.into_readers() {
            match reader {
                Reader::Local { token } => {
                    self.drop_request(token, DropReason::NotLeader { leader })
                }
                Reader::Remote { from, request } => self.answer_remote(from, request, None),
            }
        }
    }

    pub(crate) fn on_read_index_request(&mut self, from: ReplicaId, request: ReadIndexRequest) {
        let request = request.request;
        if self.leading.is_some() {
            self.queue_read(Reader::Remote { from, request });
        } else {
            self.answer_remote(from, request, None);
        }
    }

    pub(crate) fn on_read_index_response(&mut self, response: ReadIndexResponse) {
        let Some(forwarded) = self.forwarded_reads.sent.remove(&response.request) else {
            return;
        };
        for token in forwarded.tokens {
            match response.index {
                Some(index) => self.output.reads.push(ConfirmedRead { token, index }),
                None => self.drop_request(token, DropReason::NotLeader { leader: None }),
            }
        }
    }

    /// Sends one request for all reads that wait.
    pub(crate) fn flush_forwarded_reads(&mut self) {
        if self.forwarded_reads.waiting.is_empty() {
            return;
        }
        let tokens = std::mem::take(&mut self.forwarded_reads.waiting);
        let own = self.id();
        let Some(leader) = self.leader.filter(|leader| *leader != own) else {
            for token in tokens {
                self.read_index(token);
            }
            return;
        };
        let request = self.forwarded_reads.next_request;
        self.forwarded_reads.next_request = request.wrapping_add(1);
        let forwarded = Forwarded {
            tokens,
            deadline_ms: self.now_ms + self.config.election_max_ms,
        };
        self.forwarded_reads.sent.insert(request, forwarded);
        self.send_now(
            leader,
            Message::ReadIndexRequest(ReadIndexRequest { request }),
        );
    }

    pub(crate) fn expire_forwarded_reads(&mut self) {
        let now_ms = self.now_ms;
        let expired: Vec<u64> = self
            .forwarded_reads
            .sent
            .iter()
            .filter(|(_, forwarded)| now_ms >= forwarded.deadline_ms)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            if let Some(forwarded) = self.forwarded_reads.sent.remove(&request) {
                for token in forwarded.tokens {
                    self.drop_request(token, DropReason::ReadTimeout);
                }
            }
        }
    }
}
