//! All scenarios and all mutants.

use crate::scenario::{Mutant, Scenario};
use crate::scenarios::{bundles, jobs};

/// All scenarios.
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let mut scenarios = bundles::all();
    scenarios.extend(jobs::all());
    scenarios
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
    use pinerill_control::job::JobDefect;
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
    let job = |name, defect, scenario| Mutant {
        name,
        defect: Defect::Job(defect),
        scenario,
        seeds: MUTANT_SEEDS,
    };
    vec![
        job(
            "old_attempt_counts",
            JobDefect::OldAttemptCounts,
            "job_frozen_nodes",
        ),
        job(
            "later_end_counts",
            JobDefect::LaterEndCounts,
            "job_frozen_nodes",
        ),
        job(
            "cancelled_job_leases",
            JobDefect::CancelledJobLeases,
            "job_cancel",
        ),
        job(
            "lapsed_at_most_once_leases",
            JobDefect::LapsedAtMostOnceLeases,
            "job_at_most_once",
        ),
        job(
            "repeated_question_leases_anew",
            JobDefect::RepeatedQuestionLeasesAnew,
            "job_at_most_once",
        ),
        job("resent_job_is_new", JobDefect::ResentJobIsNew, "job_resent"),
        job(
            "leases_age_without_leader",
            JobDefect::LeasesAgeWithoutLeader,
            "job_without_leader",
        ),
        shell(
            "run_before_lease_commits",
            ShellDefect::RunBeforeLeaseCommits,
            "job_control_crash",
        ),
        shell(
            "cancel_before_commit",
            ShellDefect::CancelBeforeCommit,
            "job_cancel",
        ),
        shell("accept_early", ShellDefect::AcceptEarly, "job_resent"),
        replica(
            "job_read_without_confirming",
            ReplicaDefect::ReadWithoutConfirming,
            "job_silent_cut",
        ),
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
            "unknown_counts_as_not_done",
            ShellDefect::UnknownCountsAsNotDone,
            "everything_at_once",
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
