//! Ports: what a foreign manner of speaking has to translate.
//!
//! Implementations hold names, formats and calls, and decide nothing: no
//! timer, no retry, no choice, no state. Nodes and control machines are
//! written against these traits alone.

mod caller;
mod operator;
mod worker;

pub use caller::{
    CallHead, CallerAnswer, CallerProtocol, CallerRequest, MalformedRequest, PromptPart, Refusal,
};
pub use operator::{OperatorAnswer, OperatorProtocol, OperatorRequest};
pub use worker::{
    AttemptContext, HealthAnswer, LoadSample, MalformedPage, NotRunReason, Verdict, WorkerAnswer,
    WorkerListProtocol, WorkerProtocol,
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A whole answer in the foreign manner.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that frame the body.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// An answer without headers and body.
    pub fn with_status(status: StatusCode) -> Self {
        HttpAnswer {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}
