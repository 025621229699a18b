//! `/v1/batches`: submit, list, read and cancel batch jobs.

use std::sync::Arc;

use pinerill_types::{JobId, TenantName};
use pinerill_wire::message::JobOutputResponse;
use rocket::data::Data;
use rocket::{get, post, State};
use serde_json::json;

use super::admission::{authenticate, draining, unconfirmed, Authenticated};
use super::answer::{Answer, AnswerBody, BodyStream};
use super::batch_body::read_job;
use super::caller::Caller;
use crate::drain::InFlight;
use crate::failure::{FailureCode, RequestFailure};
use crate::jobs::{job_json, result_line, JobsClient};
use crate::node::Node;

/// Jobs in a list when the caller sends no `limit`.
const LIST_DEFAULT: u32 = 20;
/// Maximum number of jobs in a list; a larger `limit` is lowered to this.
const LIST_LIMIT: u32 = 100;
/// Maximum number of items in one page of results.
const PAGE_ITEMS: u32 = 64;
/// Attempts to read one page of results before the stream ends with a failure.
const PAGE_ATTEMPTS: u32 = 3;

/// `POST /v1/batches`
#[post("/v1/batches", data = "<data>")]
pub async fn submit(node: &State<Arc<Node>>, caller: Caller, data: Data<'_>) -> Answer {
    let id = caller.identifier();
    let submitted = submit_job(node, &caller, data).await;
    let end = submitted
        .as_ref()
        .map_or_else(|one| one.code.word(), |_| "accepted");
    node.metrics.jobs.with_label_values(&[end]).inc();
    answer(id, submitted)
}

async fn submit_job(
    node: &Arc<Node>,
    caller: &Caller,
    data: Data<'_>,
) -> Result<serde_json::Value, RequestFailure> {
    let entered = admit_call(node, caller)?;
    let (job, _reserved) = read_job(node, caller, &entered.authenticated, data).await?;
    let accepted = node.jobs.submit(&job).await?;
    Ok(job_json(&accepted))
}

/// `GET /v1/batches`
#[get("/v1/batches?<limit>")]
pub async fn list(node: &State<Arc<Node>>, caller: Caller, limit: Option<u32>) -> Answer {
    let id = caller.identifier();
    let limit = limit.unwrap_or(LIST_DEFAULT).clamp(1, LIST_LIMIT);
    let listed = match admit_call(node, &caller) {
        Ok(entered) => node.jobs.list(entered.tenant(), limit).await,
        Err(failure) => Err(failure),
    };
    let listed = listed.map(|jobs| {
        let data: Vec<_> = jobs.iter().map(job_json).collect();
        json!({ "object": "list", "data": data })
    });
    answer(id, listed)
}

/// `GET /v1/batches/{id}`
#[get("/v1/batches/<job>")]
pub async fn status(node: &State<Arc<Node>>, caller: Caller, job: &str) -> Answer {
    let id = caller.identifier();
    let found = match admit_job_call(node, &caller, job) {
        Ok((entered, job)) => node.jobs.status(entered.tenant(), job).await,
        Err(failure) => Err(failure),
    };
    answer(id, found.map(|job| job_json(&job)))
}

/// `POST /v1/batches/{id}/cancel`
#[post("/v1/batches/<job>/cancel")]
pub async fn cancel(node: &State<Arc<Node>>, caller: Caller, job: &str) -> Answer {
    let id = caller.identifier();
    let cancelled = match admit_job_call(node, &caller, job) {
        Ok((entered, job)) => node.jobs.cancel(entered.tenant(), job).await,
        Err(failure) => Err(failure),
    };
    answer(id, cancelled.map(|job| job_json(&job)))
}

/// `GET /v1/batches/{id}/output`
#[get("/v1/batches/<job>/output")]
pub async fn output(node: &State<Arc<Node>>, caller: Caller, job: &str) -> Answer {
    let id = caller.identifier();
    match open_output(node, &caller, job).await {
        Ok(body) => Answer {
            request_id: id,
            body: AnswerBody::Lines(body),
        },
        Err(failure) => Answer::failure(id, failure),
    }
}

