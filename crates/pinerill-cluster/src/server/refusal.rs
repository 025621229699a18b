//! Constructors of refusals of internal requests. In each of them, `step` names the operation that
//! was refused.

use std::fmt::Display;
use std::net::SocketAddr;

use pinerill_calls::message::MachineRecord;
use pinerill_wire::message::{Refusal, RefusalCode};

/// Returns a refusal by a machine that does not lead. It names the leader if one is known and is
/// another machine.
pub(super) fn not_leader(
    own: &MachineRecord,
    leader: Option<SocketAddr>,
    step: &'static str,
) -> Box<Refusal> {
    let mut refusal = new_refusal(own, RefusalCode::NotLeader, step, "not the leader");
    refusal.leader = leader.filter(|address| *address != own.address);
    refusal
}

/// Returns a refusal of a request that was certainly not carried out.
pub(super) fn unavailable(
    own: &MachineRecord,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    new_refusal(own, RefusalCode::Unavailable, step, error)
}

/// Returns a refusal of a request that may have been carried out.
pub(super) fn unknown(
    own: &MachineRecord,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    new_refusal(own, RefusalCode::OutcomeUnknown, step, error)
}

/// Returns a refusal of a request that is invalid or can't be decoded.
pub(super) fn invalid(
    own: &MachineRecord,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    new_refusal(own, RefusalCode::Invalid, step, error)
}

fn new_refusal(
    own: &MachineRecord,
    code: RefusalCode,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    let name = own.name.as_str();
    Box::new(Refusal::new(code, step, name, error))
}
