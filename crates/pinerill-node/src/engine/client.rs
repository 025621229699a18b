//! HTTP client for one engine. Each failure says whether the engine may have
//! received the request, which decides whether a retry is safe.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, Response, StatusCode};
use serde::Deserialize;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections that a client for single use keeps.
const MAX_IDLE_CONNECTIONS: usize = 0;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the response headers of an attach.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a pause or unpause call.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Error code of a refusal because the engine already has a request of that
/// identifier.
const DUPLICATE_REQUEST: &str = "duplicate_request";

/// Scheduling class of a request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Gets a slot before batch requests.
    Online,
    /// Yields its slot to online requests.
    Batch,
}

impl Priority {
    fn header_value(self) -> &'static str {
        match self {
            Self::Online => "online",
            Self::Batch => "batch",
        }
    }
}

/// A completion request to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall<'a> {
    /// URL path, `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// Identifier under which the engine knows the request.
    pub request_id: &'a str,
    /// Scheduling class at the engine.
    pub priority: Priority,
    /// Adapter as `adapter@version`; None to use the model alone.
    pub adapter: Option<&'a str>,
    /// Handle of an imported KV cache that replaces the prefill, if any.
    pub kv_handle: Option<&'a str>,
    /// Number of answer tokens that are already delivered, from which the engine
    /// continues.
    pub continue_from: u32,
    /// Whether the request must not run again once it may have run, so that a refusal
    /// must certainly be its own.
    pub at_most_once: bool,
    /// Request body in JSON.
    pub body: Bytes,
}

/// An error response of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status of the response.
    pub status: u16,
    /// Error code, such as `leaving`; empty if the body has none.
    pub code: String,
    /// Error message for humans; empty if the body has none.
    pub message: String,
    /// Whether the engine guarantees that the request did not and will not run.
    /// Always false for a duplicate, whose first request may have run.
    pub not_started: bool,
}

impl Refusal {
    /// Returns whether the engine already has a request of that identifier.
    pub fn is_duplicate(&self) -> bool {
        self.code == DUPLICATE_REQUEST
    }

    /// Returns whether the engine will never accept the request.
    fn is_invalid(&self) -> bool {
        self.status == StatusCode::BAD_REQUEST.as_u16()
    }

    /// Returns whether the engine has not loaded the model or adapter.
    pub fn lacks_model(&self) -> bool {
        matches!(self.code.as_str(), "model_not_loaded" | "loading")
    }

    /// Returns whether the engine's role rules out the request, since it only
    /// prefills.
    pub fn is_wrong_role(&self) -> bool {
        self.code == "wrong_role"
    }

    /// Returns whether the engine refused because its worker is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.code == "leaving"
    }
}

/// Response of an engine to a completion request.
#[derive(Debug)]
pub enum SendOutcome {
    /// Status 200; the body holds the answer, whole or as a stream.
    Answer(Response),
    /// Any other status.
    Refused(Refusal),
}

/// Failure of a call without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection failed before any byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call failed after the engine may have received the request.
    #[error("{0}")]
    PossiblyReceived(String),
}

/// Result of cancelling a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The request did not and will not run.
    NotStarted,
    /// The request had started and has now ended.
    Ended,
    /// The engine does not know the request, or did not answer.
    Unknown,
}

/// Result of pausing or unpausing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseAnswer {
    /// The engine carried out the call or did not need to.
    Done,
    /// The engine does not know the request, which may not have arrived yet.
    UnknownRequest,
    /// The call failed or timed out.
    Unreachable,
}

/// Failure to attach to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttachError {
    /// The current incarnation of the engine never received the request.
    UnknownRequest,
    /// The call failed, timed out or returned an unexpected status, as described
    /// here.
    Unreachable(String),
}

#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Default, Deserialize)]
struct ErrorFields {
    #[serde(default)]
    code: String,
    #[serde(default)]
    message: String,
    started: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct StateResponse {
    state: String,
}

/// HTTP clients of one worker.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    /// Keeps its connections for further requests.
    pub pooled: Client,
    /// Opens a connection for each request.
    pub single_use: Client,
}

