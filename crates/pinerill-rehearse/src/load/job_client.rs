//! A tenant's client of the batch API of pinerill's nodes.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{bail, Context};
use pinerill_types::job::{ItemCounts, ItemState, JobState};
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{sleep, Instant};

use super::content::BatchItem;
use super::sse::{ErrorBody, FailureBody};
use crate::answer::text_digest;
use crate::check::ItemObservation;

/// Pause before a call is sent again, and between two looks at a job.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for one answer, so that a node that is cut off or frozen does
/// not hold the tenant up.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// A job as a node answers it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct JobView {
    /// Its identifier.
    pub id: String,
    /// Its state.
    pub state: JobState,
    /// Its items by state.
    pub counts: ItemCounts,
}

/// Why a call was not answered with success.
#[derive(Clone, Debug, thiserror::Error)]
pub enum JobCallError {
    /// No answer came.
    #[error("{step} with {peer}: {message}")]
    NoAnswer {
        /// What was asked.
        step: &'static str,
        /// The node.
        peer: SocketAddr,
        /// What went wrong.
        message: String,
    },
    /// The node answered with a failure.
    #[error("{step} with {peer}: status {status}, {} ({})", error.code, error.message)]
    Refused {
        /// What was asked.
        step: &'static str,
        /// The node.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// The failure.
        error: Box<ErrorBody>,
    },
}

impl JobCallError {
    /// Whether the same call may succeed later: no answer, or a refusal that
    /// is not the caller's fault.
    pub fn is_passing(&self) -> bool {
        match self {
            Self::NoAnswer { .. } => true,
            Self::Refused { status, .. } => *status >= 500 || *status == 429,
        }
    }

    /// The refusal's HTTP status.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::NoAnswer { .. } => None,
            Self::Refused { status, .. } => Some(*status),
        }
    }
}

/// Calls nodes in turn.
#[derive(Debug)]
pub struct JobClient {
    client: Client,
    nodes: Vec<SocketAddr>,
    key: String,
    next: AtomicUsize,
}

impl JobClient {
    /// A client of `nodes` with a tenant's bearer key.
    pub fn new(client: Client, nodes: Vec<SocketAddr>, key: String) -> Self {
        Self {
            client,
            nodes,
            key,
            next: AtomicUsize::new(0),
        }
    }

    /// Submits a job once, at the next node.
    ///
    /// # Errors
    /// [`JobCallError`].
    pub async fn submit(&self, key: &str, lines: &str) -> Result<JobView, JobCallError> {
        let node = self.next_node();
        let call = self.client.post(url(node, "/v1/batches"));
        let call = call.header("Idempotency-Key", key).body(lines.to_owned());
        self.json("submit a job", node, call).await
    }

