//! Refusals of internal requests.

use std::fmt::Display;

use pinerill_wire::message::{Refusal, RefusalCode};

use super::control::Control;

/// Another machine leads, or none.
pub(super) fn not_leader(control: &Control, step: &'static str) -> Box<Refusal> {
    let leader = control.leader_address();
    let own = control.record.address;
    let mut refusal = of(control, RefusalCode::NotLeader, step, "not the leader");
    refusal.leader = leader.filter(|address| *address != own);
    refusal
}

/// Certainly not done.
pub(super) fn unavailable(
    control: &Control,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    of(control, RefusalCode::Unavailable, step, error)
}

/// It may have been done.
pub(super) fn unknown(control: &Control, step: &'static str, error: impl Display) -> Box<Refusal> {
    of(control, RefusalCode::OutcomeUnknown, step, error)
}

/// The request can't be right.
pub(super) fn invalid(control: &Control, step: &'static str, error: impl Display) -> Box<Refusal> {
    of(control, RefusalCode::Invalid, step, error)
}

fn of(
    control: &Control,
    code: RefusalCode,
    step: &'static str,
    error: impl Display,
) -> Box<Refusal> {
    let name = control.record.name.as_str();
    Box::new(Refusal::new(code, step, name, error))
}
