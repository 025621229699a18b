//! How workers are asked, what they answer, and how they are listed.

use std::time::Duration;

use http::response::Parts;
use http::HeaderMap;
use thiserror::Error;

use crate::directory::WorkerPage;
use crate::job::Header;

/// Writes requests to workers and reads their answers.
pub trait WorkerProtocol: Send + Sync + 'static {
    /// Headers for a forwarded call.
    fn call_headers(&self, caller: &HeaderMap, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Headers for an item of a job.
    fn item_headers(
        &self,
        id: &str,
        host: &str,
        headers: &[Header],
        attempt: &AttemptContext<'_>,
    ) -> HeaderMap;

    /// What an answer's head says.
    fn read_answer(&self, head: &Parts) -> WorkerAnswer;

    /// What the head of an answer at a worker's health path says.
    fn read_health(&self, head: &Parts) -> HealthAnswer;

    /// Headers of a worker's answer that are passed on to the caller.
    fn answer_headers(&self, worker: &HeaderMap) -> HeaderMap;
}

/// What a worker is told about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext<'a> {
    /// Time that is left for it; none for items of jobs.
    pub remaining: Option<Duration>,
    /// The start of the worker that is meant.
    pub worker: &'a str,
    /// The last event that has arrived.
    pub resume_after: Option<u64>,
    /// The tenant on whose behalf it runs; whatever the caller says of one is not passed on.
    pub tenant: Option<&'a str>,
}

/// What the head of a worker's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAnswer {
    /// The request that it answers, as the worker names it.
    pub id: Option<String>,
    /// What became of the request.
    pub verdict: Verdict,
    /// The worker's load as it answered.
    pub load: Option<LoadSample>,
    /// The worker closes the connection after this answer.
    pub closes: bool,
    /// The answer's body has been encoded on its way.
    pub encoded: bool,
}

/// What a worker says of itself when it is asked for its health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// It is sound, and is not leaving.
    pub healthy: bool,
    /// The start of a worker that answers, if it names itself.
    pub worker: Option<String>,
    /// Time for which it is still cold, milliseconds; none if it doesn't say.
    pub cold_left_ms: Option<u64>,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was taken; the body is its answer.
    Accepted,
    /// It did not run and never will.
    NotRun(NotRunReason),
    /// It can never be done.
    Impossible,
    /// It ran and failed.
    Failed,
    /// Any other answer of the worker's own, to be passed on.
    Other,
}

/// Why a worker did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No room, or not now.
    Full,
    /// Another start of a worker has this address.
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

/// A worker's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once at most.
    pub slots: u32,
    /// Time that work takes there now, in percent of the usual; none if it doesn't say.
    pub work_percent: Option<u32>,
}

/// Reads the platform list.
pub trait WorkerListProtocol: Send + Sync + 'static {
    /// Path and query of a page; the first one without a token.
    fn page_path(&self, token: Option<&str>) -> String;

    /// Reads a page's body.
    ///
    /// # Errors
    /// When it is not a page.
    fn read_page(&self, body: &[u8]) -> Result<WorkerPage, MalformedPage>;
}

/// A page of the platform list that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("page of the platform list: {0}")]
pub struct MalformedPage(pub String);
