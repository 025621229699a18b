//! Failures of attempts, and their conversion to the failure that the caller
//! receives.

use pinerill_types::outcome::Outcome;

use super::Execution;
use crate::engine::Refusal;
use crate::failure::{FailureCode, RequestFailure};
use crate::membership::Engine;
use crate::online::retry::AttemptEnd;

/// Delay after which a caller may retry if the failure implies no better one,
/// in milliseconds.
pub(super) const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Why a request ends without an answer.
#[derive(Debug)]
pub(super) enum Stop {
    /// The request failed; the caller receives this failure.
    Failed(RequestFailure),
    /// The caller disconnected, so no failure is sent.
    CallerGone,
}

/// Describes an attempt that ended without a complete answer.
#[derive(Debug)]
pub(in crate::online) struct AttemptFailure {
    /// Whether the request may have run during the attempt.
    pub(in crate::online) end: AttemptEnd,
    /// Whether an attempt at another back end can succeed.
    pub(in crate::online) can_continue: bool,
    /// Code that the caller receives if no further attempt follows.
    pub(in crate::online) code: FailureCode,
    /// Step of the attempt that failed.
    pub(in crate::online) step: &'static str,
    /// Engine or script address at which the attempt ran.
    pub(in crate::online) peer: String,
    /// Description of the cause.
    pub(in crate::online) message: String,
}

/// Why a pending operation was interrupted.
pub(super) enum Interrupt {
    /// The deadline of the request passed.
    Deadline,
    /// The caller disconnected.
    CallerGone,
}

/// Why an attempt ends without a complete answer.
pub(super) enum AttemptStop {
    /// The attempt failed; a retry may follow.
    Failure(AttemptFailure),
    /// The caller disconnected.
    CallerGone,
}

impl Execution {
    pub(super) fn ended_by_engine(&self, engine: &Engine) -> AttemptStop {
        let message = "the engine ended the request early".to_owned();
        AttemptStop::Failure(self.failure(engine, AttemptEnd::MayHaveRun, "read", message))
    }

    pub(super) fn digest_mismatch(&self, engine: &Engine) -> AttemptStop {
        let message = "the digest over the whole answer does not fit".to_owned();
        let mut failure = self.failure(engine, AttemptEnd::MayHaveRun, "verify", message);
        failure.can_continue = false;
        AttemptStop::Failure(failure)
    }

    pub(super) fn failure(
        &self,
        engine: &Engine,
        end: AttemptEnd,
        step: &'static str,
        message: String,
    ) -> AttemptFailure {
        AttemptFailure {
            end,
            can_continue: true,
            code: FailureCode::BackendFailed,
            step,
            peer: engine.id.to_string(),
            message,
        }
    }
}

/// Returns the code that the caller receives if the refusal ends the request.
pub(super) fn refusal_code(refusal: &Refusal) -> FailureCode {
    match refusal.code.as_str() {
        "queue_full" => FailureCode::Overloaded,
        "leaving" | "model_not_loaded" | "loading" | "wrong_role" => FailureCode::NoBackend,
        "duplicate_request" => FailureCode::DuplicateRequest,
        _ if refusal.status == 400 => FailureCode::InvalidRequest,
        _ => FailureCode::BackendFailed,
    }
}

/// Converts the failure of the last attempt to the failure that the caller
/// receives. Failures that a retry by the caller cannot fix carry no
/// retry delay.
pub(super) fn final_failure(failure: AttemptFailure, outcome: Outcome) -> RequestFailure {
    let caller_may_retry = !matches!(
        failure.code,
        FailureCode::InvalidRequest | FailureCode::DuplicateRequest
    );
    RequestFailure {
        code: failure.code,
        outcome,
        step: failure.step,
        peer: failure.peer,
        message: failure.message,
        retry_after_ms: caller_may_retry.then_some(DEFAULT_RETRY_AFTER_MS),
    }
}
