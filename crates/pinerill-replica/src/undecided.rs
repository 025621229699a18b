//! Proposals of a leader that leads no more, until their fate is known.
//!
//! The next leader may still commit such an entry. Or an entry of a later term is committed, at
//! this index or before it: terms never fall along a log, and every later leader has what is
//! committed, so that none can have an entry of an earlier term behind it. Both show here by the
//! commit index. That an entry is replaced in this replica's log alone decides nothing: another
//! voter may keep it and win an election with it.

use std::collections::BTreeMap;

use crate::{DropReason, Replica};

/// Longest election timeouts that a proposal's fate is waited for: one election, and one that
/// follows a split vote.
const WAITED_ELECTIONS: u64 = 2;

/// Who waits, and until when.
struct Waiting {
    token: u64,
    deadline_ms: u64,
}

/// Proposals by index and term of their entry.
#[derive(Default)]
pub(crate) struct Undecided {
    proposals: BTreeMap<(u64, u64), Waiting>,
}

impl Undecided {
    pub(crate) fn len(&self) -> usize {
        self.proposals.len()
    }

    /// When the first proposal has waited for long enough.
    pub(crate) fn deadline_ms(&self) -> u64 {
        let deadlines = self.proposals.values().map(|waiting| waiting.deadline_ms);
        deadlines.min().unwrap_or(u64::MAX)
    }

    /// Lets every proposal wait for longer.
    pub(crate) fn postpone(&mut self, ms: u64) {
        for waiting in self.proposals.values_mut() {
            waiting.deadline_ms += ms;
        }
    }

    /// Takes out the proposals that a committed entry decides: the token of the one that it is,
    /// and the tokens of those that can't be committed any more.
    fn decided_by(&mut self, index: u64, term: u64) -> (Option<u64>, Vec<u64>) {
        let committed = self.proposals.remove(&(index, term));
        let mut replaced = Vec::new();
        self.proposals.retain(|(at, of_term), waiting| {
            let is_replaced = *at <= index || *of_term < term;
            if is_replaced {
                replaced.push(waiting.token);
            }
            !is_replaced
        });
        (committed.map(|waiting| waiting.token), replaced)
    }

    fn take_expired(&mut self, now_ms: u64) -> Vec<u64> {
        let mut expired = Vec::new();
        self.proposals.retain(|_, waiting| {
            let waits = now_ms < waiting.deadline_ms;
            if !waits {
                expired.push(waiting.token);
            }
            waits
        });
        expired
    }

    fn take_up_to(&mut self, index: u64) -> Vec<u64> {
        let later = self.proposals.split_off(&(index + 1, 0));
        let covered = std::mem::replace(&mut self.proposals, later);
        covered.into_values().map(|each| each.token).collect()
    }
}

impl Replica {
    /// Keeps what a leader that steps down has in flight.
    pub(crate) fn keep_undecided(&mut self, proposals: BTreeMap<u64, u64>) {
        let deadline_ms = self.now_ms + WAITED_ELECTIONS * self.config.election_max_ms;
        for (index, token) in proposals {
            let Some(term) = self.log.term_at(index) else {
                self.drop_request(token, DropReason::Unknown);
                continue;
            };
            let waiting = Waiting { token, deadline_ms };
            self.undecided.proposals.insert((index, term), waiting);
        }
    }

    /// The token of the proposal that a committed entry came from. Proposals that can't be
    /// committed beside it are dropped.
    pub(crate) fn take_decided(&mut self, index: u64, term: u64) -> Option<u64> {
        if self.undecided.proposals.is_empty() {
            return None;
        }
        let (committed, replaced) = self.undecided.decided_by(index, term);
        let leader = self.leader;
        for token in replaced {
            self.drop_request(token, DropReason::NotLeader { leader });
        }
        committed
    }

    pub(crate) fn expire_undecided(&mut self) {
        let expired = self.undecided.take_expired(self.now_ms);
        self.drop_undecided(expired);
    }

    /// A snapshot up to `index` doesn't show which entries it covers.
    pub(crate) fn drop_undecided_up_to(&mut self, index: u64) {
        let covered = self.undecided.take_up_to(index);
        self.drop_undecided(covered);
    }

    fn drop_undecided(&mut self, tokens: Vec<u64>) {
        for token in tokens {
            self.drop_request(token, DropReason::Unknown);
        }
    }
}
