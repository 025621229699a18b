//! Online requests: parses the body, runs the request at engines with retries,
//! and encodes the answer. The gateway calls this module for each admitted
//! request; batch code uses its parser and encoder.

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
pub use retry::{decide, AttemptEnd, Decision, RetryBudget, RetryContext};
