//! Splits a job into parts and sends them to its group. A part may be sent repeatedly:
//! the group returns the number of items it has received, and the next part starts
//! there.

use std::time::Duration;

use pinerill_types::job::{ItemInput, JobState, JobStatus};
use pinerill_types::{Digest, JobId, ServiceName, TenantName};
use pinerill_wire::message::{Request, Response, SubmitJob, SubmitJobResponse};

use super::client::{unexpected_response, JobsClient};
use crate::failure::{FailureCode, RequestFailure};

/// Maximum size of the items in one part, in bytes; a single larger item forms a part
/// of its own.
pub const PART_BYTES_LIMIT: usize = 1024 * 1024;
/// Maximum number of items in one part.
pub const PART_ITEMS_LIMIT: usize = 4_096;
/// Timeout for the commit of one part.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of parts that do not increase the number of items received by the
/// group. One such part is normal if the group discarded a partially received job: it
/// then requests the job from the start.
const NO_PROGRESS_PARTS_LIMIT: u32 = 3;

/// A validated job that its group has not yet accepted.
#[derive(Debug, Clone)]
pub struct NewJob {
    /// The tenant that submits the job.
    pub tenant: TenantName,
    /// The service that runs its items.
    pub service: ServiceName,
    /// Idempotency key supplied by the caller.
    pub idempotency_key: String,
    /// Digest of the whole body.
    pub body_digest: Digest,
    /// All items, in the order of the body.
    pub items: Vec<ItemInput>,
    /// Deadline of the job, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of open items of the tenant in the group.
    pub open_items_limit: u32,
    /// Number of attempts after which an item fails.
    pub attempts_limit: u32,
    /// Retention time of the results after the job has ended, in milliseconds.
    pub retention_ms: u64,
}

/// Returns the items of the part that starts at index `first`: as many as fit, at least
/// one, or none past the end.
pub fn next_part(items: &[ItemInput], first: usize) -> &[ItemInput] {
    let rest = items.get(first..).unwrap_or_default();
    let mut bytes = 0;
    let fitting = rest.iter().take(PART_ITEMS_LIMIT).take_while(|item| {
        bytes += item.body.len() + item.custom_id.len() + item.url.len();
        bytes <= PART_BYTES_LIMIT
    });
    let count = fitting.count().max(1).min(rest.len());
    &rest[..count]
}

impl JobsClient {
    /// Sends a job part by part until its group has accepted it.
    ///
    /// # Errors
    /// Returns the failure for the caller. After an unknown outcome, the caller may safely
    /// submit the same key and body again.
    pub async fn submit(&self, job: &NewJob) -> Result<JobStatus, RequestFailure> {
        let group = self.group_of(&job.tenant, &job.idempotency_key)?;
        let mut received = 0;
        let mut fruitless = 0;
        loop {
            let answer = self.send_part(group, job, received).await?;
            if answer.state != JobState::Receiving {
                return self.status(&job.tenant, answer.job).await;
            }
            if answer.received <= received {
                fruitless += 1;
            }
            if fruitless > NO_PROGRESS_PARTS_LIMIT {
                return Err(no_progress_failure(answer.job));
            }
            received = answer.received;
        }
    }

    async fn send_part(
        &self,
        group: u32,
        job: &NewJob,
        first_index: u32,
    ) -> Result<SubmitJobResponse, RequestFailure> {
        let request = Request::SubmitJob(SubmitJob {
            group,
            tenant: job.tenant.clone(),
            service: job.service.clone(),
            idempotency_key: job.idempotency_key.clone(),
            body_digest: job.body_digest,
            total_items: job.items.len() as u32,
            deadline_ms: job.deadline_ms,
            first_index,
            items: next_part(&job.items, first_index as usize).to_vec(),
            open_items_limit: job.open_items_limit,
            attempts_limit: job.attempts_limit,
            retention_ms: job.retention_ms,
        });
        let step = "submit job";
        match self.call(group, request, step, PART_TIMEOUT).await? {
            Response::SubmitJob(answer) => Ok(answer),
            _ => Err(unexpected_response(step)),
        }
    }
}

fn no_progress_failure(job: JobId) -> RequestFailure {
    let message = format!("the group of {job} does not take its parts");
    RequestFailure::unknown(FailureCode::ControlUnavailable, "submit job", message)
        .with_peer("control")
}
