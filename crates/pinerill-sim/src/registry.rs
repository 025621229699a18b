//! All scenarios and all mutants.

use crate::scenario::{Mutant, Scenario};
use crate::scenarios::bundles;

/// All scenarios.
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    bundles::all()
}

/// The scenario with this name.
pub fn scenario(name: &str) -> Option<Box<dyn Scenario>> {
    scenarios().into_iter().find(|one| one.name() == name)
}

/// All mutants; none in a build without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
pub fn mutants() -> Vec<Mutant> {
    Vec::new()
}

/// All mutants.
#[cfg(feature = "mutants")]
pub fn mutants() -> Vec<Mutant> {
    use crate::defect::{Defect, ShellDefect};
    use pinerill_replica::Defect as ReplicaDefect;

    let replica = |name, defect, scenario| Mutant {
        name,
        defect: Defect::Replica(defect),
        scenario,
        seeds: MUTANT_SEEDS,
    };
    let shell = |name, defect, scenario| Mutant {
        name,
        defect: Defect::Shell(defect),
        scenario,
        seeds: MUTANT_SEEDS,
    };
    vec![
        replica(
            "vote_before_sync",
            ReplicaDefect::VoteBeforeSync,
            "contested_elections",
        ),
        replica(
            "acknowledge_before_sync",
            ReplicaDefect::AcknowledgeBeforeSync,
            "crash_unsynced",
        ),
        replica(
            "keep_identity_of_empty_folder",
            ReplicaDefect::KeepIdentityOfEmptyFolder,
            "lost_disk_after_ack",
        ),
        replica(
            "read_without_confirming",
            ReplicaDefect::ReadWithoutConfirming,
            "silent_cut_leader",
        ),
        replica(
            "commit_older_term_by_count",
            ReplicaDefect::CommitOlderTermByCount,
            "leader_churn",
        ),
        replica(
            "promote_learner_not_caught_up",
            ReplicaDefect::PromoteLearnerNotCaughtUp,
            "second_loss_after_repair",
        ),
        replica(
            "overlapping_membership_changes",
            ReplicaDefect::OverlappingMembershipChanges,
            "second_loss_after_repair",
        ),
        shell(
            "snapshot_before_table",
            ShellDefect::SnapshotBeforeTable,
            "crash_unsynced",
        ),
        shell(
            "table_reported_before_sync",
            ShellDefect::TableReportedBeforeSync,
            "racing_operators",
        ),
        shell(
            "confirm_without_barrier",
            ShellDefect::ConfirmWithoutBarrier,
            "silent_cut_leader",
        ),
        shell(
            "lease_from_arrival",
            ShellDefect::LeaseFromArrival,
            "cut_off_nodes",
        ),
        shell(
            "take_older_version",
            ShellDefect::TakeOlderVersion,
            "silent_cut_leader",
        ),
        shell(
            "take_unconfirmed_first",
            ShellDefect::TakeUnconfirmedFirst,
            "cut_off_nodes",
        ),
        shell(
            "decided_counts_as_accepted",
            ShellDefect::DecidedCountsAsAccepted,
            "racing_operators",
        ),
        shell(
            "resent_counts_as_conflict",
            ShellDefect::ResentCountsAsConflict,
            "resent_proposal",
        ),
    ]
}

/// Seeds that a scenario has to catch a mutant.
#[cfg(feature = "mutants")]
const MUTANT_SEEDS: u64 = 200;
