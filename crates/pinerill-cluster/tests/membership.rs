//! Changes of the replicated group as machines join and leave.

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

/// State of a group as seen by its leader, machine 1.
#[derive(Debug, Clone)]
struct TestGroup {
    members: Membership,
    machines: BTreeMap<u64, MachineRecord>,
    replaced: BTreeSet<u64>,
    retiring: BTreeSet<u64>,
    silent_ms: BTreeMap<u64, u64>,
    settings: MembershipSettings,
}

impl TestGroup {
    fn new(machines: u64) -> Self {
        let mut group = TestGroup {
            members: Membership::of_voters((1..=3).map(ReplicaId)),
            machines: BTreeMap::new(),
            replaced: BTreeSet::new(),
            retiring: BTreeSet::new(),
            silent_ms: BTreeMap::new(),
            settings: SETTINGS,
        };
        for replica in 1..=machines {
            group.add_machine(replica, &format!("m{replica}"));
        }
        group
    }

    fn add_machine(&mut self, replica: u64, name: &str) {
        let record = MachineRecord {
            replica,
            name: name.to_owned(),
            address: ([10, 0, 0, replica as u8], 1).into(),
            zone: format!("z{}", replica % 3),
        };
        self.machines.insert(replica, record);
        self.silent_ms.insert(replica, 0);
    }

