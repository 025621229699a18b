//! The phase in which things fail: what fails when, how it is brought about,
//! and what it cost.

mod figures;
mod inject;
mod plan;

pub use figures::{cut_requests, FailureFigures, FailureNotes, FailureSpan, OneFailure};
pub use inject::{inject, Injected, LostUsage};
pub use plan::{plan_failures, FailureKind, FailurePlan, FleetSize, PlannedFailure};
