//! How the replicated group follows machines that come and go.
//!
//! The leader asks [`next_step`] again and again and carries out one step at a
//! time. A replica that is to go leaves only once every wanted one votes, so a
//! change never lowers what the group tolerates; a lost folder never votes
//! again, since a machine that comes back empty has another identity.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::message::MachineRecord;
use pinerill_replica::{Membership, MembershipChange, ReplicaId};

/// What the leader knows.
#[derive(Debug)]
pub struct MembershipView<'a> {
    /// The leader itself.
    pub own: ReplicaId,
    /// Members in force.
    pub members: &'a Membership,
    /// Whether the last change is committed.
    pub settled: bool,
    /// Machines that joined and were not replaced.
    pub machines: &'a BTreeMap<u64, MachineRecord>,
    /// Data folders whose machine came back with another one.
    pub replaced: &'a BTreeSet<u64>,
    /// Machines that are to be emptied.
    pub retiring: &'a BTreeSet<u64>,
    /// Time since each machine was last heard, milliseconds; one that is
    /// missing was not heard in this leadership.
    pub silent_ms: &'a BTreeMap<u64, u64>,
    /// How long this leadership has lasted, milliseconds.
    pub leading_ms: u64,
    /// Members that hold everything that is committed.
    pub caught_up: &'a BTreeSet<u64>,
    /// Bounds.
    pub settings: MembershipSettings,
}

/// Bounds of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Voters that the group needs.
    pub min_voters: usize,
    /// Voters that it has where there are as many machines.
    pub max_voters: usize,
    /// Silence after which a voter is replaced if another machine is there,
    /// milliseconds.
    pub lost_after_ms: u64,
    /// Silence up to which a machine counts as present, milliseconds.
    pub present_ms: u64,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStep {
    /// A change of one member.
    Change(MembershipChange),
    /// Leadership goes to this voter, since the leader itself is to leave.
    HandOver(ReplicaId),
}

/// What to do next; none if the group is as wanted or must wait.
pub fn next_step(view: &MembershipView<'_>) -> Option<MembershipStep> {
    if !view.settled {
        return None;
    }
    let wanted = wanted_voters(view);
    if let Some(change) = join(view, &wanted).or_else(|| promote(view, &wanted)) {
        return Some(MembershipStep::Change(change));
    }
    let complete = wanted.len() >= view.settings.min_voters.min(view.members.voters.len())
        && wanted.iter().all(|replica| view.members.is_voter(*replica));
    if let Some(learner) = view
        .members
        .learners
        .iter()
        .find(|one| !wanted.contains(one))
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
        .find(|one| !wanted.contains(one))?;
    if *leaving != view.own {
        return Some(MembershipStep::Change(MembershipChange::Remove(*leaving)));
    }
    let successor = wanted.iter().find(|one| view.is_present(one.0))?;
    Some(MembershipStep::HandOver(*successor))
}

/// Whether a machine holds nothing that is needed: it is no member, and the
/// group is complete without it.
pub fn is_drained(view: &MembershipView<'_>, replica: ReplicaId) -> bool {
    let others_wanted = view.settings.min_voters;
    view.settled
        && !view.members.contains(replica)
        && view.members.voters.len() >= others_wanted
        && view
            .members
            .voters
            .iter()
            .all(|voter| view.caught_up.contains(&voter.0))
}

/// Whether enough machines would be left without this one.
pub fn may_retire(view: &MembershipView<'_>, replica: ReplicaId) -> bool {
    let staying = view
        .machines
        .keys()
        .filter(|one| **one != replica.0 && !view.retiring.contains(one));
    let present = staying.filter(|one| view.is_present(**one)).count();
    present >= view.settings.min_voters
}

impl MembershipView<'_> {
    /// Voters that the group shall have: an odd number, since one more than that
    /// bears no further loss. Machines that are lost don't count: they stay recorded
    /// for good.
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

    /// Silent for so long that it shall be replaced. One that was not heard
    /// since this leadership began gets the same time from then on.
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

/// Voters that stay, filled up with machines that are there. Voters that went
/// silent stay for as long as the group needs them and nobody can take their place.
/// Those whose folder was replaced never stay.
fn wanted_voters(view: &MembershipView<'_>) -> Vec<ReplicaId> {
    let members = &view.members.voters;
    let (lost, mut wanted): (Vec<ReplicaId>, Vec<ReplicaId>) = members
        .iter()
        .filter(|one| view.may_vote(one.0))
        .copied()
        .partition(|one| view.is_lost(one.0));
    // The leader is the last to go, if there are too many.
    wanted.sort_by_key(|one| *one != view.own);
    let target = view.target_voters();
    while wanted.len() < target {
        let Some(next) = best_candidate(view, &wanted) else {
            break;
        };
        wanted.push(next);
    }
    let missing = view.settings.min_voters.saturating_sub(wanted.len());
    wanted.extend(lost.into_iter().take(missing));
    wanted.truncate(target.max(1));
    wanted
}

/// A machine that is there and not wanted yet: a member before a stranger, a
/// zone without a voter before one that has some.
fn best_candidate(view: &MembershipView<'_>, wanted: &[ReplicaId]) -> Option<ReplicaId> {
    let candidates = view.machines.keys().map(|replica| ReplicaId(*replica));
    let fit = candidates
        .filter(|one| !wanted.contains(one) && view.may_vote(one.0) && view.is_present(one.0));
    fit.min_by_key(|one| {
        let zone = view.zone(*one);
        let neighbours = wanted.iter().filter(|other| view.zone(**other) == zone);
        (neighbours.count(), !view.members.contains(*one), one.0)
    })
}

fn join(view: &MembershipView<'_>, wanted: &[ReplicaId]) -> Option<MembershipChange> {
    let missing = wanted.iter().find(|one| !view.members.contains(**one))?;
    Some(MembershipChange::AddLearner(*missing))
}

fn promote(view: &MembershipView<'_>, wanted: &[ReplicaId]) -> Option<MembershipChange> {
    let learner = wanted
        .iter()
        .find(|one| view.members.learners.contains(one) && view.caught_up.contains(&one.0))?;
    Some(MembershipChange::Promote(*learner))
}
