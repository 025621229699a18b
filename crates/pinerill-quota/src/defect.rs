//! Deliberate defects, which the tests must catch.

/// A defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Tokens on loan never lapse.
    LoansNeverLapse,
    /// A token that is given back counts twice.
    GivenBackTwice,
    /// A new lender begins with full buckets.
    FullAtStart,
    /// The lender does not bound what is on loan.
    UnboundedLoans,
}

#[cfg(feature = "defects")]
mod switch {
    use std::cell::Cell;

    use super::Defect;

    thread_local! {
        static ON: Cell<Option<Defect>> = const { Cell::new(None) };
    }

    /// Turns one defect on in this thread, or all off.
    pub fn turn_on(defect: Option<Defect>) {
        ON.with(|on| on.set(defect));
    }

    pub(crate) fn is_on(defect: Defect) -> bool {
        ON.with(|on| on.get() == Some(defect))
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
