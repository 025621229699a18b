//! Deliberate defects with which the simulation proves that its checks see.
//!
//! Without the `defects` feature a [`JobDefects`] can only be empty, and
//! every question about it is constant `false`.

/// A rule of the job machine that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(feature = "defects"), allow(dead_code))]
pub enum JobDefect {
    /// The end of an attempt counts although a newer one was leased.
    OldAttemptCounts,
    /// A later end of an item takes the place of the first.
    LaterEndCounts,
    /// Waiting items of a cancelled job are leased on.
    CancelledJobLeases,
    /// An item not to be repeated is leased again after its lease lapsed.
    LapsedAtMostOnceLeases,
    /// A question sent again gets other items.
    RepeatedQuestionLeasesAnew,
    /// A job sent again is a new job.
    ResentJobIsNew,
    /// Leases age while there is no leader.
    LeasesAgeWithoutLeader,
}

/// The defect in force, if any.
#[derive(Clone, Debug, Default)]
pub(super) struct JobDefects {
    #[cfg(feature = "defects")]
    active: Option<JobDefect>,
}

#[cfg(feature = "defects")]
impl JobDefects {
    pub(super) fn only(defect: JobDefect) -> Self {
        JobDefects {
            active: Some(defect),
        }
    }

    /// Whether the defect is in force.
    pub(super) fn contains(&self, defect: JobDefect) -> bool {
        self.active == Some(defect)
    }
}

#[cfg(not(feature = "defects"))]
impl JobDefects {
    pub(super) const fn contains(&self, _defect: JobDefect) -> bool {
        false
    }
}
