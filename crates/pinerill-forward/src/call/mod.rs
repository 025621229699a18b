//! A caller's call from its route to its answer.
//!
//! | module | job |
//! |---|---|
//! | `decision` | what follows an attempt; pure |
//! | `request` | what a call is, for all its attempts |
//! | `attempt` | one attempt at one worker, up to the head of its answer |
//! | `online` | attempts until there is an answer |
//! | `relay` | events to the caller, continued at another worker if need be |
//! | `record` | the log line of a call |

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
