//! Calls to the job groups on behalf of callers.

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

/// Longest wait for one answer of a group.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back after a group did not answer, milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;
/// When to come back with too many open items, milliseconds.
const OPEN_ITEMS_RETRY_MS: u64 = 30_000;
/// Groups that are asked at once for their part of a list.
const LISTS_AT_ONCE: usize = 8;

/// Job groups as callers' requests use them.
#[derive(Clone)]
pub struct JobsClient {
    api: Arc<dyn ControlApi>,
    groups: Arc<Groups>,
}

impl JobsClient {
    /// Calls through `api` to the groups that the watch tells of.
    pub fn new(api: Arc<dyn ControlApi>, groups: Arc<Groups>) -> Self {
        Self { api, groups }
    }

    /// The group of a job: always the same for tenant and key.
    pub(super) fn group_of(
        &self,
        tenant: &TenantName,
        idempotency_key: &str,
    ) -> Result<u32, RequestFailure> {
        let group = self.groups.group_of(tenant, idempotency_key);
        group.ok_or_else(no_groups)
    }

    /// A job as it is now.
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
    /// `unknown_job`, or `control_unavailable`; it may then be cancelled.
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
            _ => Err(unfit(step)),
        }
    }

    /// One page of a job's results.
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
            _ => Err(unfit(step)),
        }
    }

    /// The tenant's newest jobs of all groups.
    ///
    /// # Errors
    /// `control_unavailable` when a group does not answer: a list with holes
    /// would look like lost jobs.
    pub async fn list(
        &self,
        tenant: &TenantName,
        limit: u32,
    ) -> Result<Vec<JobStatus>, RequestFailure> {
        use futures::stream::{self, StreamExt, TryStreamExt};
        let groups = self.groups.job_groups();
        let lists = stream::iter(groups)
            .map(|group| self.list_group(group, tenant, limit))
            .buffer_unordered(LISTS_AT_ONCE);
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
            _ => Err(unfit(step)),
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

/// What a caller is told of a failed call. The call may have gone to several
/// machines, and an earlier one may have carried it out; so only a refusal on
/// the merits says that it was not.
fn call_failure(step: &'static str, error: CallError) -> RequestFailure {
    let (code, outcome, after) = match &error.kind {
        CallErrorKind::Refused(refusal) => judge_refusal(refusal.code, refusal.retry_after_ms),
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

fn judge_refusal(
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

/// The failure of an answer of another kind.
pub(super) fn unfit(step: &'static str) -> RequestFailure {
    let message = "an answer of another kind";
    RequestFailure::unknown(FailureCode::ControlUnavailable, step, message).with_peer("control")
}