    fn with_view<R>(&self, read: impl FnOnce(&MembershipView<'_>) -> R) -> R {
        let caught_up = self.members.replicas().map(|one| one.0).collect();
        read(&MembershipView {
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

    /// Carries out steps until none is left or leadership is transferred; returns them.
    fn run_steps(&mut self) -> Vec<MembershipStep> {
        let mut steps = Vec::new();
        while let Some(step) = self.with_view(next_step) {
            steps.push(step);
            let MembershipStep::Change(change) = step else {
                break;
            };
            self.members = self.members.with_change(change).expect("allowed");
            assert!(steps.len() < 20, "steps do not terminate: {steps:?}");
        }
        steps
    }

    fn voters(&self) -> Vec<u64> {
        self.members.voters.iter().map(|one| one.0).collect()
    }
}

#[test]
fn a_complete_group_needs_no_steps() {
    assert_eq!(TestGroup::new(4).run_steps(), []);
}

#[test]
fn a_machine_that_lost_its_disk_votes_again_under_its_new_identity() {
    let mut group = TestGroup::new(3);
    group.machines.remove(&3);
    group.replaced.insert(3);
    group.add_machine(9, "m3");
    let steps = group.run_steps();
    let expected = [
        MembershipChange::AddLearner(ReplicaId(9)),
        MembershipChange::Promote(ReplicaId(9)),
        MembershipChange::Remove(ReplicaId(3)),
    ];
    assert_eq!(steps, expected.map(MembershipStep::Change));
    assert_eq!(group.voters(), [1, 2, 9]);
}

/// Replacing a lost disk takes as long as sending the whole state. During that time a larger
/// group still tolerates further failures.
#[test]
fn a_group_grows_to_the_largest_odd_number_of_voters_allowed() {
    let voters_among = |machines: u64| {
        let mut group = TestGroup::new(machines);
        group.settings.max_voters = 5;
        group.run_steps();
        group.voters().len()
    };
    assert_eq!(voters_among(3), 3);
    assert_eq!(
        voters_among(4),
        3,
        "a fourth voter tolerates no further failure"
    );
    assert_eq!(voters_among(5), 5);
    assert_eq!(voters_among(9), 5);
}

#[test]
fn a_group_shrinks_to_its_minimum_as_machines_retire() {
    let mut group = TestGroup::new(5);
    group.settings.max_voters = 5;
    group.run_steps();
    group.retiring.insert(2);
    group.run_steps();
    assert_eq!(group.voters().len(), 3);
    assert!(group.with_view(|view| is_drained(view, ReplicaId(2))));
    assert!(group.with_view(|view| may_retire(view, ReplicaId(3))));
}

#[test]
fn a_lost_machine_is_replaced_only_if_another_one_is_available() {
    let mut without_spare = TestGroup::new(3);
    without_spare.silent_ms.insert(3, 60_000);
    assert_eq!(without_spare.run_steps(), []);
    let mut with_spare = TestGroup::new(4);
    with_spare.silent_ms.insert(3, 60_000);
    with_spare.run_steps();
    assert_eq!(with_spare.voters(), [1, 2, 4]);
}

/// Records of lost machines are kept. These machines must neither vote nor count towards the
/// size of the group: a lost voter counts towards the quorum without contributing to it.
#[test]
fn lost_machines_do_not_raise_the_number_of_voters() {
    let mut group = TestGroup::new(5);
    group.settings.max_voters = 5;
    group.silent_ms.insert(2, 60_000);
    group.silent_ms.insert(3, 60_000);
    group.run_steps();
    assert_eq!(group.voters(), [1, 4, 5]);
}

#[test]
fn a_short_silence_changes_nothing() {
    let mut group = TestGroup::new(4);
    group.silent_ms.insert(3, SETTINGS.lost_after_ms);
    assert_eq!(group.run_steps(), []);
}

#[test]
fn a_retiring_machine_is_removed_once_its_replacement_votes() {
    let mut group = TestGroup::new(4);
    group.retiring.insert(2);
    assert!(!group.with_view(|view| is_drained(view, ReplicaId(2))));
    group.run_steps();
    assert_eq!(group.voters(), [1, 3, 4]);
    assert!(group.with_view(|view| is_drained(view, ReplicaId(2))));
}

#[test]
fn a_retiring_leader_transfers_leadership_first() {
    let mut group = TestGroup::new(4);
    group.retiring.insert(1);
    let steps = group.run_steps();
    assert!(matches!(steps.last(), Some(MembershipStep::HandOver(to)) if to.0 != 1));
    assert!(
        group.voters().contains(&1),
        "the successor removes the old leader"
    );
}

#[test]
fn a_machine_may_not_retire_if_too_few_would_remain() {
    assert!(!TestGroup::new(3).with_view(|view| may_retire(view, ReplicaId(2))));
    assert!(TestGroup::new(4).with_view(|view| may_retire(view, ReplicaId(2))));
    let mut silent = TestGroup::new(4);
    silent.silent_ms.insert(4, 10_000);
    assert!(!silent.with_view(|view| may_retire(view, ReplicaId(2))));
}

proptest! {
    /// For any set of lost and replaced machines, the steps terminate, the number of voters
    /// does not drop below the smaller of its initial value and the minimum, and lost or
    /// replaced machines have no vote in the end if enough machines are present.
    #[test]
    fn steps_terminate_and_keep_the_minimum_of_voters(
        machines in 3u64..7,
        lost in proptest::collection::btree_set(2u64..7, 0..3),
        replaced in proptest::collection::btree_set(2u64..4, 0..2),
        most_voters in 3usize..8,
    ) {
        let mut group = TestGroup::new(machines);
        group.settings.max_voters = most_voters;
        for replica in lost.iter().filter(|one| **one <= machines) {
            group.silent_ms.insert(*replica, 60_000);
        }
        for replica in &replaced {
            group.machines.remove(replica);
            group.replaced.insert(*replica);
            group.add_machine(100 + replica, &format!("m{replica}"));
        }
        let before = group.members.voters.len();
        group.run_steps();
        prop_assert!(group.members.voters.len() >= before.min(SETTINGS.min_voters));
        let present = group.machines.keys().filter(|one| {
            group.silent_ms.get(one).is_some_and(|ms| *ms <= SETTINGS.present_ms)
        });
        if present.count() >= SETTINGS.min_voters {
            for replica in replaced.iter().chain(&lost) {
                prop_assert!(!group.voters().contains(replica));
            }
        }
    }
}
