//! Traits that translate between external HTTP protocols and the types of this workspace.
//!
//! There is one trait each for callers, operators, workers and the platform's worker list. An
//! implementation contains only the header names, paths and formats of a platform. It makes no
//! decisions: it has no timers, no retries and no state. Nodes and control machines depend on
//! these traits alone, never on an implementation.

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

/// A complete HTTP response in the format of an external protocol.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Response headers, except those that frame the body, such as `content-length`.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Returns a response with this status, no headers and an empty body.
    pub fn with_status(status: StatusCode) -> Self {
        HttpAnswer {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}
