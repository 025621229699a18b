//! For how long a worker may be sent to on the strength of what is known of it.
//!
//! The platform list shows a worker as leaving before it ends, and from a bounded time later on
//! nothing new may reach it. What a node knows of a worker is as old as the reading of the list,
//! or the answer of the worker's own, that told it. Invariant: a request is sent only to a
//! worker that was known to stay at a moment so short a time ago that, had it been shown as
//! leaving right behind that moment, the request would still arrive within the notice. So the
//! bound needs no news to arrive: without news, knowledge runs out.

/// Part of the notice kept for the way from the last look at what is known to the worker,
/// milliseconds: writing the request, and the network. The users' slowest nodes have an
/// eighth of a core; their calls reach workers 2 to 6 ms after they arrived.
const SEND_MARGIN_MS: u64 = 500;

/// The lease on the confirmation that a worker stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConfirmationLease {
    duration_ms: u64,
}

impl ConfirmationLease {
    /// For workers that may get something new up to `notice_ms` after they are shown as leaving.
    pub(super) fn new(notice_ms: u64) -> Self {
        ConfirmationLease {
            duration_ms: notice_ms.saturating_sub(SEND_MARGIN_MS),
        }
    }

    /// Whether what was known at a moment may still be acted on.
    pub(super) fn is_valid(self, now_ms: u64, confirmed_ms: Option<i64>) -> bool {
        let until_ms =
            confirmed_ms.map(|confirmed_ms| confirmed_ms.saturating_add_unsigned(self.duration_ms));
        until_ms.is_some_and(|until_ms| now_ms as i64 <= until_ms)
    }
}

/// Whether a worker may be sent something new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It was known to stay a short while ago.
    Confirmed,
    /// What is known of it is too old: its health must be checked first.
    Unconfirmed,
    /// It is leaving, or gone.
    Leaving,
    /// Its zone is evacuated.
    Evacuated,
}
