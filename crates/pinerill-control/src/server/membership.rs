//! The next step from a group's members to the wanted ones. Pure.
//!
//! The order keeps a group as safe as it was: a new machine learns first,
//! votes once it has all that is committed, and only when every wanted voter
//! votes does an unwanted one go.

use pinerill_replica::{Membership, MembershipChange, ReplicaId};

use crate::meta::GroupMembers;

/// What the leader of a group does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStep {
    /// Changes one member.
    Change(MembershipChange),
    /// Hands leadership over, since the leader itself has to go.
    HandOver,
}

/// The next step for the leader `own`; none when the members are the wanted
/// ones.
pub fn next_step(
    own: ReplicaId,
    members: &Membership,
    wanted: &GroupMembers,
) -> Option<MembershipStep> {
    let wanted_voters: Vec<ReplicaId> = wanted.voters.iter().copied().map(ReplicaId).collect();
    let wanted_learners: Vec<ReplicaId> = wanted.learners.iter().copied().map(ReplicaId).collect();
    if let Some(step) = next_addition(members, &wanted_voters, &wanted_learners) {
        return Some(MembershipStep::Change(step));
    }
    let is_wanted =
        |replica: &ReplicaId| wanted_voters.contains(replica) || wanted_learners.contains(replica);
    let unwanted = members.replicas().find(|replica| !is_wanted(replica))?;
    if unwanted == own {
        return Some(MembershipStep::HandOver);
    }
    Some(MembershipStep::Change(MembershipChange::Remove(unwanted)))
}

fn next_addition(
    members: &Membership,
    wanted_voters: &[ReplicaId],
    wanted_learners: &[ReplicaId],
) -> Option<MembershipChange> {
    let missing_voter = wanted_voters
        .iter()
        .find(|replica| !members.is_voter(**replica));
    if let Some(replica) = missing_voter {
        let change = if members.contains(*replica) {
            MembershipChange::Promote(*replica)
        } else {
            MembershipChange::AddLearner(*replica)
        };
        return Some(change);
    }
    let missing_learner = wanted_learners
        .iter()
        .find(|replica| !members.contains(**replica));
    missing_learner.map(|replica| MembershipChange::AddLearner(*replica))
}
