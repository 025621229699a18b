//! Deliberate defects with which the simulation proves that its checks see.
//!
//! Without the `defects` feature a [`Defects`] can only be empty, and every
//! question about it is constant `false`.

/// A rule of the algorithm that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(not(feature = "defects"), allow(dead_code))]
pub enum Defect {
    /// Votes leave before they are durable.
    VoteBeforeSync,
    /// Append acknowledgements leave before the entries are durable.
    AcknowledgeBeforeSync,
    /// An empty folder takes on its former identifier (used by the driver).
    KeepIdentityOfEmptyFolder,
    /// Reads are served without asking a majority.
    ReadWithoutConfirming,
    /// Entries of older terms are committed by counting replicas.
    CommitOlderTermByCount,
    /// A learner becomes a voter although it lacks committed entries.
    PromoteLearnerNotCaughtUp,
    /// A membership change starts while another is not committed.
    OverlappingMembershipChanges,
}

/// The set of defects in force.
#[derive(Clone, Debug, Default)]
pub struct Defects {
    #[cfg(feature = "defects")]
    active: std::collections::BTreeSet<Defect>,
}

#[cfg(feature = "defects")]
impl Defects {
    /// A set with one defect.
    pub fn only(defect: Defect) -> Self {
        Defects {
            active: [defect].into(),
        }
    }

    /// Whether the defect is in force.
    pub fn contains(&self, defect: Defect) -> bool {
        self.active.contains(&defect)
    }
}

#[cfg(not(feature = "defects"))]
impl Defects {
    pub(crate) const fn contains(&self, _defect: Defect) -> bool {
        false
    }
}
