//! Decides how the replicated group changes as machines join and leave.
//!
//! The leader calls [`next_step`] repeatedly and carries out one step at a time. A replica that
//! is to leave is removed only once every desired voter votes, so a change never lowers the
//! number of failures that the group tolerates. A lost data folder never votes again, because a
//! machine that returns with an empty one has a new identity.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::message::MachineRecord;
use pinerill_replica::{Membership, MembershipChange, ReplicaId};

/// State from which the leader decides.
#[derive(Debug)]
pub struct MembershipView<'a> {
    /// Identity of the leader itself.
    pub own: ReplicaId,
    /// Membership in force.
    pub members: &'a Membership,
    /// Whether the last membership change is committed.
    pub settled: bool,
    /// Machines that have joined and were not replaced, by the identity of their data folder.
    pub machines: &'a BTreeMap<u64, MachineRecord>,
    /// Data folders that were lost: their machine returned with a new one.
    pub replaced: &'a BTreeSet<u64>,
    /// Machines that an operator wants drained.
    pub retiring: &'a BTreeSet<u64>,
    /// Time since the last message of each machine, milliseconds. A machine without an entry
    /// has sent nothing in this leadership.
    pub silent_ms: &'a BTreeMap<u64, u64>,
    /// Duration of this leadership so far, milliseconds.
    pub leading_ms: u64,
    /// Members that hold every committed entry.
    pub caught_up: &'a BTreeSet<u64>,
    /// Limits on size and silence that apply to the group.
    pub settings: MembershipSettings,
}

/// Limits on the size of the group and on the silence of its members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Number of voters that the group needs.
    pub min_voters: usize,
    /// Number of voters that the group has if there are enough machines.
    pub max_voters: usize,
    /// Silence after which a voter is replaced if another machine is available, milliseconds.
    pub lost_after_ms: u64,
    /// Silence up to which a machine counts as present, milliseconds.
    pub present_ms: u64,
}

/// Next step towards the desired membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStep {
    /// Adds, promotes or removes one member.
    Change(MembershipChange),
    /// Transfers leadership to this voter, because the leader itself is to leave.
    HandOver(ReplicaId),
}

/// Returns the next step; `None` if the group is as desired or must wait.
pub fn next_step(view: &MembershipView<'_>) -> Option<MembershipStep> {
    if !view.settled {
        return None;
    }
    let desired = desired_voters(view);
    if let Some(change) = join(view, &desired).or_else(|| promote(view, &desired)) {
        return Some(MembershipStep::Change(change));
    }
    let complete = desired.len() >= view.settings.min_voters.min(view.members.voters.len())
        && desired
            .iter()
            .all(|replica| view.members.is_voter(*replica));
    if let Some(learner) = view
        .members
        .learners
        .iter()
        .find(|one| !desired.contains(one))
    {
        return Some(MembershipStep::Change(MembershipChange::Remove(*learner)));
    }
    if !complete {
        return None;
    }
    let leaving = view
        .members
        .voters
        .iter()
        .find(|one| !desired.contains(one))?;
    if *leaving != view.own {
        return Some(MembershipStep::Change(MembershipChange::Remove(*leaving)));
    }
    let successor = desired.iter().find(|one| view.is_present(one.0))?;
    Some(MembershipStep::HandOver(*successor))
}

/// Returns whether the group does not need a machine: it is no member, and the group is
/// complete and caught up without it.
pub fn is_drained(view: &MembershipView<'_>, replica: ReplicaId) -> bool {
    let min_voters = view.settings.min_voters;
    view.settled
        && !view.members.contains(replica)
        && view.members.voters.len() >= min_voters
        && view
            .members
            .voters
            .iter()
            .all(|voter| view.caught_up.contains(&voter.0))
}

/// Returns whether enough present machines remain if this one retires.
pub fn may_retire(view: &MembershipView<'_>, replica: ReplicaId) -> bool {
    let staying = view
        .machines
        .keys()
        .filter(|one| **one != replica.0 && !view.retiring.contains(one));
    let present = staying.filter(|one| view.is_present(**one)).count();
    present >= view.settings.min_voters
}

