//! The protocols between nodes and workers, and of the platform's worker list.

use std::time::Duration;

use http::response::Parts;
use http::HeaderMap;
use thiserror::Error;

use crate::directory::WorkerPage;
use crate::job::Header;

/// Builds the headers of requests to workers and parses the heads of their responses.
pub trait WorkerProtocol: Send + Sync + 'static {
    /// Returns the request headers of a forwarded call, built from the caller's headers.
    fn call_headers(&self, caller: &HeaderMap, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Returns the request headers of an item of a job. `id` is the name that the caller
    /// gave the item, and `host` the host that the job was sent to.
    fn item_headers(
        &self,
        id: &str,
        host: &str,
        headers: &[Header],
        attempt: &AttemptContext<'_>,
    ) -> HeaderMap;

    /// Parses the head of a worker's response.
    fn read_answer(&self, head: &Parts) -> WorkerAnswer;

    /// Parses the head of a worker's response to a health check.
    fn read_health(&self, head: &Parts) -> HealthAnswer;

    /// Returns the headers of a worker's response that are passed on to the caller.
    fn answer_headers(&self, worker: &HeaderMap) -> HeaderMap;
}

/// Properties of one attempt that a worker receives in the request headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext<'a> {
    /// Time left until the deadline; `None` for items of jobs.
    pub remaining: Option<Duration>,
    /// Incarnation of the worker for which the request is meant. Another incarnation at the same
    /// address does not run it.
    pub worker: &'a str,
    /// Identifier of the last event received from earlier attempts, after which the stream
    /// continues; `None` if no event was received.
    pub resume_after: Option<u64>,
    /// Tenant on whose behalf the request runs, if any. A tenant that the caller names in its own
    /// headers is not passed on.
    pub tenant: Option<&'a str>,
}

/// Parsed head of a worker's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAnswer {
    /// Identifier of the request to which the worker responds; `None` if the response has none.
    pub id: Option<String>,
    /// Whether the worker has marked the response as that to a request.
    pub is_stamped: bool,
    /// Whether the worker has marked the response as that to a health check.
    pub is_health_answer: bool,
    /// Whether the worker has marked the response as that to a request that it did not run.
    pub is_refusal: bool,
    /// Outcome of the request.
    pub verdict: Verdict,
    /// Load of the worker when it responded; `None` if the response does not report it.
    pub load: Option<LoadSample>,
    /// Whether the worker closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the response body has a content encoding, such as compression by a proxy.
    pub has_content_encoding: bool,
}

/// Parsed head of a worker's response to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// Whether the worker is healthy and is not about to stop.
    pub healthy: bool,
    /// Incarnation of the worker that responded; `None` if it does not report it.
    pub worker: Option<String>,
    /// Time until the worker has warmed up, in milliseconds; `None` if it does not report it.
    pub cold_left_ms: Option<u64>,
}

/// Outcome of a request at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The worker accepted the request; the response body is the result.
    Accepted,
    /// The worker has not run the request and will not run it.
    NotRun(NotRunReason),
    /// No worker can ever process the request.
    Impossible,
    /// The worker ran the request, and the run failed.
    Failed,
    /// Any other response: neither a result nor a failed run. The request may have run. For a
    /// call, the response is passed on to the caller.
    Other,
}

/// Why a worker did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The worker has no free slot, or does not accept requests at the moment.
    Full,
    /// Another worker or another incarnation of the worker has this address.
    OtherWorker,
}

impl std::fmt::Display for NotRunReason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            NotRunReason::Full => "no room",
            NotRunReason::OtherWorker => "another worker is there",
        })
    }
}

/// Load that a worker reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Number of requests that the worker is processing.
    pub running: u32,
    /// Number of requests in the worker's queue.
    pub waiting: u32,
    /// Maximum number of requests that the worker processes at the same time.
    pub slots: u32,
    /// Current processing time in percent of the usual one; `None` if the worker does not report
    /// it.
    pub work_percent: Option<u32>,
}

/// Builds requests to the platform's worker list and parses its pages.
pub trait WorkerListProtocol: Send + Sync + 'static {
    /// Returns the path and the query of a page. `token` comes from the previous page; without
    /// one, the first page is requested.
    fn page_path(&self, token: Option<&str>) -> String;

    /// Parses the body of a page.
    ///
    /// # Errors
    /// Returns an error if the body is not a valid page.
    fn read_page(&self, body: &[u8]) -> Result<WorkerPage, MalformedPage>;
}

/// Error of a page of the worker list that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("page of the platform list: {0}")]
pub struct MalformedPage(pub String);
