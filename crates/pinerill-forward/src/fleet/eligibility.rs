//! Decides how long a worker may be sent requests after it was last confirmed as staying.
//!
//! The platform list shows a worker as leaving before it ends. From a bounded time after that, the
//! notice, no new request may reach it. A node's knowledge of a worker is as old as the list
//! reading or the worker's own answer that confirmed it. Invariant: a request is sent only if the
//! worker was confirmed so recently that, had the list shown it as leaving right after that
//! confirmation, the request would still arrive within the notice. The bound therefore does not
//! depend on any update being delivered: without updates, the confirmation expires.

/// Part of the notice in milliseconds reserved for the time between the last eligibility check and
/// the arrival of the request at the worker: writing the request, and the network. Calls on the
/// slowest nodes, which have an eighth of a core, reach workers 2 to 6 ms after they arrive.
const SEND_MARGIN_MS: u64 = 500;

/// Validity period of a confirmation that a worker stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConfirmationLease {
    duration_ms: u64,
}

impl ConfirmationLease {
    /// Creates the lease for workers that accept new requests until `notice_ms` milliseconds after
    /// they are first shown as leaving.
    pub(super) fn new(notice_ms: u64) -> Self {
        ConfirmationLease {
            duration_ms: notice_ms.saturating_sub(SEND_MARGIN_MS),
        }
    }

    /// Returns whether a confirmation at `confirmed_ms` is still valid. `None` means that the
    /// worker was never confirmed, which is never valid.
    pub(super) fn is_valid(self, now_ms: u64, confirmed_ms: Option<i64>) -> bool {
        let until_ms =
            confirmed_ms.map(|confirmed_ms| confirmed_ms.saturating_add_unsigned(self.duration_ms));
        until_ms.is_some_and(|until_ms| now_ms as i64 <= until_ms)
    }
}

/// Whether a worker may be sent new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// The worker was confirmed as staying recently enough.
    Confirmed,
    /// The last confirmation has expired: the worker's health must be checked first.
    Unconfirmed,
    /// The worker is draining or no longer listed.
    Leaving,
    /// The worker's zone is evacuated.
    Evacuated,
}