    /// Submits a job until it is acknowledged, with the same key each time.
    ///
    /// # Errors
    /// A refusal that no retry mends, or the last failure after `limit`.
    pub async fn submit_until_acknowledged(
        &self,
        key: &str,
        lines: &str,
        limit: Duration,
    ) -> Result<JobView, JobCallError> {
        let end = Instant::now() + limit;
        loop {
            match self.submit(key, lines).await {
                Err(error) if error.is_passing() && Instant::now() < end => {}
                result => return result,
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads a job once.
    ///
    /// # Errors
    /// [`JobCallError`].
    pub async fn status(&self, id: &str) -> Result<JobView, JobCallError> {
        let node = self.next_node();
        let call = self.client.get(url(node, &format!("/v1/batches/{id}")));
        self.json("read a job", node, call).await
    }

    /// Cancels a job once.
    ///
    /// # Errors
    /// [`JobCallError`].
    pub async fn cancel(&self, id: &str) -> Result<JobView, JobCallError> {
        let node = self.next_node();
        let path = format!("/v1/batches/{id}/cancel");
        let call = self.client.post(url(node, &path));
        self.json("cancel a job", node, call).await
    }

    /// Cancels a job until that is acknowledged.
    ///
    /// # Errors
    /// A refusal that no retry mends, or the last failure after `limit`.
    pub async fn cancel_until_acknowledged(
        &self,
        id: &str,
        limit: Duration,
    ) -> Result<JobView, JobCallError> {
        let end = Instant::now() + limit;
        loop {
            match self.cancel(id).await {
                Err(error) if error.is_passing() && Instant::now() < end => {}
                result => return result,
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until all items of a job have ended.
    ///
    /// # Errors
    /// After `limit`, with what was seen last.
    pub async fn await_end(&self, id: &str, limit: Duration) -> anyhow::Result<JobView> {
        let end = Instant::now() + limit;
        loop {
            let seen = self.status(id).await;
            if let Ok(view) = &seen {
                let open = view.counts.pending + view.counts.leased;
                if open == 0 && view.state != JobState::Receiving {
                    return Ok(view.clone());
                }
            }
            if Instant::now() >= end {
                bail!("job {id} has not ended after {limit:?}: {seen:?}");
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the results so far, until a reading succeeds.
    ///
    /// # Errors
    /// After `limit`, or when a line is malformed.
    pub async fn output(&self, id: &str, limit: Duration) -> anyhow::Result<Vec<ItemObservation>> {
        let end = Instant::now() + limit;
        loop {
            match self.output_text(id).await {
                Ok(text) => return parse_output(&text),
                Err(error) if !error.is_passing() || Instant::now() >= end => {
                    return Err(error.into())
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn output_text(&self, id: &str) -> Result<String, JobCallError> {
        const STEP: &str = "read results";
        let node = self.next_node();
        let path = format!("/v1/batches/{id}/output");
        let call = self.client.get(url(node, &path));
        let response = self.send(STEP, node, call).await?;
        response.text().await.map_err(no_answer(STEP, node))
    }

    async fn json<T: serde::de::DeserializeOwned>(
        &self,
        step: &'static str,
        node: SocketAddr,
        call: RequestBuilder,
    ) -> Result<T, JobCallError> {
        let response = self.send(step, node, call).await?;
        response.json().await.map_err(no_answer(step, node))
    }

    async fn send(
        &self,
        step: &'static str,
        node: SocketAddr,
        call: RequestBuilder,
    ) -> Result<Response, JobCallError> {
        let call = call.bearer_auth(&self.key).timeout(ANSWER_TIME);
        let response = call.send().await.map_err(no_answer(step, node))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body: FailureBody = response.json().await.unwrap_or_default();
        Err(JobCallError::Refused {
            step,
            peer: node,
            status: status.as_u16(),
            error: Box::new(body.error),
        })
    }

    fn next_node(&self) -> SocketAddr {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.nodes[turn % self.nodes.len()]
    }
}

/// The body of a job: one line of JSON for each item.
pub fn job_lines(service: &str, items: &[BatchItem]) -> String {
    let mut lines = String::new();
    for item in items {
        let line = json!({
            "custom_id": item.custom_id,
            "method": "POST",
            "url": "/v1/completions",
            "at_most_once": item.at_most_once,
            "body": {
                "model": service,
                "prompt": item.prompt,
                "max_tokens": item.max_tokens,
            },
        });
        // Writing to a string can't fail.
        let _ = writeln!(lines, "{line}");
    }
    lines
}

/// One line of a job's output.
#[derive(Deserialize)]
struct OutputLine {
    custom_id: String,
    index: u32,
    state: ItemState,
    response: Option<ItemResponse>,
}

#[derive(Deserialize)]
struct ItemResponse {
    body: ItemBody,
}

#[derive(Deserialize)]
struct ItemBody {
    choices: Vec<ItemChoice>,
}

#[derive(Deserialize)]
struct ItemChoice {
    text: String,
}

/// Reads a job's output.
///
/// # Errors
/// When a line is not of the expected shape.
pub fn parse_output(text: &str) -> anyhow::Result<Vec<ItemObservation>> {
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    lines
        .map(|line| {
            let parsed: OutputLine =
                serde_json::from_str(line).with_context(|| format!("output line {line}"))?;
            Ok(parsed.into_observation())
        })
        .collect()
}

impl OutputLine {
    fn into_observation(self) -> ItemObservation {
        let body = self.response.map(|response| response.body);
        let text = body.and_then(|body| body.choices.into_iter().next());
        ItemObservation {
            custom_id: self.custom_id,
            index: self.index,
            state: self.state,
            digest: text.map(|choice| text_digest(&choice.text)),
        }
    }
}

fn url(node: SocketAddr, path: &str) -> String {
    format!("http://{node}{path}")
}

fn no_answer(step: &'static str, peer: SocketAddr) -> impl Fn(reqwest::Error) -> JobCallError {
    move |error| JobCallError::NoAnswer {
        step,
        peer,
        message: error.to_string(),
    }
}
