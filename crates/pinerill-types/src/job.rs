//! Batch jobs and items as every role sees them.

use serde::{Deserialize, Serialize};

use crate::id::{JobId, ServiceName, TenantName};

/// Most items in one job.
pub const ITEM_LIMIT: usize = 100_000;
/// Longest body of one item, in bytes.
pub const ITEM_BODY_LIMIT: usize = 256 * 1024;
/// Longest idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_LIMIT: usize = 256;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; the items are still arriving in parts. Nothing runs yet.
    Receiving,
    /// Items run.
    InProgress,
    /// Cancelled by its tenant: no item starts any more.
    Cancelled,
    /// Every item has ended.
    Completed,
}

/// How one item ended, or that it has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Waits for a node.
    Pending,
    /// A node holds a lease on it.
    Leased,
    /// Ended with an answer.
    Completed,
    /// Ended with an error that a retry would not mend, or out of attempts.
    Failed,
    /// Ended by the cancellation of its job.
    Cancelled,
    /// Not to be repeated, and nobody can tell whether it ran.
    Indeterminate,
}

impl ItemState {
    /// Whether the item has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Pending | Self::Leased)
    }
}

/// One line of a batch as the caller wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemInput {
    /// The caller's own identifier, unique within the job.
    pub custom_id: String,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub url: String,
    /// The request's JSON body.
    pub body: String,
    /// Never to be repeated once an engine may have heard of it.
    pub at_most_once: bool,
}

/// One item as leased to a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedItem {
    /// The job.
    pub job: JobId,
    /// Index of the item within the job, from 0.
    pub index: u32,
    /// Fence: a completion counts only for the newest attempt.
    pub attempt: u32,
    /// Whose job it is.
    pub tenant: TenantName,
    /// The service that runs it.
    pub service: ServiceName,
    /// When the job should have ended, Unix milliseconds.
    pub deadline_ms: u64,
    /// The request itself.
    pub input: ItemInput,
}

/// How a node reports the end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The whole answer, as JSON.
    Completed(String),
    /// An error that a retry would not mend.
    Failed(String),
    /// It certainly did not run, or may be run again: back to pending.
    Released,
    /// Not to be repeated, and whether it ran can't be learnt.
    Indeterminate(String),
}

/// Counts of a job's items by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    /// All items.
    pub total: u32,
    /// Waiting.
    pub pending: u32,
    /// Leased to a node.
    pub leased: u32,
    /// Ended with an answer.
    pub completed: u32,
    /// Ended with an error.
    pub failed: u32,
    /// Ended by cancellation.
    pub cancelled: u32,
    /// Not to be repeated and of unknown outcome.
    pub indeterminate: u32,
}

/// A job as its tenant sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub id: JobId,
    /// Whose it is.
    pub tenant: TenantName,
    /// The service that runs its items.
    pub service: ServiceName,
    /// Its state.
    pub state: JobState,
    /// Its items by state.
    pub counts: ItemCounts,
    /// When it was accepted, Unix milliseconds.
    pub created_ms: u64,
    /// When it should have ended, Unix milliseconds.
    pub deadline_ms: u64,
    /// When its results may be deleted, Unix milliseconds; 0 until it ended.
    pub expires_ms: u64,
}