impl MembershipView<'_> {
    /// Returns the desired number of voters: an odd one, since one more voter would not raise
    /// the number of tolerated failures. Lost machines don't count, because their records are
    /// never removed.
    fn target_voters(&self) -> usize {
        let MembershipSettings {
            min_voters,
            max_voters,
            ..
        } = self.settings;
        let available = self.machines.keys().copied();
        let available = available.filter(|one| self.may_vote(*one) && !self.is_lost(*one));
        let possible = available.count().min(max_voters);
        let odd = possible - usize::from(possible.is_multiple_of(2) && possible > 0);
        odd.max(min_voters)
    }

    fn is_present(&self, replica: u64) -> bool {
        let silent = self.silent_ms.get(&replica);
        replica == self.own.0 || silent.is_some_and(|ms| *ms <= self.settings.present_ms)
    }

    /// Returns whether a machine has been silent for so long that it is to be replaced. A
    /// machine that sent nothing in this leadership gets the full time from the start of the
    /// leadership.
    fn is_lost(&self, replica: u64) -> bool {
        let silent = self.silent_ms.get(&replica).copied();
        replica != self.own.0 && silent.unwrap_or(self.leading_ms) > self.settings.lost_after_ms
    }

    fn may_vote(&self, replica: u64) -> bool {
        !self.retiring.contains(&replica) && !self.replaced.contains(&replica)
    }

    fn zone(&self, replica: ReplicaId) -> &str {
        let record = self.machines.get(&replica.0);
        record.map_or("", |record| record.zone.as_str())
    }
}

/// Returns the current voters that stay, extended with machines that are present. Silent voters
/// stay only as long as the group needs them and no other machine can replace them. Voters
/// whose data folder was lost never stay.
fn desired_voters(view: &MembershipView<'_>) -> Vec<ReplicaId> {
    let members = &view.members.voters;
    let (lost, mut desired): (Vec<ReplicaId>, Vec<ReplicaId>) = members
        .iter()
        .filter(|one| view.may_vote(one.0))
        .copied()
        .partition(|one| view.is_lost(one.0));
    // Puts the leader first, so that truncation removes it last.
    desired.sort_by_key(|one| *one != view.own);
    let target = view.target_voters();
    while desired.len() < target {
        let Some(next) = best_candidate(view, &desired) else {
            break;
        };
        desired.push(next);
    }
    let missing = view.settings.min_voters.saturating_sub(desired.len());
    desired.extend(lost.into_iter().take(missing));
    desired.truncate(target.max(1));
    desired
}

/// Returns the best present machine that is not yet desired: first by the fewest voters in its
/// zone, then members before non-members.
fn best_candidate(view: &MembershipView<'_>, desired: &[ReplicaId]) -> Option<ReplicaId> {
    let candidates = view.machines.keys().map(|replica| ReplicaId(*replica));
    let eligible = candidates
        .filter(|one| !desired.contains(one) && view.may_vote(one.0) && view.is_present(one.0));
    eligible.min_by_key(|one| {
        let zone = view.zone(*one);
        let neighbours = desired.iter().filter(|other| view.zone(**other) == zone);
        (neighbours.count(), !view.members.contains(*one), one.0)
    })
}

fn join(view: &MembershipView<'_>, desired: &[ReplicaId]) -> Option<MembershipChange> {
    let missing = desired.iter().find(|one| !view.members.contains(**one))?;
    Some(MembershipChange::AddLearner(*missing))
}

fn promote(view: &MembershipView<'_>, desired: &[ReplicaId]) -> Option<MembershipChange> {
    let learner = desired
        .iter()
        .find(|one| view.members.learners.contains(one) && view.caught_up.contains(&one.0))?;
    Some(MembershipChange::Promote(*learner))
}
