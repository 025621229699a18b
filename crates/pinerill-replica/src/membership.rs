//! Which replicas form a group.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ReplicaId;

/// Voters and learners of a group. Learners receive the log but do not count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count for commits.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that only receive the log.
    pub learners: BTreeSet<ReplicaId>,
}

/// A change of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without voting.
    AddLearner(ReplicaId),
    /// Makes a caught-up learner a voter.
    Promote(ReplicaId),
    /// Removes a learner or voter.
    Remove(ReplicaId),
}

/// Why a membership change was refused; nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeRefused {
    /// Another change is not committed yet.
    #[error("another membership change is not committed yet")]
    ChangeInProgress,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its own term yet")]
    LeaderNotSettled,
    /// The learner lacks committed entries.
    #[error("learner {0} has not caught up")]
    NotCaughtUp(ReplicaId),
    /// The replica is already a member.
    #[error("replica {0} is already a member")]
    AlreadyMember(ReplicaId),
    /// The replica is not a member in the needed role.
    #[error("replica {0} is not a member in the needed role")]
    NotMember(ReplicaId),
    /// The group would be left without voters.
    #[error("replica {0} is the last voter")]
    LastVoter(ReplicaId),
}

impl Membership {
    /// A membership of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Membership {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Every member, voters first.
    pub fn replicas(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.learners.contains(&replica)
    }

    /// Whether the replica votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `holds` is true form a majority.
    pub fn has_quorum(&self, holds: impl Fn(ReplicaId) -> bool) -> bool {
        if self.voters.is_empty() {
            return false;
        }
        let count = self.voters.iter().filter(|voter| holds(**voter)).count();
        count >= self.quorum()
    }

    /// The highest value that a majority of voters has reached.
    pub fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        if self.voters.is_empty() {
            return 0;
        }
        let mut values: Vec<u64> = self.voters.iter().map(|voter| value(*voter)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values[self.quorum() - 1]
    }

    /// The membership after `change`, which differs in one replica.
    pub fn with_change(&self, change: MembershipChange) -> Result<Membership, ChangeRefused> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(replica) => {
                if self.contains(replica) {
                    return Err(ChangeRefused::AlreadyMember(replica));
                }
                next.learners.insert(replica);
            }
            MembershipChange::Promote(replica) => {
                if !next.learners.remove(&replica) {
                    return Err(ChangeRefused::NotMember(replica));
                }
                next.voters.insert(replica);
            }
            MembershipChange::Remove(replica) => next.remove(replica)?,
        }
        Ok(next)
    }

    fn remove(&mut self, replica: ReplicaId) -> Result<(), ChangeRefused> {
        if self.learners.remove(&replica) {
            return Ok(());
        }
        if !self.voters.remove(&replica) {
            return Err(ChangeRefused::NotMember(replica));
        }
        if self.voters.is_empty() {
            return Err(ChangeRefused::LastVoter(replica));
        }
        Ok(())
    }
}