fn answer(id: String, result: Result<serde_json::Value, RequestFailure>) -> Answer {
    match result {
        Ok(body) => Answer::json(id, body.to_string()),
        Err(failure) => Answer::failure(id, failure),
    }
}

/// An admitted call about jobs; it counts as in flight until dropped.
struct AdmittedCall {
    authenticated: Authenticated,
    _in_flight: InFlight,
}

impl AdmittedCall {
    fn tenant(&self) -> &TenantName {
        &self.authenticated.tenant
    }
}

fn admit_call(node: &Arc<Node>, caller: &Caller) -> Result<AdmittedCall, RequestFailure> {
    let in_flight = node.drain.enter().ok_or_else(draining)?;
    let authenticated = authenticate(node, caller)?;
    if !authenticated.confirmed {
        return Err(unconfirmed());
    }
    caller.check_identifier()?;
    Ok(AdmittedCall {
        authenticated,
        _in_flight: in_flight,
    })
}

fn admit_job_call(
    node: &Arc<Node>,
    caller: &Caller,
    job: &str,
) -> Result<(AdmittedCall, JobId), RequestFailure> {
    let entered = admit_call(node, caller)?;
    let job = job.parse().map_err(|error| {
        let message = format!("{error}");
        RequestFailure::not_run(FailureCode::UnknownJob, "find job", message)
    })?;
    Ok((entered, job))
}

/// Opens the stream of a job's results. A failure up to the first page sets the
/// HTTP status; a later one ends the stream with a line that holds only an
/// `error`.
async fn open_output(
    node: &Arc<Node>,
    caller: &Caller,
    job: &str,
) -> Result<BodyStream, RequestFailure> {
    let (entered, job) = admit_job_call(node, caller, job)?;
    let status = node.jobs.status(entered.tenant(), job).await?;
    let mut reader = OutputReader {
        jobs: node.jobs.clone(),
        entered,
        job,
        next_index: 0,
        total: status.counts.total,
    };
    let first = reader.page().await?;
    let state = Some((reader, Some(first)));
    Ok(Box::pin(futures::stream::unfold(state, next_lines)))
}

type OutputStreamState = Option<(OutputReader, Option<JobOutputResponse>)>;

async fn next_lines(state: OutputStreamState) -> Option<(String, OutputStreamState)> {
    let (mut reader, page) = state?;
    let page = match page {
        Some(page) => Ok(page),
        None if reader.next_index >= reader.total => return None,
        None => reader.page().await,
    };
    match page {
        Ok(page) => {
            let lines = page.results.iter().map(result_line).collect();
            Some((lines, Some((reader, None))))
        }
        Err(failure) => Some((failure.json() + "\n", None)),
    }
}

/// Reads a job's results page by page, so that only one page is in memory.
struct OutputReader {
    jobs: JobsClient,
    entered: AdmittedCall,
    job: JobId,
    next_index: u32,
    total: u32,
}

impl OutputReader {
    async fn page(&mut self) -> Result<JobOutputResponse, RequestFailure> {
        let tenant = self.entered.tenant();
        let mut attempts = 1;
        let page = loop {
            let next = self
                .jobs
                .output(tenant, self.job, self.next_index, PAGE_ITEMS);
            match next.await {
                Err(failure) if attempts < PAGE_ATTEMPTS && is_retryable(&failure) => attempts += 1,
                page => break page?,
            }
        };
        if page.next_index <= self.next_index && self.next_index < self.total {
            return Err(no_progress(self.job));
        }
        self.next_index = page.next_index;
        Ok(page)
    }
}

fn is_retryable(failure: &RequestFailure) -> bool {
    failure.code == FailureCode::ControlUnavailable
}

fn no_progress(job: JobId) -> RequestFailure {
    let message = format!("the group of {job} gave a page without an item");
    RequestFailure::unknown(FailureCode::ControlUnavailable, "read results", message)
        .with_peer("control")
}
