//! How attempts and requests fail.

use pinerill_types::outcome::Outcome;

use super::Execution;
use crate::engine::Refusal;
use crate::failure::{FailureCode, RequestFailure};
use crate::membership::Engine;
use crate::online::retry::AttemptEnd;

/// When to come back after a failure that says nothing better, milliseconds.
pub(super) const RETRY_AFTER_DEFAULT_MS: u64 = 1_000;

/// Why a request stops without its answer.
#[derive(Debug)]
pub(super) enum Stop {
    /// The final answer.
    Failed(RequestFailure),
    /// Nobody waits for it any more.
    CallerGone,
}

/// An attempt that ended without the whole answer.
#[derive(Debug)]
pub(in crate::online) struct AttemptFailure {
    /// Whether it may have run.
    pub(in crate::online) end: AttemptEnd,
    /// Whether another attempt makes sense.
    pub(in crate::online) can_continue: bool,
    /// What a caller is told if this was the last.
    pub(in crate::online) code: FailureCode,
    /// The step that failed.
    pub(in crate::online) step: &'static str,
    /// The peer it was with.
    pub(in crate::online) peer: String,
    /// What went wrong.
    pub(in crate::online) message: String,
}

/// What ends work that waits.
pub(super) enum Interrupt {
    /// The deadline passed.
    Deadline,
    /// Nobody waits for the answer any more.
    CallerGone,
}

/// Why an attempt stops without its answer.
pub(super) enum AttemptStop {
    /// It failed.
    Failure(AttemptFailure),
    /// Nobody waits for the answer any more.
    CallerGone,
}

impl Execution {
    pub(super) fn ended_by_engine(&self, engine: &Engine) -> AttemptStop {
        let message = "the engine ended the request early".to_owned();
        AttemptStop::Failure(self.failure(engine, AttemptEnd::MaybeRun, "read", message))
    }

    pub(super) fn wrong_digest(&self, engine: &Engine) -> AttemptStop {
        let message = "the digest over the whole answer does not fit".to_owned();
        let mut failure = self.failure(engine, AttemptEnd::MaybeRun, "verify", message);
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

/// What a caller is told of a refusal that was the last.
pub(super) fn refusal_code(refusal: &Refusal) -> FailureCode {
    match refusal.code.as_str() {
        "queue_full" => FailureCode::Overloaded,
        "leaving" | "model_not_loaded" | "loading" | "wrong_role" => FailureCode::NoBackend,
        "duplicate_request" => FailureCode::DuplicateRequest,
        _ if refusal.status == 400 => FailureCode::InvalidRequest,
        _ => FailureCode::BackendFailed,
    }
}

/// The final answer after an attempt's failure.
pub(super) fn final_failure(failure: AttemptFailure, outcome: Outcome) -> RequestFailure {
    let comes_back = !matches!(
        failure.code,
        FailureCode::InvalidRequest | FailureCode::DuplicateRequest
    );
    RequestFailure {
        code: failure.code,
        outcome,
        step: failure.step,
        peer: failure.peer,
        message: failure.message,
        retry_after_ms: comes_back.then_some(RETRY_AFTER_DEFAULT_MS),
    }
}
