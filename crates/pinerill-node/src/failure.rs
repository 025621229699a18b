//! Failures of caller requests: the error body, the stable error code and the
//! HTTP status.

use pinerill_types::outcome::{Failure, Outcome};

/// Stable error codes, as documented in `docs/API.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum FailureCode {
    InvalidJson,
    InvalidRequest,
    MissingIdempotencyKey,
    DuplicateCustomId,
    Unauthorized,
    ServiceNotAllowed,
    UnknownService,
    UnknownJob,
    UnknownPath,
    IdempotencyConflict,
    DuplicateRequest,
    BodyTooLarge,
    TenantRate,
    TenantConcurrency,
    TenantOpenItems,
    Internal,
    BackendFailed,
    Overloaded,
    NoBackend,
    ConfigurationUnconfirmed,
    Draining,
    ControlUnavailable,
    DeadlineExceeded,
}

impl FailureCode {
    /// Returns the stable string that the answer's `code` field holds.
    pub fn word(self) -> &'static str {
        match self {
            Self::InvalidJson => "invalid_json",
            Self::InvalidRequest => "invalid_request",
            Self::MissingIdempotencyKey => "missing_idempotency_key",
            Self::DuplicateCustomId => "duplicate_custom_id",
            Self::Unauthorized => "unauthorized",
            Self::ServiceNotAllowed => "service_not_allowed",
            Self::UnknownService => "unknown_service",
            Self::UnknownJob => "unknown_job",
            Self::UnknownPath => "unknown_path",
            Self::IdempotencyConflict => "idempotency_conflict",
            Self::DuplicateRequest => "duplicate_request",
            Self::BodyTooLarge => "body_too_large",
            Self::TenantRate => "tenant_rate",
            Self::TenantConcurrency => "tenant_concurrency",
            Self::TenantOpenItems => "tenant_open_items",
            Self::Internal => "internal",
            Self::BackendFailed => "backend_failed",
            Self::Overloaded => "overloaded",
            Self::NoBackend => "no_backend",
            Self::ConfigurationUnconfirmed => "configuration_unconfirmed",
            Self::Draining => "draining",
            Self::ControlUnavailable => "control_unavailable",
            Self::DeadlineExceeded => "deadline_exceeded",
        }
    }

    /// Returns the HTTP status that an answer with this code has.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidJson
            | Self::InvalidRequest
            | Self::MissingIdempotencyKey
            | Self::DuplicateCustomId => 400,
            Self::Unauthorized => 401,
            Self::ServiceNotAllowed => 403,
            Self::UnknownService | Self::UnknownJob | Self::UnknownPath => 404,
            Self::IdempotencyConflict | Self::DuplicateRequest => 409,
            Self::BodyTooLarge => 413,
            Self::TenantRate | Self::TenantConcurrency | Self::TenantOpenItems => 429,
            Self::Internal => 500,
            Self::BackendFailed => 502,
            Self::Overloaded
            | Self::NoBackend
            | Self::ConfigurationUnconfirmed
            | Self::Draining
            | Self::ControlUnavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// A failed request, with the step and the peer at which it failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFailure {
    /// Stable error code; it also decides the HTTP status.
    pub code: FailureCode,
    /// Whether an engine may have run the request.
    pub outcome: Outcome,
    /// Processing step that failed, such as `read body`.
    pub step: &'static str,
    /// Peer involved in the failed step; `node` when only this node was.
    pub peer: String,
    /// Human-readable description.
    pub message: String,
    /// Delay before the caller should retry, in milliseconds; None when no delay
    /// is suggested.
    pub retry_after_ms: Option<u64>,
}

impl RequestFailure {
    /// Creates a failure of a request that no engine has run. The peer is `node`.
    pub fn not_run(code: FailureCode, step: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            step,
            peer: "node".to_owned(),
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a failure of a request that an engine may have run. The peer is
    /// `node`.
    pub fn unknown(code: FailureCode, step: &'static str, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(code, step, message)
        }
    }

    /// Replaces the peer.
    pub fn with_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Sets the delay before the caller should retry, in milliseconds.
    pub fn retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// Returns the content of the answer's `error` field.
    pub fn body(&self) -> Failure {
        Failure {
            code: self.code.word().to_owned(),
            message: self.message.clone(),
            outcome: self.outcome,
            step: self.step.to_owned(),
            peer: self.peer.clone(),
            retry_after_ms: self.retry_after_ms,
        }
    }

    /// Returns the whole response body as JSON: an object with one field, `error`.
    pub fn json(&self) -> String {
        serde_json::json!({ "error": self.body() }).to_string()
    }
}
