//! The way from a group's members to the wanted ones is safe at each step.

use pinerill_control::meta::GroupMembers;
use pinerill_control::server::{next_step, MembershipStep};
use pinerill_replica::{Membership, ReplicaId};
use proptest::prelude::*;

const OWN: ReplicaId = ReplicaId(1);

fn wanted(voters: &[u64], learners: &[u64]) -> GroupMembers {
    GroupMembers {
        voters: voters.to_vec(),
        learners: learners.to_vec(),
    }
}

fn members(voters: &[u64]) -> Membership {
    Membership::of_voters(voters.iter().copied().map(ReplicaId))
}

/// All memberships on the way, the first and the last included.
fn way(start: Membership, wanted: &GroupMembers) -> Vec<Membership> {
    let mut way = vec![start];
    loop {
        let current = way.last().expect("never empty");
        match next_step(OWN, current, wanted) {
            Some(MembershipStep::Change(change)) => {
                let next = current.with_change(change).expect("an allowed change");
                way.push(next);
            }
            Some(MembershipStep::HandOver) | None => return way,
        }
        assert!(way.len() < 50, "the way ends");
    }
}

#[test]
fn a_lost_voter_goes_only_after_its_successor_votes() {
    let wanted = wanted(&[1, 2, 4], &[]);
    let way = way(members(&[1, 2, 3]), &wanted);
    let voters: Vec<usize> = way.iter().map(|one| one.voters.len()).collect();
    assert_eq!(voters, vec![3, 3, 4, 3]);
    assert_eq!(way.last(), Some(&members(&[1, 2, 4])));
}

#[test]
fn a_leader_that_has_to_go_hands_over() {
    let step = next_step(OWN, &members(&[1, 2, 3]), &wanted(&[2, 3], &[]));
    assert_eq!(step, Some(MembershipStep::HandOver));
}

#[test]
fn nothing_is_done_when_the_members_are_the_wanted_ones() {
    let mut current = members(&[1, 2, 3]);
    current.learners.insert(ReplicaId(9));
    assert_eq!(next_step(OWN, &current, &wanted(&[3, 2, 1], &[9])), None);
}

proptest! {
    #[test]
    fn every_way_ends_at_the_plan_and_never_has_fewer_voters_than_it(
        start in prop::collection::btree_set(1_u64..9, 1..6),
        voters in prop::collection::btree_set(1_u64..9, 1..6),
    ) {
        let start: Vec<u64> = start.into_iter().chain([OWN.0]).collect();
        let voters: Vec<u64> = voters.into_iter().chain([OWN.0]).collect();
        let plan = wanted(&voters, &[]);
        let way = way(members(&start), &plan);
        let least = members(&start).voters.len().min(members(&voters).voters.len());
        prop_assert!(way.iter().all(|one| one.voters.len() >= least));
        prop_assert_eq!(way.last(), Some(&members(&voters)));
    }
}
