//! Exit codes that scripts can use.

use std::process::ExitCode;

use pinerill_types::settings::SettingsError;
use pinerill_wire::api::{CallError, CallErrorKind};
use pinerill_wire::connection::KeyError;
use pinerill_wire::message::RefusalCode;
use serde_json::Value;

/// Shown below `--help`.
pub const HELP: &str = "Exit codes: 0 done; 1 failed; 2 wrong usage, settings or document; \
3 refused (conflict, not found, over a limit, wrong state); \
4 unavailable, certainly not done; 5 outcome unknown, run the same command again.";

const FAILED: u8 = 1;
const WRONG_INPUT: u8 = 2;
const REFUSED: u8 = 3;
const UNAVAILABLE: u8 = 4;
const UNKNOWN: u8 = 5;

/// A document or an argument that can't be right.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct WrongInput(pub String);

/// An answer of the callers' API that says no.
#[derive(Debug, thiserror::Error)]
#[error("{step} with {peer}: status {status}: {message}")]
pub struct HttpRefusal {
    /// What was asked.
    pub step: String,
    /// The node.
    pub peer: String,
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub message: String,
}

impl HttpRefusal {
    /// Whether the answer promises that nothing was done.
    fn is_not_run(&self) -> bool {
        let body: Value = serde_json::from_str(&self.message).unwrap_or_default();
        body["error"]["outcome"] == "not_run"
    }
}

/// A call of the callers' API without a whole answer.
#[derive(Debug, thiserror::Error)]
#[error("{step} with {peer}: {message}")]
pub struct HttpFailure {
    /// What was asked.
    pub step: String,
    /// The node.
    pub peer: String,
    /// What went wrong.
    pub message: String,
    /// Whether the node certainly did not get the call.
    pub not_sent: bool,
}

/// Prints the error and gives its exit code.
pub fn report(error: &anyhow::Error) -> ExitCode {
    eprintln!("pinerill: {error:#}");
    ExitCode::from(code(error))
}

fn code(error: &anyhow::Error) -> u8 {
    if error.is::<WrongInput>() || error.is::<SettingsError>() || error.is::<KeyError>() {
        return WRONG_INPUT;
    }
    if let Some(call) = error.downcast_ref::<CallError>() {
        return call_code(call);
    }
    if let Some(refusal) = error.downcast_ref::<HttpRefusal>() {
        return http_code(refusal);
    }
    if let Some(failure) = error.downcast_ref::<HttpFailure>() {
        return if failure.not_sent {
            UNAVAILABLE
        } else {
            UNKNOWN
        };
    }
    FAILED
}

fn call_code(error: &CallError) -> u8 {
    match &error.kind {
        CallErrorKind::NotSent => UNAVAILABLE,
        CallErrorKind::Unknown => UNKNOWN,
        CallErrorKind::Refused(refusal) => match refusal.code {
            RefusalCode::NotLeader | RefusalCode::UnknownGroup | RefusalCode::Unavailable => {
                UNAVAILABLE
            }
            RefusalCode::OutcomeUnknown => UNKNOWN,
            RefusalCode::Invalid => WRONG_INPUT,
            RefusalCode::NotFound
            | RefusalCode::Conflict
            | RefusalCode::OverLimit
            | RefusalCode::WrongState => REFUSED,
        },
    }
}

fn http_code(refusal: &HttpRefusal) -> u8 {
    match refusal.status {
        400 | 413 => WRONG_INPUT,
        401 | 403 | 404 | 409 | 429 => REFUSED,
        503 if refusal.is_not_run() => UNAVAILABLE,
        _ => UNKNOWN,
    }
}