/// Builds the HTTP clients of one worker.
///
/// # Errors
/// When the HTTP library fails to initialize.
pub fn worker_client() -> reqwest::Result<WorkerClient> {
    Ok(WorkerClient {
        pooled: builder().pool_idle_timeout(IDLE_TIMEOUT).build()?,
        single_use: single_use_client()?,
    })
}

/// Builds an HTTP client that opens a connection for each request. It is for answers that do not
/// name their request: on a connection that carried another request before, such an answer could
/// be a late one to that request.
///
/// # Errors
/// When the HTTP library fails to initialize.
pub fn single_use_client() -> reqwest::Result<Client> {
    builder()
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build()
}

fn builder() -> reqwest::ClientBuilder {
    Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
}

/// Client for the HTTP API of one engine.
///
/// Tokens name their request; refusals and the answers to cancels and attaches do not. Where such
/// an answer decides what becomes of a request, it comes on a connection of its own.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: WorkerClient,
    base: String,
}

impl EngineClient {
    /// Creates a client that uses the connections of `http`. `base` is the URL
    /// prefix of the engine, such as `http://127.0.0.1:9000/engines/0`.
    pub fn new(http: WorkerClient, base: String) -> Self {
        Self { http, base }
    }

    /// Sends a completion request and waits for the response headers.
    ///
    /// # Errors
    /// [`SendError`], which says whether the engine may have received the
    /// request.
    pub async fn send(&self, call: EngineCall<'_>) -> Result<SendOutcome, SendError> {
        if call.at_most_once {
            return self.send_with(&self.http.single_use, &call).await;
        }
        match self.send_with(&self.http.pooled, &call).await? {
            SendOutcome::Refused(refusal) if refusal.is_invalid() => {
                self.confirm_invalid(&call).await
            }
            outcome => Ok(outcome),
        }
    }

    /// Sends a request that was refused as invalid once more, on a connection of its own: no
    /// attempt follows such a refusal, which may be that of an earlier request on the pooled
    /// connection. A duplicate shows that it was, and that the engine has this one.
    async fn confirm_invalid(&self, call: &EngineCall<'_>) -> Result<SendOutcome, SendError> {
        match self.send_with(&self.http.single_use, call).await? {
            SendOutcome::Refused(refusal) if refusal.is_duplicate() => {
                Err(SendError::PossiblyReceived(refusal.message))
            }
            outcome => Ok(outcome),
        }
    }

    async fn send_with(
        &self,
        http: &Client,
        call: &EngineCall<'_>,
    ) -> Result<SendOutcome, SendError> {
        let mut request = http
            .post(format!("{}{}", self.base, call.path))
            .header("Content-Type", "application/json")
            .header("X-Request-Id", call.request_id)
            .header("X-Priority", call.priority.header_value())
            .body(call.body.clone());
        if let Some(adapter) = call.adapter {
            request = request.header("X-Adapter", adapter);
        }
        if let Some(handle) = call.kv_handle {
            request = request.header("X-Kv-Handle", handle);
        }
        if call.continue_from > 0 {
            request = request.header("X-Continue-From", call.continue_from);
        }
        let response = request.send().await.map_err(send_error)?;
        if response.status() == StatusCode::OK {
            return Ok(SendOutcome::Answer(response));
        }
        read_refusal(response).await.map(SendOutcome::Refused)
    }

