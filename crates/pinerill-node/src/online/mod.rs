//! An online request from its body to its answer.

mod answer;
mod delivery;
mod execution;
mod prefill;
mod request;
mod retry;
mod script;

pub use answer::Encoder;
pub use delivery::{Delivery, Event, EVENTS_IN_FLIGHT};
pub use execution::{execute, ExecutionContext, OnlineRequest};
pub use request::{parse_request, ParsedRequest, RequestKind, RequestProblem};
pub use retry::{decide, AttemptEnd, Decision, RetryBudget, Situation};
