//! Deliberate defects by the part that has them.
//!
//! Defects inside the product's own code exist only under the feature
//! `mutants`; those below under [`ShellDefect`] are in the simulated shells
//! and clients around it.

use pinerill_replica::Defects;

/// One deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// In the replica.
    #[cfg(feature = "mutants")]
    Replica(pinerill_replica::Defect),
    /// In the job machine.
    #[cfg(feature = "mutants")]
    Job(pinerill_control::job::JobDefect),
    /// In a simulated shell.
    Shell(ShellDefect),
}

/// A defect of the code around the pure parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShellDefect {
    /// A watch is answered as confirmed without asking a quorum.
    ConfirmWithoutBarrier,
    /// A node counts its lease from when the answer arrived.
    LeaseFromArrival,
    /// A control machine that is behind a node answers its watch, and the
    /// node takes on the older version.
    TakeOlderVersion,
    /// A node that has just started takes on a bundle that is not confirmed.
    TakeUnconfirmedFirst,
    /// A proposal whose version was taken counts as accepted, whoever won.
    DecidedCountsAsAccepted,
    /// A proposal sent again is refused although it was the one that won.
    ResentCountsAsConflict,
    /// A proposal without an answer counts as not done.
    UnknownCountsAsNotDone,
    /// Table writes count as visible before they are.
    TableReportedBeforeSync,
    /// Table writes are queued behind the snapshot that covers them.
    SnapshotBeforeTable,
    /// Items are handed to a node before their lease is committed.
    RunBeforeLeaseCommits,
    /// A cancellation counts as done before it is committed.
    CancelBeforeCommit,
    /// A job counts as accepted with its first part.
    AcceptEarly,
}

/// The defects for a replica's settings.
pub(crate) fn replica_defects(defect: Option<Defect>) -> Defects {
    match defect {
        #[cfg(feature = "mutants")]
        Some(Defect::Replica(defect)) => Defects::only(defect),
        _ => Defects::default(),
    }
}

/// Whether a lost disk comes back under its old identity.
pub(crate) fn keeps_identity(defect: Option<Defect>) -> bool {
    match defect {
        #[cfg(feature = "mutants")]
        Some(Defect::Replica(pinerill_replica::Defect::KeepIdentityOfEmptyFolder)) => true,
        _ => false,
    }
}

/// Whether the shells have the given defect.
pub(crate) fn has_shell_defect(defect: Option<Defect>, wanted: ShellDefect) -> bool {
    defect == Some(Defect::Shell(wanted))
}
