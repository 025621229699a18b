//! An online request from its body to its answer.

mod answer;
mod delivery;
mod execution;
mod prefill;
mod request;
mod retry;
mod script;

pub use answer::Encoder;
pub use delivery::{Delivery, Event, EVENT_BUFFER_CAPACITY};
pub use execution::{execute, ExecutionContext, OnlineRequest};
pub use request::{parse_request, ParsedRequest, RequestKind, RequestProblem};
pub use retry::{decide, AttemptEnd, Decision, RetryBudget, Situation};
