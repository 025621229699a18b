//! Batch jobs: submit, lease, end, read, cancel.
//!
//! `group` is always the job group that the message is for. The messages that
//! change something are `serde` types as well: job groups keep them in their
//! logs, under a version byte.

use pinerill_types::job::{AttemptEnd, ItemInput, ItemState, JobState, JobStatus, LeasedItem};
use pinerill_types::{Digest, JobId, NodeName, ServiceName, TenantName};
use serde::{Deserialize, Serialize};

/// One part of a job. Parts arrive in order; a part that was already
/// received is skipped, so each may be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitJob {
    /// The group, from the hash of tenant and idempotency key.
    pub group: u32,
    /// Whose job it is.
    pub tenant: TenantName,
    /// The service that runs its items.
    pub service: ServiceName,
    /// The caller's key: the same key is the same job.
    pub idempotency_key: String,
    /// Digest of the whole body: the same key with another body is a conflict.
    pub body_digest: Digest,
    /// Items of the whole job.
    pub total_items: u32,
    /// When the job should have ended.
    pub deadline_ms: u64,
    /// Index of the first item of this part.
    pub first_index: u32,
    /// Items of this part.
    pub items: Vec<ItemInput>,
    /// Most items the tenant may have open in the group.
    pub open_items_limit: u32,
    /// Attempts of an item before it ends as failed.
    pub attempts_limit: u32,
    /// How long results stay after the job ended, milliseconds.
    pub retention_ms: u64,
}

/// Answer to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitJobResponse {
    /// The job.
    pub job: JobId,
    /// Items received so far; the next part starts here.
    pub received: u32,
    /// Its state; the job is accepted once it is no longer `Receiving`.
    pub state: JobState,
}

/// Asks for a job's status, at a confirmed index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStatusRequest {
    /// Who asks; another tenant's job is not found.
    pub tenant: TenantName,
    /// The job.
    pub job: JobId,
}

/// Asks for results, at a confirmed index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOutputRequest {
    /// Who asks.
    pub tenant: TenantName,
    /// The job.
    pub job: JobId,
    /// First item.
    pub first_index: u32,
    /// Most items.
    pub limit: u32,
}

/// One item's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemResult {
    /// Index within the job.
    pub index: u32,
    /// The caller's identifier.
    pub custom_id: String,
    /// How it ended; items that have not ended are left out.
    pub state: ItemState,
    /// The answer as JSON, or the reason.
    pub body: String,
}

/// Results of one page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOutputResponse {
    /// Ended items of the page, by index.
    pub results: Vec<ItemResult>,
    /// Where the next page starts; the total when this was the last.
    pub next_index: u32,
}

/// Cancels a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelJob {
    /// Who asks.
    pub tenant: TenantName,
    /// The job.
    pub job: JobId,
}

/// Asks for a tenant's jobs in one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListJobs {
    /// The group.
    pub group: u32,
    /// Who asks.
    pub tenant: TenantName,
    /// Most jobs, newest first.
    pub limit: u32,
}

/// A tenant's jobs in one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListJobsResponse {
    /// Newest first.
    pub jobs: Vec<JobStatus>,
}

/// How many items of a service a node wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseWant {
    /// The service.
    pub service: ServiceName,
    /// Most items.
    pub limit: u32,
}

/// Asks for items to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseItems {
    /// The group.
    pub group: u32,
    /// Who will run them.
    pub node: NodeName,
    /// Random number of this start of the node: a lease is its own only.
    pub incarnation: u64,
    /// Number of the question, for one that is sent again: the same number
    /// gets the same items.
    pub sequence: u64,
    /// What is wanted.
    pub wants: Vec<LeaseWant>,
    /// How long a lease lasts without renewal, milliseconds.
    pub lease_ms: u64,
}

/// The leased items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseItemsResponse {
    /// The items, with their attempt's fence.
    pub items: Vec<LeasedItem>,
}

/// Names one attempt of one item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The job.
    pub job: JobId,
    /// Index of the item.
    pub index: u32,
    /// The attempt.
    pub attempt: u32,
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Which attempt.
    pub attempt: AttemptRef,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Reports ends of attempts; may be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndAttempts {
    /// The group.
    pub group: u32,
    /// Who ran them.
    pub node: NodeName,
    /// The ends.
    pub reports: Vec<AttemptReport>,
}

/// Whether an end counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptVerdict {
    /// It counts (also when the same report came before).
    Counted,
    /// A newer attempt, another end or a cancellation came first.
    Late,
    /// The job is unknown here, or its results have expired.
    Unknown,
}

/// Verdicts in the order of the reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndAttemptsResponse {
    /// One per report.
    pub verdicts: Vec<AttemptVerdict>,
}

/// Renews leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLeases {
    /// The group.
    pub group: u32,
    /// Who holds them.
    pub node: NodeName,
    /// How long they last from now, milliseconds.
    pub lease_ms: u64,
    /// The attempts.
    pub attempts: Vec<AttemptRef>,
}

/// Which leases are no more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLeasesResponse {
    /// Attempts to stop: cancelled, expired or ended by another.
    pub lost: Vec<AttemptRef>,
}
