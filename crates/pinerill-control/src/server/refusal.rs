//! Refusals of the control server.

use std::net::SocketAddr;

use pinerill_wire::message::{Refusal, RefusalCode, Response};

use crate::host::{ProposeError, ReadError};

/// When to come back while there is no leader, milliseconds.
pub(super) const NO_LEADER_RETRY_MS: u64 = 200;

/// A refusal at this machine.
pub(super) fn refused(
    code: RefusalCode,
    step: &str,
    peer: &str,
    message: impl std::fmt::Display,
) -> Response {
    Response::Refused(Refusal::new(code, step, peer, message))
}

/// The refusal for a proposal that has no answer.
pub(super) fn propose_refused(
    error: &ProposeError,
    step: &str,
    peer: &str,
    leader: Option<SocketAddr>,
) -> Response {
    let code = match error {
        ProposeError::NotLeader { .. } => RefusalCode::NotLeader,
        ProposeError::Unknown => RefusalCode::OutcomeUnknown,
        ProposeError::Busy | ProposeError::Stopped => RefusalCode::Unavailable,
    };
    let mut refusal = Refusal::new(code, step, peer, error);
    refusal.leader = leader;
    refusal.retry_after_ms = Some(NO_LEADER_RETRY_MS);
    Response::Refused(refusal)
}

/// The refusal for a read that was not confirmed.
pub(super) fn read_refused(error: &ReadError, step: &str, peer: &str) -> Response {
    let mut refusal = Refusal::new(RefusalCode::Unavailable, step, peer, error);
    refusal.retry_after_ms = Some(NO_LEADER_RETRY_MS);
    Response::Refused(refusal)
}
