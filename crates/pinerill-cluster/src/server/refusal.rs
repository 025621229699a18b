//! Refusals of internal requests.

use std::fmt::Display;
use std::net::SocketAddr;

use pinerill_calls::message::MachineRecord;
use pinerill_wire::message::{Refusal, RefusalCode};

/// Another machine leads, or none.
pub(super) fn not_leader(
    own: &MachineRecord,
    leader: Option<SocketAddr>,
    step: &'static str,
) -> Box<Refusal> {
    let mut refusal = of(own, RefusalCode::NotLeader, step, "not the leader");
    refusal.leader = leader.filter(|address| *address != own.address);
    refusal
}

/// Certainly not done.
pub(super) fn unavailable(
    own: &MachineRecord,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    of(own, RefusalCode::Unavailable, step, error)
}

/// It may have been done.
pub(super) fn unknown(
    own: &MachineRecord,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    of(own, RefusalCode::OutcomeUnknown, step, error)
}

/// The request can't be right.
pub(super) fn invalid(
    own: &MachineRecord,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    of(own, RefusalCode::Invalid, step, error)
}

fn of(
    own: &MachineRecord,
    code: RefusalCode,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    let name = own.name.as_str();
    Box::new(Refusal::new(code, step, name, error))
}
