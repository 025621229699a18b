//! Exit codes that scripts can use.

use std::process::ExitCode;

use pinerill_types::settings::SettingsError;
use pinerill_wire::api::{CallError, CallErrorKind};
use pinerill_wire::message::RefusalCode;

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

/// Prints the error and gives its exit code.
pub fn report(error: &anyhow::Error) -> ExitCode {
    eprintln!("pinerill: {error:#}");
    ExitCode::from(code(error))
}

fn code(error: &anyhow::Error) -> u8 {
    if error.is::<WrongInput>() || error.is::<SettingsError>() {
        return WRONG_INPUT;
    }
    if let Some(call) = error.downcast_ref::<CallError>() {
        return call_code(call);
    }
    if let Some(refusal) = error.downcast_ref::<HttpRefusal>() {
        return http_code(refusal.status);
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

fn http_code(status: u16) -> u8 {
    match status {
        400 | 413 => WRONG_INPUT,
        401 | 403 | 404 | 409 | 429 => REFUSED,
        503 => UNAVAILABLE,
        _ => UNKNOWN,
    }
}
