//! Why exchanges with workers fail.

use thiserror::Error;

/// Why an exchange with a worker failed or was not begun.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BreakReason {
    /// No connection to the worker could be established.
    #[error("connect: {0}")]
    Connect(String),
    /// The worker's machine refused the connection, so no process listens there.
    #[error("connect: connection refused")]
    Refused,
    /// The connection ended early, or the bytes received were not a valid response.
    #[error("connection: {0}")]
    Connection(String),
    /// The response belongs to no request that was sent on the connection.
    #[error("the response carries the id of another request")]
    OtherRequest,
    /// The response is a success without the worker's stamp, so no worker is known to have given it.
    #[error("the response is a success without a stamp")]
    Unstamped,
    /// The responses that repeat earlier ones are too many or too long to be skipped.
    #[error("repeated responses exceed the limits")]
    Repetition,
    /// The response body has a content encoding, which no caller requested.
    #[error("the response body has a content encoding")]
    Encoded,
    /// Events of the response are missing, duplicate, out of order or too long.
    #[error("events out of order")]
    EventOrder,
    /// The worker has restarted; requests sent to its earlier incarnation are lost.
    #[error("the worker has restarted")]
    Restarted,
    /// The worker is leaving the fleet or has left it; nothing was sent.
    #[error("the worker is leaving or gone")]
    Leaving,
    /// It could not be confirmed that the worker is healthy and not leaving; nothing was sent.
    #[error("the worker could not be confirmed: {0}")]
    Unconfirmed(&'static str),
    /// The worker's zone is being evacuated; nothing was sent.
    #[error("the worker's zone is evacuated")]
    Evacuated,
    /// The worker is in slow start and there is no permit for the request; nothing was sent.
    #[error("no slow-start permit for a cold worker")]
    Cold,
    /// The worker sent nothing within the timeout that applied.
    #[error("silent for too long")]
    Silent,
    /// The response ended in the middle of an event.
    #[error("the response ended within an event")]
    Truncated,
    /// The response body is longer than what may be held of it.
    #[error("the response body exceeds the size limit")]
    TooLong,
    /// The response is a stream that begins and ended without any event.
    #[error("the response ended without an event")]
    NoEvents,
}

impl BreakReason {
    /// Returns whether the worker could not be reached or did not respond, in which case other
    /// nodes can expect no response either.
    pub fn is_unresponsive(&self) -> bool {
        matches!(
            self,
            BreakReason::Connect(_) | BreakReason::Refused | BreakReason::Silent
        )
    }

    /// Returns whether the connection or the response broke off, which other nodes may see too.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, BreakReason::Connection(_) | BreakReason::Truncated)
    }

    /// Returns whether the reason counts as a failure of the worker. It does not if the request
    /// was held back because of an evacuation or slow start.
    pub fn is_failure(&self) -> bool {
        !matches!(self, BreakReason::Evacuated | BreakReason::Cold)
    }

    /// Returns whether a crash of the worker may be the cause. A worker that sent an invalid
    /// response is still running.
    pub fn may_be_crash(&self) -> bool {
        matches!(
            self,
            BreakReason::Connection(_)
                | BreakReason::Truncated
                | BreakReason::Silent
                | BreakReason::Restarted
        )
    }
}
