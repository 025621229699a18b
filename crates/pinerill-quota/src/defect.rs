//! Deliberate defects with which the tests show that they detect violations of the limits.
//! They can be turned on only if the feature `defects` is enabled.

/// A deliberate defect of the borrower, the lender or the division of limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Tokens on loan never expire.
    LoansNeverExpire,
    /// A returned token counts twice.
    ReturnedTwice,
    /// A new lender starts with full buckets.
    FullAtStart,
    /// The lender does not bound the number of tokens on loan.
    UnboundedLoans,
    /// The leader grows one part before another holder has confirmed that it shrank.
    GrowsBeforeShrink,
    /// A new leader grants parts before it knows which of them are out.
    NewLeaderGrants,
    /// A holder goes on lending after its lease is over.
    PartsNeverExpire,
    /// A holder applies answers to requests that it sent before its latest one.
    LateAnswersApply,
}

#[cfg(feature = "defects")]
mod switch {
    use std::cell::Cell;

    use super::Defect;

    thread_local! {
        static ACTIVE: Cell<Option<Defect>> = const { Cell::new(None) };
    }

    /// Turns on one defect in this thread and all others off; `None` turns all off.
    pub fn turn_on(defect: Option<Defect>) {
        ACTIVE.with(|active| active.set(defect));
    }

    pub(crate) fn is_on(defect: Defect) -> bool {
        ACTIVE.with(|active| active.get() == Some(defect))
    }
}

#[cfg(not(feature = "defects"))]
mod switch {
    use super::Defect;

    pub(crate) const fn is_on(_: Defect) -> bool {
        false
    }
}

#[cfg(feature = "defects")]
pub use switch::turn_on;

pub(crate) use switch::is_on;
