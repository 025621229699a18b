//! Client that calls the job groups on behalf of callers.

use std::sync::Arc;
use std::time::Duration;

use pinerill_types::job::JobStatus;
use pinerill_types::outcome::Outcome;
use pinerill_types::{JobId, TenantName};
use pinerill_wire::api::{CallError, CallErrorKind, ControlApi};
use pinerill_wire::message::{
    CancelJob, JobOutputRequest, JobOutputResponse, JobStatusRequest, ListJobs, RefusalCode,
    Request, Response,
};

use crate::failure::{FailureCode, RequestFailure};
use crate::groups::Groups;

/// Timeout of one call to a job group.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay sent to the caller after a group did not answer, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;
/// Default retry delay sent to a tenant with too many open items, in milliseconds.
const OPEN_ITEMS_RETRY_MS: u64 = 30_000;
/// Maximum number of concurrent calls to groups while a list is collected.
const CONCURRENT_LIST_CALLS: usize = 8;

/// Submits, reads, lists and cancels jobs in the job groups.
#[derive(Clone)]
pub struct JobsClient {
    api: Arc<dyn ControlApi>,
    groups: Arc<Groups>,
}

impl JobsClient {
    /// Creates a client that calls the known `groups` through `api`.
    pub fn new(api: Arc<dyn ControlApi>, groups: Arc<Groups>) -> Self {
        Self { api, groups }
    }

    /// Returns the group of a job, always the same for one tenant and key. Fails with
    /// `control_unavailable` while the groups are unknown.
    pub(super) fn group_of(
        &self,
        tenant: &TenantName,
        idempotency_key: &str,
    ) -> Result<u32, RequestFailure> {
        let group = self.groups.group_of(tenant, idempotency_key);
        group.ok_or_else(no_groups)
    }