    /// Opens another stream of a request's answer, starting at answer token
    /// `offset`.
    ///
    /// # Errors
    /// [`AttachError`], which tells an unknown request from a failed call.
    pub async fn attach(&self, request_id: &str, offset: u32) -> Result<Response, AttachError> {
        let url = format!(
            "{}/v1/requests/{request_id}/stream?offset={offset}",
            self.base
        );
        let sent = tokio::time::timeout(ATTACH_TIMEOUT, self.http.single_use.get(url).send()).await;
        let response = match sent {
            Err(_) => return Err(AttachError::Unreachable("no answer in time".to_owned())),
            Ok(Err(error)) => return Err(AttachError::Unreachable(error_chain(&error))),
            Ok(Ok(response)) => response,
        };
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::NOT_FOUND => Err(AttachError::UnknownRequest),
            status => Err(AttachError::Unreachable(format!("status {status}"))),
        }
    }

    /// Cancels a request at the engine.
    pub async fn cancel(&self, request_id: &str, timeout: Duration) -> CancelAnswer {
        let http = &self.http.single_use;
        match self.post_state(http, request_id, "cancel", timeout).await {
            Some(state) if state == "not_started" => CancelAnswer::NotStarted,
            Some(state) if state == "cancelled" || state == "finished" => CancelAnswer::Ended,
            _ => CancelAnswer::Unknown,
        }
    }

    /// Pauses a batch request, which keeps its progress.
    pub async fn pause(&self, request_id: &str) -> PauseAnswer {
        self.set_paused(request_id, "pause").await
    }

    /// Resumes a paused request.
    pub async fn unpause(&self, request_id: &str) -> PauseAnswer {
        self.set_paused(request_id, "unpause").await
    }

    async fn set_paused(&self, request_id: &str, verb: &str) -> PauseAnswer {
        let http = &self.http.pooled;
        match self.post_state(http, request_id, verb, PAUSE_TIMEOUT).await {
            Some(state) if state == "unknown" => PauseAnswer::UnknownRequest,
            Some(_) => PauseAnswer::Done,
            None => PauseAnswer::Unreachable,
        }
    }

    async fn post_state(
        &self,
        http: &Client,
        request_id: &str,
        verb: &str,
        timeout: Duration,
    ) -> Option<String> {
        let url = format!("{}/v1/requests/{request_id}/{verb}", self.base);
        let response = http.post(url).timeout(timeout).send().await.ok()?;
        let body = response.bytes().await.ok()?;
        let state: StateResponse = serde_json::from_slice(&body).ok()?;
        Some(state.state)
    }

    /// Exports the KV cache of a request and returns its handle, or None if the
    /// call fails.
    pub async fn export_kv(&self, request_id: &str, timeout: Duration) -> Option<String> {
        #[derive(Deserialize)]
        struct Exported {
            handle: String,
        }
        let body = serde_json::json!({ "request_id": request_id });
        let url = format!("{}/v1/kv/export", self.base);
        let request = self.http.pooled.post(url).timeout(timeout).json(&body);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        let exported: Exported = response.json().await.ok()?;
        Some(exported.handle)
    }

    /// Imports a KV cache from the engine at `source`, which has the form
    /// `ip:port/engines/e`. Returns whether the import succeeded.
    pub async fn import_kv(&self, handle: &str, source: &str, timeout: Duration) -> bool {
        let body = serde_json::json!({ "handle": handle, "source": source });
        let url = format!("{}/v1/kv/import", self.base);
        let request = self.http.pooled.post(url).timeout(timeout).json(&body);
        let answer = request.send().await;
        answer.is_ok_and(|response| response.status() == StatusCode::OK)
    }
}

async fn read_refusal(response: Response) -> Result<Refusal, SendError> {
    let status = response.status().as_u16();
    let body = response.bytes().await.map_err(send_error)?;
    let fields = serde_json::from_slice::<ErrorBody>(&body)
        .unwrap_or_default()
        .error;
    let reported_not_started = fields.started == Some(false);
    Ok(Refusal {
        status,
        not_started: reported_not_started && fields.code != DUPLICATE_REQUEST,
        code: fields.code,
        message: fields.message,
    })
}

fn send_error(error: reqwest::Error) -> SendError {
    let message = error_chain(&error);
    if error.is_connect() {
        SendError::NotSent(message)
    } else {
        SendError::PossiblyReceived(message)
    }
}

/// Returns the message of an error and of its chain of causes, joined by `: `.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
