//! Membership changes, one replica at a time.

use crate::defects::Defect;
use crate::progress::Progress;
use crate::{ChangeRefused, DropReason, EntryKind, MembershipChange, Replica, ReplicaId};

impl Replica {
    pub(crate) fn change_membership(&mut self, token: u64, change: MembershipChange) {
        if self.leading.is_none() {
            let leader = self.leader;
            self.drop_request(token, DropReason::NotLeader { leader });
            return;
        }
        if self.draining {
            self.drop_request(token, DropReason::Busy);
            return;
        }
        let checked = self
            .check_change(change)
            .and_then(|()| self.membership().with_change(change));
        match checked {
            Ok(membership) => {
                self.append_proposal(token, EntryKind::Membership(membership));
                self.sync_progress_with_membership();
                self.advance_commit();
            }
            Err(refused) => self.drop_request(token, DropReason::ChangeRefused(refused)),
        }
    }

    /// Two majorities of memberships that differ in one replica always
    /// overlap. That no longer holds across two changes, or across changes of
    /// two leaders of which the later does not know the earlier's; hence one
    /// change at a time, and only after an own entry is committed.
    fn check_change(&self, change: MembershipChange) -> Result<(), ChangeRefused> {
        let overlap_allowed = self.has_defect(Defect::OverlappingMembershipChanges);
        if !overlap_allowed && !self.is_settled() {
            return Err(ChangeRefused::LeaderNotSettled);
        }
        if !overlap_allowed && self.log.membership_index() > self.commit {
            return Err(ChangeRefused::ChangeInProgress);
        }
        if let MembershipChange::Promote(replica) = change {
            self.check_caught_up(replica)?;
        }
        Ok(())
    }

    /// A learner that lacks committed entries would, as a voter, lower the
    /// number of replicas that hold them below a majority.
    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), ChangeRefused> {
        let match_index = self
            .leading
            .as_ref()
            .and_then(|leading| leading.progress.get(&replica))
            .map_or(0, |progress| progress.match_index);
        let caught_up = match_index >= self.commit;
        if caught_up || self.has_defect(Defect::PromoteLearnerNotCaughtUp) {
            return Ok(());
        }
        Err(ChangeRefused::NotCaughtUp(replica))
    }

    /// Starts to follow added replicas and forgets removed ones.
    pub(crate) fn sync_progress_with_membership(&mut self) {
        let own = self.id();
        let now_ms = self.now_ms;
        let next_index = self.log.last_index() + 1;
        let membership = self.log.membership();
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading
            .progress
            .retain(|replica, _| membership.contains(*replica));
        for replica in membership.replicas().filter(|replica| *replica != own) {
            leading
                .progress
                .entry(replica)
                .or_insert_with(|| Progress::new(next_index, now_ms));
        }
    }

    /// A leader that removed itself serves until the change is committed.
    pub(crate) fn step_down_if_removed(&mut self) {
        let removed = !self.membership().is_voter(self.id());
        if removed && self.log.membership_index() <= self.commit {
            // The proposer of the change still gets its answer.
            self.collect_committed();
            self.become_follower(self.term(), None);
        }
    }
}
