//! Schedules trial runs of requests and parts of prompts that are blocked for crashing workers. Pure:
//! callers pass in the time.
//!
//! A block ends with a sound run, and a blocked suspect gets none, so that a harmless one would stay
//! blocked until its crashes expire. Therefore it makes trial runs. Items, which have no caller who
//! gives up, make them soon; calls, whose callers would lose an answer, seldom. Invariant: a trial run of
//! a blocked item is due at most [`MAX_TRIAL_WAIT_MS`] after the last crash, however many there
//! were; that of a call [`MAX_CALL_TRIAL_WAIT_MS`] after it.
//!
//! Nodes that hear each other make one trial of a suspect at a time. A node claims a trial and announces
//! the claim ([`TrialNotice`]); of claims that are made at about the same time, the one with the lowest
//! number wins after [`CLAIM_TIME_MS`], when all nodes are expected to know it. The others wait for what
//! comes of the trial: a crash, a sound run, which unblocks the suspect, the withdrawal of the claim
//! where the run showed nothing, or the end of [`TRIAL_TIME_MS`], after which the node counts as paused
//! or lost. So that few claims are made at once, each node adds a delay that depends on its name,
//! distributed as the feedback timers of multicast protocols are (RFC 5740, section 4.2.1). A node that
//! has forgotten the last trial, or has restarted, is told of it in answer to its claim.

use std::cmp::Reverse;
use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::suspect::{BlockedSuspect, Suspect};
use super::RequestFingerprint;

/// Delay in milliseconds between a crash and the next trial by an item. A suspect that does crash its
/// workers costs one of them in this time.
pub const TRIAL_DELAY_MS: u64 = 4_000;
/// Delay in milliseconds between a crash and the next trial by a call.
pub const CALL_TRIAL_DELAY_MS: u64 = 30_000;
/// Longest delay in milliseconds that nodes add to these.
pub const TRIAL_SPREAD_MS: u64 = 400;
/// Time in milliseconds from a claim to its run. Claims that are made at about the same time are known
/// at all nodes by then if datagrams take less than half of it.
pub const CLAIM_TIME_MS: u64 = 150;
/// Time in milliseconds in which a trial shows whether the suspect crashes workers.
pub const TRIAL_TIME_MS: u64 = 4_000;
/// Longest time in milliseconds from a claim to the beginning of the run.
const MAX_CLAIM_AGE_MS: u64 = 600;
/// Longest time in milliseconds from a crash to the next trial by an item.
pub const MAX_TRIAL_WAIT_MS: u64 = TRIAL_DELAY_MS + TRIAL_SPREAD_MS + CLAIM_TIME_MS;
/// The same for calls.
pub const MAX_CALL_TRIAL_WAIT_MS: u64 = CALL_TRIAL_DELAY_MS + TRIAL_SPREAD_MS + CLAIM_TIME_MS;
/// Time in milliseconds for which a claim is remembered, so that announcements that arrive late change
/// nothing.
const MEMORY_MS: u64 = 2 * TRIAL_TIME_MS;
/// Number of nodes up to which few of them make a claim at the same moment.
const MAX_NODES: f64 = 1_024.0;
/// Limit on the suspects with trials. Further ones get none until others are forgotten.
const MAX_SUSPECTS: usize = 4_096;

/// What would make a trial run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialRunner {
    /// An item of a job.
    Item,
    /// A call, whose caller waits.
    Call,
}

impl TrialRunner {
    fn delay_ms(self) -> u64 {
        match self {
            TrialRunner::Item => TRIAL_DELAY_MS,
            TrialRunner::Call => CALL_TRIAL_DELAY_MS,
        }
    }
}

/// Announces to the other nodes that a trial is claimed, or that a claim is withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    /// What is tried.
    pub suspect: Suspect,
    /// Position in the sequence of the suspect's trials, as the claiming node knew it.
    pub round: u32,
    /// Random number that identifies the claim.
    pub number: u64,
    /// Whether the trial showed nothing, so that another one may follow at once.
    pub is_withdrawn: bool,
}

impl TrialNotice {
    /// Sort key. A node accepts only notices with a higher key than the last one, so that forwarding
    /// ends.
    fn precedence(&self) -> (u32, Reverse<u64>, bool) {
        (self.round, Reverse(self.number), self.is_withdrawn)
    }
}

/// A claim of this node to a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    made_ms: u64,
    notices: Vec<TrialNotice>,
}

impl Claim {
    /// Returns the notices that announce the claim.
    pub fn notices(&self) -> &[TrialNotice] {
        &self.notices
    }

    /// Returns the time in milliseconds in which the run may begin; later, other nodes may make a
    /// trial as well.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        (self.made_ms + MAX_CLAIM_AGE_MS).saturating_sub(now_ms)
    }

    /// Returns whether the run may begin although these are blocked: the claim is not too old, and
    /// none of them has had a crash since.
    pub fn permits(&self, now_ms: u64, blocked: &[BlockedSuspect]) -> bool {
        let is_older = |one: &BlockedSuspect| one.last_crash_ms <= self.made_ms;
        self.remaining_ms(now_ms) > 0 && blocked.iter().all(is_older)
    }
}

/// The last trial of a suspect that is known here.
#[derive(Debug, Clone, Copy)]
struct LastTrial {
    notice: TrialNotice,
    /// When its round began here, in milliseconds.
    began_ms: u64,
}

impl LastTrial {
    /// Returns whether nodes still wait for its outcome. A crash after its beginning is one.
    fn is_awaited(&self, now_ms: u64, last_crash_ms: u64) -> bool {
        let is_over = now_ms >= self.began_ms + TRIAL_TIME_MS;
        !self.notice.is_withdrawn && !is_over && last_crash_ms < self.began_ms
    }
}

