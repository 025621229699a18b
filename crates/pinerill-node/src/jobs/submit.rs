//! A job's parts, and their way to its group. Each part may be sent again:
//! the group says how far it has got, and the next part starts there.

use std::time::Duration;

use pinerill_types::job::{ItemInput, JobState, JobStatus};
use pinerill_types::{Digest, JobId, ServiceName, TenantName};
use pinerill_wire::message::{Request, Response, SubmitJob, SubmitJobResponse};

use super::client::{unfit, JobsClient};
use crate::failure::{FailureCode, RequestFailure};

/// Most bytes of items in one part, unless one item alone has more.
pub const PART_BYTES_LIMIT: usize = 1024 * 1024;
/// Most items in one part.
pub const PART_ITEMS_LIMIT: usize = 4_096;
/// Longest wait until one part is committed.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// Parts after which the group had no more items than before; a group that
/// dropped a job half received asks for it from the start once.
const FRUITLESS_PARTS_LIMIT: u32 = 3;

/// A job before it is accepted.
#[derive(Debug, Clone)]
pub struct NewJob {
    /// Whose it is.
    pub tenant: TenantName,
    /// The service that runs its items.
    pub service: ServiceName,
    /// The caller's key.
    pub idempotency_key: String,
    /// Digest of the whole body.
    pub body_digest: Digest,
    /// All items.
    pub items: Vec<ItemInput>,
    /// When it should have ended, Unix milliseconds.
    pub deadline_ms: u64,
    /// Most items the tenant may have open in the group.
    pub open_items_limit: u32,
    /// Attempts of an item before it ends as failed.
    pub attempts_limit: u32,
    /// How long results stay after the end, milliseconds.
    pub retention_ms: u64,
}

/// The items of the part that starts at `first`: as many as fit.
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
    /// What the caller is told; after an unknown outcome the same key and
    /// body may be sent again.
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
            if fruitless > FRUITLESS_PARTS_LIMIT {
                return Err(stuck(answer.job));
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
            _ => Err(unfit(step)),
        }
    }
}

fn stuck(job: JobId) -> RequestFailure {
    let message = format!("the group of {job} does not take its parts");
    RequestFailure::unknown(FailureCode::ControlUnavailable, "submit job", message)
        .with_peer("control")
}
