//! Calls to one engine over HTTP. Says of each failure whether the engine may
//! have heard of the request.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, Response, StatusCode};
use serde::Deserialize;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the answer to an attach.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the answer to a pause.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Word of a refusal because the identifier was seen before.
const DUPLICATE_REQUEST: &str = "duplicate_request";

/// Priority at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Admitted first.
    Online,
    /// Steps aside.
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

/// One request to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall<'a> {
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// Identifier at the engine.
    pub request_id: &'a str,
    /// Priority.
    pub priority: Priority,
    /// `adapter@version`.
    pub adapter: Option<&'a str>,
    /// Handle of an imported prefill.
    pub kv_handle: Option<&'a str>,
    /// Tokens that were delivered elsewhere.
    pub continue_from: u32,
    /// The JSON body.
    pub body: Bytes,
}

/// An engine's refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Its word, such as `leaving`.
    pub code: String,
    /// A sentence for people.
    pub message: String,
    /// The engine promises that it did not run and never will.
    pub not_started: bool,
}

impl Refusal {
    /// Whether the identifier was seen before at this engine.
    pub fn is_duplicate(&self) -> bool {
        self.code == DUPLICATE_REQUEST
    }

    /// Whether the engine does not hold the model or adapter.
    pub fn lacks_model(&self) -> bool {
        matches!(self.code.as_str(), "model_not_loaded" | "loading")
    }

    /// Whether the engine only prefills now.
    pub fn is_wrong_role(&self) -> bool {
        self.code == "wrong_role"
    }

    /// Whether the worker is leaving.
    pub fn is_leaving(&self) -> bool {
        self.code == "leaving"
    }
}

/// What the engine answered.
#[derive(Debug)]
pub enum SendOutcome {
    /// The answer begins.
    Answer(Response),
    /// It was refused.
    Refused(Refusal),
}

/// How a call failed without an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The engine may have heard of it.
    #[error("{0}")]
    PossiblyReceived(String),
}

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelAnswer {
    /// It never ran and never will.
    NotStarted,
    /// It had started, and is ended.
    Ended,
    /// The engine does not know the request, or did not answer.
    Unknown,
}

/// Answer to a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseAnswer {
    /// Carried out, or no longer needed.
    Done,
    /// The engine does not know the request, or not yet.
    UnknownRequest,
    /// The engine did not answer.
    Unreachable,
}

/// How an attach failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttachError {
    /// This incarnation of the engine never had the request.
    UnknownRequest,
    /// The engine did not answer.
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

/// Builds the pooled client for one worker.
///
/// # Errors
/// When the library can't set itself up.
pub fn worker_client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
}

/// Calls to one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: Client,
    base: String,
}

impl EngineClient {
    /// Calls through `http` to the engine whose paths start with `base`, such
    /// as `http://127.0.0.1:9000/engines/0`.
    pub fn new(http: Client, base: String) -> Self {
        Self { http, base }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`SendError`], which says whether the engine may have heard of it.
    pub async fn send(&self, call: EngineCall<'_>) -> Result<SendOutcome, SendError> {
        let mut request = self
            .http
            .post(format!("{}{}", self.base, call.path))
            .header("Content-Type", "application/json")
            .header("X-Request-Id", call.request_id)
            .header("X-Priority", call.priority.header_value())
            .body(call.body);
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

    /// Attaches to a request from the output token `offset`.
    ///
    /// # Errors
    /// [`AttachError`].
    pub async fn attach(&self, request_id: &str, offset: u32) -> Result<Response, AttachError> {
        let url = format!(
            "{}/v1/requests/{request_id}/stream?offset={offset}",
            self.base
        );
        let sent = tokio::time::timeout(ATTACH_TIMEOUT, self.http.get(url).send()).await;
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

    /// Ends a request at the engine.
    pub async fn cancel(&self, request_id: &str, timeout: Duration) -> CancelAnswer {
        match self.post_state(request_id, "cancel", timeout).await {
            Some(state) if state == "not_started" => CancelAnswer::NotStarted,
            Some(state) if state == "cancelled" || state == "finished" => CancelAnswer::Ended,
            _ => CancelAnswer::Unknown,
        }
    }

    /// Stops a batch request, which keeps its place.
    pub async fn pause(&self, request_id: &str) -> PauseAnswer {
        self.set_paused(request_id, "pause").await
    }

    /// Lets a paused request go on.
    pub async fn unpause(&self, request_id: &str) -> PauseAnswer {
        self.set_paused(request_id, "unpause").await
    }

    async fn set_paused(&self, request_id: &str, verb: &str) -> PauseAnswer {
        match self.post_state(request_id, verb, PAUSE_TIMEOUT).await {
            Some(state) if state == "unknown" => PauseAnswer::UnknownRequest,
            Some(_) => PauseAnswer::Done,
            None => PauseAnswer::Unreachable,
        }
    }

    async fn post_state(&self, request_id: &str, verb: &str, timeout: Duration) -> Option<String> {
        let url = format!("{}/v1/requests/{request_id}/{verb}", self.base);
        let response = self.http.post(url).timeout(timeout).send().await.ok()?;
        let body = response.bytes().await.ok()?;
        let state: StateResponse = serde_json::from_slice(&body).ok()?;
        Some(state.state)
    }

    /// Exports the KV cache of a request; answers with its handle.
    pub async fn export_kv(&self, request_id: &str, timeout: Duration) -> Option<String> {
        #[derive(Deserialize)]
        struct Exported {
            handle: String,
        }
        let body = serde_json::json!({ "request_id": request_id });
        let url = format!("{}/v1/kv/export", self.base);
        let request = self.http.post(url).timeout(timeout).json(&body);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        let exported: Exported = response.json().await.ok()?;
        Some(exported.handle)
    }

    /// Imports a KV cache from another engine, `ip:port/engines/e`.
    pub async fn import_kv(&self, handle: &str, source: &str, timeout: Duration) -> bool {
        let body = serde_json::json!({ "handle": handle, "source": source });
        let url = format!("{}/v1/kv/import", self.base);
        let request = self.http.post(url).timeout(timeout).json(&body);
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

/// The message of an error and of what caused it.
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
