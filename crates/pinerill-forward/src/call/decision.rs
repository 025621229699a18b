//! Retry decisions after an attempt. Pure.
//!
//! This is the only place that decides whether a call may be sent to a worker again.

use std::time::Duration;

use pinerill_calls::protocol::Refusal;
use pinerill_calls::table::RouteKind;

use crate::drain;

/// Retry delay given to a caller that was refused for lack of capacity, if there is no better
/// estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);

/// How an attempt ended that gave no response for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing was sent, or the worker guarantees that the call did not run.
    NotRun,
    /// Admission rejected the call because it can't be served in time; nothing was sent.
    Rejected {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The node stops, and the call would get a slot too late; nothing was sent.
    NodeStops,
    /// The call continues a stream, and its service has no worker of the software version that
    /// began it; nothing was sent.
    SoftwareGone,
    /// The call is known to crash the workers that run it; nothing was sent.
    CrashesWorkers,
    /// The worker may have run the call: it broke off, did not respond in time or sent an invalid
    /// response.
    MayHaveRun,
}

/// The step that follows an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Make another attempt, at another worker if there is one.
    Retry,
    /// Make no other attempt and refuse the call.
    Refuse(Refusal),
}

/// Outcome of the attempts of a call so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallProgress {
    kind: RouteKind,
    /// Number of further workers on which the call may run.
    runs_left: u32,
    may_have_run: bool,
}

impl CallProgress {
    /// Returns the progress of a call that has not been sent yet. `attempts` is the route's limit
    /// on the workers that may run one call, and counts as 1 if it is 0.
    pub fn new(kind: RouteKind, attempts: u32) -> Self {
        CallProgress {
            kind,
            runs_left: attempts.max(1),
            may_have_run: false,
        }
    }

    /// Returns whether a worker may have run the call.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records the end of an attempt and returns the next step. `has_time` says whether another
    /// attempt could still end before the deadline.
    pub fn next_after(&mut self, end: AttemptEnd, has_time: bool) -> Next {
        if let AttemptEnd::Rejected { retry_after } = end {
            return Next::Refuse(self.rejection(retry_after));
        }
        if end == AttemptEnd::NodeStops {
            return Next::Refuse(self.refusal_at_stop(false));
        }
        if end == AttemptEnd::CrashesWorkers {
            return Next::Refuse(Refusal::CrashesWorkers);
        }
        if end == AttemptEnd::SoftwareGone {
            return Next::Refuse(self.software_refusal());
        }
        if end == AttemptEnd::MayHaveRun {
            self.may_have_run = true;
            self.runs_left = self.runs_left.saturating_sub(1);
        }
        if self.may_be_sent() && has_time {
            return Next::Retry;
        }
        Next::Refuse(self.refusal())
    }

    /// Returns whether the call may be sent to a worker: either it has certainly not run, or its
    /// route allows repetition and one more worker.
    pub fn may_be_sent(&self) -> bool {
        !self.may_have_run || (self.kind.may_repeat() && self.runs_left > 0)
    }

    /// Returns whether the call may continue at another worker if the current one is abandoned.
    /// If not, an unresponsive worker is waited for until the deadline.
    pub fn may_fail_over(&self) -> bool {
        self.kind.may_repeat() && self.runs_left > 1
    }

    /// Returns the refusal for a call that gets no further attempt. Only a call that no worker can
    /// have begun is reported as not run.
    pub fn refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::WorkerFailed("it broke off or was silent");
        }
        Refusal::NotRun {
            reason: "no worker took it",
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }

    fn rejection(self, retry_after: Duration) -> Refusal {
        if self.may_have_run {
            return self.refusal();
        }
        Refusal::NotRun {
            reason: "it can't be served in time",
            retry_after: Some(retry_after),
        }
    }

    /// Returns the refusal for a stream that no worker can continue. The caller is not told to come
    /// again, since workers of an older version don't return.
    fn software_refusal(self) -> Refusal {
        if self.may_have_run {
            return self.refusal();
        }
        Refusal::NotRun {
            reason: "no worker has the software version that began the stream",
            retry_after: None,
        }
    }

    /// Returns the refusal for a call of a stopping node. `is_sent` says whether an attempt is in
    /// progress that a worker may have begun.
    pub fn refusal_at_stop(&self, is_sent: bool) -> Refusal {
        if is_sent {
            return Refusal::TimedOut;
        }
        match self.may_have_run {
            true => self.refusal(),
            false => drain::not_run(),
        }
    }

    /// Returns the refusal for a call whose deadline is reached.
    pub fn timeout_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::TimedOut;
        }
        self.refusal()
    }
}
