//! What a caller is told about a request that failed.

use serde::{Deserialize, Serialize};

/// Whether a failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No engine started it and none will.
    NotRun,
    /// It may have run, wholly or in part.
    Unknown,
}

/// Body of an answer that reports a failure, in the field `error`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// A stable word for programs, such as `overloaded`.
    pub code: String,
    /// A sentence for people.
    pub message: String,
    /// Whether it may have run.
    pub outcome: Outcome,
    /// The step that failed.
    pub step: String,
    /// The peer it was with.
    pub peer: String,
    /// When to come back, in milliseconds; also in `Retry-After`, in seconds.
    pub retry_after_ms: Option<u64>,
}