    /// Returns the current status of a job.
    ///
    /// # Errors
    /// `unknown_job`, or `control_unavailable`.
    pub async fn status(
        &self,
        tenant: &TenantName,
        job: JobId,
    ) -> Result<JobStatus, RequestFailure> {
        let step = "read job";
        let tenant = tenant.clone();
        let request = Request::JobStatus(JobStatusRequest { tenant, job });
        self.job_call(job, request, step).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// `unknown_job`, or `control_unavailable`; after the latter the job may have been
    /// cancelled.
    pub async fn cancel(
        &self,
        tenant: &TenantName,
        job: JobId,
    ) -> Result<JobStatus, RequestFailure> {
        let step = "cancel job";
        let tenant = tenant.clone();
        let request = Request::CancelJob(CancelJob { tenant, job });
        self.job_call(job, request, step).await
    }

    async fn job_call(
        &self,
        job: JobId,
        request: Request,
        step: &'static str,
    ) -> Result<JobStatus, RequestFailure> {
        match self.call(job.group, request, step, CALL_TIMEOUT).await? {
            Response::JobStatus(status) => Ok(status),
            _ => Err(unexpected_response(step)),
        }
    }

    /// Returns one page of a job's results: up to `limit`, from item `first_index` on.
    ///
    /// # Errors
    /// `unknown_job`, or `control_unavailable`.
    pub async fn output(
        &self,
        tenant: &TenantName,
        job: JobId,
        first_index: u32,
        limit: u32,
    ) -> Result<JobOutputResponse, RequestFailure> {
        let step = "read results";
        let request = Request::JobOutput(JobOutputRequest {
            tenant: tenant.clone(),
            job,
            first_index,
            limit,
        });
        match self.call(job.group, request, step, CALL_TIMEOUT).await? {
            Response::JobOutput(page) => Ok(page),
            _ => Err(unexpected_response(step)),
        }
    }

    /// Returns the tenant's newest jobs across all groups, newest first, at most `limit`.
    ///
    /// # Errors
    /// `control_unavailable` if any group does not answer: in an incomplete list, the
    /// missing jobs would appear to be lost.
    pub async fn list(
        &self,
        tenant: &TenantName,
        limit: u32,
    ) -> Result<Vec<JobStatus>, RequestFailure> {
        use futures::stream::{self, StreamExt, TryStreamExt};
        let groups = self.groups.job_groups();
        let lists = stream::iter(groups)
            .map(|group| self.list_group(group, tenant, limit))
            .buffer_unordered(CONCURRENT_LIST_CALLS);
        let mut jobs: Vec<JobStatus> = lists.try_concat().await?;
        jobs.sort_by_key(|job| (std::cmp::Reverse(job.created_ms), job.id));
        jobs.truncate(limit as usize);
        Ok(jobs)
    }

    async fn list_group(
        &self,
        group: u32,
        tenant: &TenantName,
        limit: u32,
    ) -> Result<Vec<JobStatus>, RequestFailure> {
        let step = "list jobs";
        let request = Request::ListJobs(ListJobs {
            group,
            tenant: tenant.clone(),
            limit,
        });
        match self.call(group, request, step, CALL_TIMEOUT).await? {
            Response::ListJobs(list) => Ok(list.jobs),
            _ => Err(unexpected_response(step)),
        }
    }

    pub(super) async fn call(
        &self,
        group: u32,
        request: Request,
        step: &'static str,
        timeout: Duration,
    ) -> Result<Response, RequestFailure> {
        let answer = self.api.call_leader(group, request, timeout).await;
        match answer {
            Ok(Response::Refused(refusal)) => Err(call_failure(step, refusal.into())),
            Ok(response) => Ok(response),
            Err(error) => Err(call_failure(step, error)),
        }
    }
}

/// Converts a failed call into the failure returned to the caller. The call may have
/// reached several machines, and an earlier one may have executed it. Only a refusal
/// that concerns the request itself, such as a conflict or an exceeded limit, proves
/// that it was not executed.
fn call_failure(step: &'static str, error: CallError) -> RequestFailure {
    let (code, outcome, after) = match &error.kind {
        CallErrorKind::Refused(refusal) => map_refusal(refusal.code, refusal.retry_after_ms),
        CallErrorKind::NotSent | CallErrorKind::Unknown => unavailable(),
    };
    RequestFailure {
        code,
        outcome,
        step,
        peer: error.peer.clone(),
        message: error.to_string(),
        retry_after_ms: after,
    }
}

fn map_refusal(
    code: RefusalCode,
    retry_after_ms: Option<u64>,
) -> (FailureCode, Outcome, Option<u64>) {
    let refused = |code| (code, Outcome::NotRun, None);
    match code {
        RefusalCode::Conflict => refused(FailureCode::IdempotencyConflict),
        RefusalCode::NotFound => refused(FailureCode::UnknownJob),
        RefusalCode::Invalid => refused(FailureCode::InvalidRequest),
        RefusalCode::OverLimit => (
            FailureCode::TenantOpenItems,
            Outcome::NotRun,
            retry_after_ms.or(Some(OPEN_ITEMS_RETRY_MS)),
        ),
        RefusalCode::NotLeader
        | RefusalCode::UnknownGroup
        | RefusalCode::Unavailable
        | RefusalCode::OutcomeUnknown
        | RefusalCode::WrongState => {
            let (code, outcome, after) = unavailable();
            (code, outcome, retry_after_ms.or(after))
        }
    }
}

fn unavailable() -> (FailureCode, Outcome, Option<u64>) {
    (
        FailureCode::ControlUnavailable,
        Outcome::Unknown,
        Some(UNAVAILABLE_RETRY_MS),
    )
}

fn no_groups() -> RequestFailure {
    let message = "this node does not know the job groups yet";
    RequestFailure::not_run(FailureCode::ControlUnavailable, "find group", message)
        .with_peer("control")
        .retry_after(UNAVAILABLE_RETRY_MS)
}

/// Returns the failure for a response whose type does not match the request.
pub(super) fn unexpected_response(step: &'static str) -> RequestFailure {
    let message = "an answer of another kind";
    RequestFailure::unknown(FailureCode::ControlUnavailable, step, message).with_peer("control")
}
