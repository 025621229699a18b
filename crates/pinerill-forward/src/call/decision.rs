//! What follows an attempt. Pure: the one place that decides whether a call
//! may be sent again.

use std::time::Duration;

use pinerill_calls::protocol::Refusal;
use pinerill_calls::table::RouteKind;

/// When a caller shall come back after a refusal for want of room, if nothing better
/// is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);

/// How an attempt ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing was sent, or the worker promised that it did not run.
    NotRun,
    /// It was sent nowhere, since it can't be served in time.
    SentAway {
        /// When to come back.
        retry_after: Duration,
    },
    /// It was sent nowhere, since it is known to crash the workers that run it.
    CrashesWorkers,
    /// The worker may have run it; it broke off, was silent or answered
    /// nonsense.
    MayHaveRun,
}

/// What follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Another attempt, at another worker if there is one.
    Again,
    /// No other attempt.
    Refuse(Refusal),
}

/// What happened to a call so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallProgress {
    kind: RouteKind,
    /// Workers on which it may still run.
    runs_left: u32,
    may_have_run: bool,
}

impl CallProgress {
    /// A call that was not sent yet.
    pub fn new(kind: RouteKind, attempts: u32) -> Self {
        CallProgress {
            kind,
            runs_left: attempts.max(1),
            may_have_run: false,
        }
    }

    /// Whether a worker may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Takes in the end of an attempt. `has_time` tells whether another one
    /// could still end in time.
    pub fn after(&mut self, end: AttemptEnd, has_time: bool) -> Next {
        if let AttemptEnd::SentAway { retry_after } = end {
            return Next::Refuse(self.sent_away(retry_after));
        }
        if end == AttemptEnd::CrashesWorkers {
            return Next::Refuse(Refusal::CrashesWorkers);
        }
        if end == AttemptEnd::MayHaveRun {
            self.may_have_run = true;
            self.runs_left = self.runs_left.saturating_sub(1);
        }
        if self.may_be_sent() && has_time {
            return Next::Again;
        }
        Next::Refuse(self.refusal())
    }

    /// Whether it may be sent to a worker: it never ran, or it may run again
    /// and on one more worker.
    pub fn may_be_sent(&self) -> bool {
        !self.may_have_run || (self.kind.may_repeat() && self.runs_left > 0)
    }

    /// Whether the call may go on at another worker if the one that has it now
    /// is left. Silence is no reason to leave one that nobody can follow.
    pub fn may_go_on_elsewhere(&self) -> bool {
        self.kind.may_repeat() && self.runs_left > 1
    }

    /// What the caller is told if nothing else follows. Only a call that no
    /// worker can have begun is called not run.
    pub fn refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::WorkerFailed("it broke off or was silent");
        }
        Refusal::NotRun {
            reason: "no worker took it",
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }

    fn sent_away(self, retry_after: Duration) -> Refusal {
        if self.may_have_run {
            return self.refusal();
        }
        Refusal::NotRun {
            reason: "it can't be served in time",
            retry_after: Some(retry_after),
        }
    }

    /// What the caller is told when the time is up.
    pub fn out_of_time(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::TimedOut;
        }
        self.refusal()
    }
}
