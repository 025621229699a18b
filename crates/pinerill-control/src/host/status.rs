//! A group as seen from this process.

use pinerill_replica::{GroupId, Membership, PeerStatus, ReplicaId, Role, Status};

/// A group as seen from this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// This process's replica.
    pub replica: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// Whether, as leader, it has committed an entry of its own term.
    pub settled: bool,
    /// Highest committed index it knows.
    pub commit: u64,
    /// Highest index applied.
    pub applied: u64,
    /// Voters and learners in force.
    pub members: Membership,
    /// Whether the last membership change is committed.
    pub members_committed: bool,
    /// Followers, if it leads.
    pub peers: Vec<PeerStatus>,
    /// Whether its log holds entries that are not committed as far as it knows.
    pub has_uncommitted: bool,
    /// Whether the process is about to stop; no proposals are taken.
    pub draining: bool,
    /// Proposals from when it led whose fate it doesn't know yet.
    pub undecided: usize,
    /// Its state can't be read by this build; it takes no part any more.
    pub halted: bool,
}

impl GroupStatus {
    pub(super) fn new(group: GroupId, status: Status) -> Self {
        GroupStatus {
            group,
            replica: status.id,
            role: status.role,
            term: status.term,
            leader: status.leader,
            settled: status.settled,
            commit: status.commit,
            applied: status.applied,
            members_committed: status.membership_index <= status.commit,
            members: status.membership,
            peers: status.peers,
            has_uncommitted: status.last_index > status.commit,
            draining: status.draining,
            undecided: status.undecided,
            halted: false,
        }
    }

    /// Whether anything but the followers' progress differs. Entries that are not committed any
    /// more show by the commit index.
    pub(super) fn differs_from(&self, other: &GroupStatus) -> bool {
        let position = |status: &GroupStatus| (status.term, status.commit, status.applied);
        let leadership = |status: &GroupStatus| (status.role, status.leader, status.settled);
        position(self) != position(other)
            || leadership(self) != leadership(other)
            || self.members_committed != other.members_committed
            || self.members != other.members
            || self.draining != other.draining
            || self.undecided != other.undecided
            || self.halted != other.halted
    }

    /// Whether nothing is left that this replica could hand over or answer: another one leads
    /// and the fate of what this one took is known, or this one has no vote, is halted, or is
    /// the only voter and has finished what it took.
    pub fn has_nothing_to_hand_over(&self) -> bool {
        let votes = self.members.is_voter(self.replica);
        let is_only_voter = votes && self.members.voters.len() == 1;
        let is_finished = is_only_voter && self.draining && !self.has_uncommitted;
        let is_led_elsewhere = match self.leader {
            Some(leader) => leader != self.replica,
            None => !votes,
        };
        let is_handed_over = is_led_elsewhere && self.undecided == 0;
        is_handed_over || is_finished || self.halted
    }

    /// Whether this replica leads and knows everything committed before.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader && self.settled && !self.halted
    }
}
