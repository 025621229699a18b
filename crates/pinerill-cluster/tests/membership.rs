//! How the group follows machines that come and go.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::message::MachineRecord;
use pinerill_cluster::membership::{
    is_drained, may_retire, next_step, MembershipSettings, MembershipStep, MembershipView,
};
use pinerill_replica::{Membership, MembershipChange, ReplicaId};
use proptest::prelude::*;

const SETTINGS: MembershipSettings = MembershipSettings {
    min_voters: 3,
    max_voters: 3,
    lost_after_ms: 6_000,
    present_ms: 1_500,
};

/// A group as its leader, machine 1, sees it.
#[derive(Debug, Clone)]
struct World {
    members: Membership,
    machines: BTreeMap<u64, MachineRecord>,
    replaced: BTreeSet<u64>,
    retiring: BTreeSet<u64>,
    silent_ms: BTreeMap<u64, u64>,
    settings: MembershipSettings,
}

impl World {
    fn new(machines: u64) -> Self {
        let mut world = World {
            members: Membership::of_voters((1..=3).map(ReplicaId)),
            machines: BTreeMap::new(),
            replaced: BTreeSet::new(),
            retiring: BTreeSet::new(),
            silent_ms: BTreeMap::new(),
            settings: SETTINGS,
        };
        for replica in 1..=machines {
            world.come(replica, &format!("m{replica}"));
        }
        world
    }

    fn come(&mut self, replica: u64, name: &str) {
        let record = MachineRecord {
            replica,
            name: name.to_owned(),
            address: ([10, 0, 0, replica as u8], 1).into(),
            zone: format!("z{}", replica % 3),
        };
        self.machines.insert(replica, record);
        self.silent_ms.insert(replica, 0);
    }