/// The trials that this and other nodes make.
#[derive(Debug)]
pub struct Trials {
    /// Distinguishes this node's delays from those of other nodes.
    node: String,
    last: HashMap<Suspect, LastTrial>,
}

impl Trials {
    /// Creates the state of the process that `node` identifies.
    pub fn new(node: &str) -> Self {
        Trials {
            node: node.to_owned(),
            last: HashMap::new(),
        }
    }

    /// Returns whether this node may claim a trial of a request in which these are blocked. Of several
    /// parts it is enough that one is due and free: if all had to be, requests that hold a single one of
    /// them would always precede it.
    pub fn may_claim(&self, now_ms: u64, runner: TrialRunner, blocked: &[BlockedSuspect]) -> bool {
        let is_ready = |one: &&BlockedSuspect| {
            self.is_free(now_ms, one) && now_ms >= self.due_ms(runner, **one)
        };
        let (parts, requests): (Vec<_>, Vec<_>) = blocked
            .iter()
            .partition(|one| matches!(one.suspect, Suspect::Part(_)));
        requests.iter().all(is_ready) && (parts.is_empty() || parts.iter().any(is_ready))
    }

    /// Returns whether no outcome of a trial of a suspect is awaited.
    fn is_free(&self, now_ms: u64, blocked: &BlockedSuspect) -> bool {
        match self.last.get(&blocked.suspect) {
            Some(last) => !last.is_awaited(now_ms, blocked.last_crash_ms),
            None => self.last.len() < MAX_SUSPECTS,
        }
    }

    /// Claims a trial of a request in which these are blocked; `number` is random. Returns `None` if
    /// this node may not.
    pub fn claim(
        &mut self,
        now_ms: u64,
        runner: TrialRunner,
        blocked: &[BlockedSuspect],
        number: u64,
    ) -> Option<Claim> {
        if !self.may_claim(now_ms, runner, blocked) {
            return None;
        }
        let free = blocked.iter().filter(|one| self.is_free(now_ms, one));
        let notices = free.map(|one| TrialNotice {
            suspect: one.suspect,
            round: self.next_round(one.suspect),
            number,
            is_withdrawn: false,
        });
        let notices: Vec<TrialNotice> = notices.collect();
        for notice in &notices {
            self.record(now_ms, notice);
        }
        Some(Claim {
            made_ms: now_ms,
            notices,
        })
    }

    /// Returns whether no other claim has precedence. Callers ask [`CLAIM_TIME_MS`] after the claim.
    pub fn is_won(&self, claim: &Claim) -> bool {
        claim.notices.iter().all(|notice| self.is_last(notice))
    }

    /// Withdraws a claim that was lost or whose run showed nothing. Returns the notices to broadcast.
    pub fn withdraw(&mut self, now_ms: u64, claim: &Claim) -> Vec<TrialNotice> {
        let own = claim.notices.iter().filter(|notice| self.is_last(notice));
        let withdrawn = own.map(|notice| TrialNotice {
            is_withdrawn: true,
            ..*notice
        });
        let withdrawn: Vec<TrialNotice> = withdrawn.collect();
        for notice in &withdrawn {
            self.record(now_ms, notice);
        }
        withdrawn
    }

    /// Takes in a notice of this or another node. Returns whether it is new and must be forwarded.
    pub fn record(&mut self, now_ms: u64, notice: &TrialNotice) -> bool {
        let Some(last) = self.last.get_mut(&notice.suspect) else {
            let has_room = self.last.len() < MAX_SUSPECTS;
            if has_room {
                let last = LastTrial {
                    notice: *notice,
                    began_ms: now_ms,
                };
                self.last.insert(notice.suspect, last);
            }
            return has_room;
        };
        if notice.precedence() <= last.notice.precedence() {
            return false;
        }
        if notice.round > last.notice.round {
            last.began_ms = now_ms;
        }
        last.notice = *notice;
        true
    }

    /// Returns the last notice about a suspect if this one, of another node, is of an earlier round: its
    /// sender has missed or forgotten the later ones.
    pub fn later_than(&self, notice: &TrialNotice) -> Option<TrialNotice> {
        let last = self.last.get(&notice.suspect)?.notice;
        (last.round > notice.round).then_some(last)
    }

    /// Forgets trials that are too old to matter.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.last
            .retain(|_, last| now_ms < last.began_ms + MEMORY_MS);
    }

    /// Returns when this node may claim a trial of a suspect, in milliseconds.
    fn due_ms(&self, runner: TrialRunner, blocked: BlockedSuspect) -> u64 {
        let round = self.next_round(blocked.suspect);
        blocked.last_crash_ms + runner.delay_ms() + self.spread_ms(blocked.suspect, round)
    }

    fn next_round(&self, suspect: Suspect) -> u32 {
        let last = self.last.get(&suspect);
        last.map_or(0, |last| last.notice.round.saturating_add(1))
    }

    fn is_last(&self, notice: &TrialNotice) -> bool {
        let last = self.last.get(&notice.suspect);
        last.is_some_and(|last| last.notice == *notice)
    }

    /// Returns the delay that this node adds in this round, milliseconds.
    fn spread_ms(&self, suspect: Suspect, round: u32) -> u64 {
        let suspect = suspect.to_string();
        let parts = [
            self.node.as_bytes(),
            suspect.as_bytes(),
            &round.to_le_bytes(),
        ];
        let drawn = RequestFingerprint::of_parts(&parts).short();
        let uniform = (drawn as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        let share = 1.0 + uniform.ln() / MAX_NODES.ln();
        (TRIAL_SPREAD_MS as f64 * share.clamp(0.0, 1.0)) as u64
    }
}
