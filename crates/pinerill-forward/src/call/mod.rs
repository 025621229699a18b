//! Execution of an admitted call: attempts at workers until the caller has a response.
//!
//! | module | purpose |
//! |---|---|
//! | `decision` | decides whether a call is retried or refused after an attempt; pure |
//! | `request` | the parts of a call that are the same for every attempt, and its timeouts |
//! | `attempt` | one attempt at one worker, up to the head of the response |
//! | `online` | the loop of attempts, and responses that are buffered as a whole |
//! | `relay` | event streams to the caller, with fail-over to another worker |
//! | `record` | log line and metrics of a call |

mod attempt;
pub mod decision;
mod online;
mod record;
mod relay;
mod request;

pub use attempt::{Attempted, Attempts};
pub use online::run_call;
pub use record::{CallOutcome, CallRecord};
pub use relay::{AnswerBody, RelayError};
pub use request::Call;