    fn look<R>(&self, look: impl FnOnce(&MembershipView<'_>) -> R) -> R {
        let caught_up = self.members.replicas().map(|one| one.0).collect();
        look(&MembershipView {
            own: ReplicaId(1),
            members: &self.members,
            settled: true,
            machines: &self.machines,
            replaced: &self.replaced,
            retiring: &self.retiring,
            silent_ms: &self.silent_ms,
            leading_ms: 60_000,
            caught_up: &caught_up,
            settings: self.settings,
        })
    }

    /// Carries steps out until there is none; returns them.
    fn settle(&mut self) -> Vec<MembershipStep> {
        let mut steps = Vec::new();
        while let Some(step) = self.look(next_step) {
            steps.push(step);
            let MembershipStep::Change(change) = step else {
                break;
            };
            self.members = self.members.with_change(change).expect("allowed");
            assert!(steps.len() < 20, "no end: {steps:?}");
        }
        steps
    }

    fn voters(&self) -> Vec<u64> {
        self.members.voters.iter().map(|one| one.0).collect()
    }
}

#[test]
fn a_complete_group_is_left_alone() {
    assert_eq!(World::new(4).settle(), []);
}

#[test]
fn a_machine_that_lost_its_disk_votes_again_under_its_new_identity() {
    let mut world = World::new(3);
    world.machines.remove(&3);
    world.replaced.insert(3);
    world.come(9, "m3");
    let steps = world.settle();
    let expected = [
        MembershipChange::AddLearner(ReplicaId(9)),
        MembershipChange::Promote(ReplicaId(9)),
        MembershipChange::Remove(ReplicaId(3)),
    ];
    assert_eq!(steps, expected.map(MembershipStep::Change));
    assert_eq!(world.voters(), [1, 2, 9]);
}

/// While a lost disk is replaced, which takes as long as a whole state needs to be
/// sent, as many losses again must be borne.
#[test]
fn a_group_has_voters_for_losses_during_a_replacement_where_there_are_machines() {
    let voters_among = |machines: u64| {
        let mut world = World::new(machines);
        world.settings.max_voters = 5;
        world.settle();
        world.voters().len()
    };
    assert_eq!(voters_among(3), 3);
    assert_eq!(voters_among(4), 3, "a fourth one bears no further loss");
    assert_eq!(voters_among(5), 5);
    assert_eq!(voters_among(9), 5);
}

#[test]
fn a_group_shrinks_to_what_it_needs_as_machines_retire() {
    let mut world = World::new(5);
    world.settings.max_voters = 5;
    world.settle();
    world.retiring.insert(2);
    world.settle();
    assert_eq!(world.voters().len(), 3);
    assert!(world.look(|view| is_drained(view, ReplicaId(2))));
    assert!(world.look(|view| may_retire(view, ReplicaId(3))));
}

#[test]
fn a_lost_machine_is_replaced_only_if_another_one_is_there() {
    let mut alone = World::new(3);
    alone.silent_ms.insert(3, 60_000);
    assert_eq!(alone.settle(), []);
    let mut spare = World::new(4);
    spare.silent_ms.insert(3, 60_000);
    spare.settle();
    assert_eq!(spare.voters(), [1, 2, 4]);
}

/// Machines that went for good stay recorded. They must neither vote nor count as
/// machines for which the group grows: a voter that is gone takes part of the quorum.
#[test]
fn machines_that_are_gone_do_not_make_a_group_larger() {
    let mut world = World::new(5);
    world.settings.max_voters = 5;
    world.silent_ms.insert(2, 60_000);
    world.silent_ms.insert(3, 60_000);
    world.settle();
    assert_eq!(world.voters(), [1, 4, 5]);
}

#[test]
fn a_short_silence_changes_nothing() {
    let mut world = World::new(4);
    world.silent_ms.insert(3, SETTINGS.lost_after_ms);
    assert_eq!(world.settle(), []);
}

#[test]
fn a_retired_machine_leaves_once_another_votes_in_its_place() {
    let mut world = World::new(4);
    world.retiring.insert(2);
    assert!(!world.look(|view| is_drained(view, ReplicaId(2))));
    world.settle();
    assert_eq!(world.voters(), [1, 3, 4]);
    assert!(world.look(|view| is_drained(view, ReplicaId(2))));
}

#[test]
fn a_leader_that_retires_hands_over_first() {
    let mut world = World::new(4);
    world.retiring.insert(1);
    let steps = world.settle();
    assert!(matches!(steps.last(), Some(MembershipStep::HandOver(to)) if to.0 != 1));
    assert!(
        world.voters().contains(&1),
        "it is removed by its successor"
    );
}

#[test]
fn no_machine_may_retire_if_too_few_would_be_left() {
    assert!(!World::new(3).look(|view| may_retire(view, ReplicaId(2))));
    assert!(World::new(4).look(|view| may_retire(view, ReplicaId(2))));
    let mut silent = World::new(4);
    silent.silent_ms.insert(4, 10_000);
    assert!(!silent.look(|view| may_retire(view, ReplicaId(2))));
}

proptest! {
    /// Whatever comes and goes: the steps end, a step never leaves fewer
    /// voters than wanted if there were as many, and replaced folders end up
    /// without a vote wherever enough machines are there.
    #[test]
    fn steps_end_and_keep_the_number_of_voters(
        machines in 3u64..7,
        lost in proptest::collection::btree_set(2u64..7, 0..3),
        replaced in proptest::collection::btree_set(2u64..4, 0..2),
        most_voters in 3usize..8,
    ) {
        let mut world = World::new(machines);
        world.settings.max_voters = most_voters;
        for replica in lost.iter().filter(|one| **one <= machines) {
            world.silent_ms.insert(*replica, 60_000);
        }
        for replica in &replaced {
            world.machines.remove(replica);
            world.replaced.insert(*replica);
            world.come(100 + replica, &format!("m{replica}"));
        }
        let before = world.members.voters.len();
        world.settle();
        prop_assert!(world.members.voters.len() >= before.min(SETTINGS.min_voters));
        let present = world.machines.keys().filter(|one| {
            world.silent_ms.get(one).is_some_and(|ms| *ms <= SETTINGS.present_ms)
        });
        if present.count() >= SETTINGS.min_voters {
            for replica in replaced.iter().chain(&lost) {
                prop_assert!(!world.voters().contains(replica));
            }
        }
    }
}
