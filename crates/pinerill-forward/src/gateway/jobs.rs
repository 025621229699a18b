//! Requests for jobs: submission, results, item bodies and ending a job.
//!
//! The control machines store the jobs; this module forwards requests to them and translates their
//! responses for callers.

use std::time::Duration;

use pinerill_calls::compression::decompress;
use pinerill_calls::job::{CallJobId, ItemCall, NewCallJob, ResultPage};
use pinerill_calls::message::{
    decode_any, CallsRequest, CallsResponse, ReadItem, ReadResults, SubmitOutcome,
};
use pinerill_calls::protocol::{CallerAnswer, CallerRequest, HttpAnswer, Refusal};
use pinerill_calls::table::AllowedRegions;
use pinerill_process::clock::BootTime;

use crate::cluster::{Answered, CallFailure};
use crate::node::Node;

/// Timeout of a request to the control machines, in addition to the long-poll time that the
/// caller requests.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Retry delay given to callers while no control machine responds.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay given to callers while the control machines' disks are full. Space is freed when
/// the results of a job no longer have to be kept, which takes more than a moment, and callers
/// that submit jobs can wait for seconds.
const DISK_FULL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Checks that jobs with these allowed regions can be stored. Every control machine that holds
/// the group's state stores all jobs, so each of them must be in an allowed region.
///
/// # Errors
/// Returns a refusal if one of them is in another region, or if their zones are not known.
pub(super) fn check_homes(node: &Node, homes: &AllowedRegions) -> Result<(), Refusal> {
    let zones = node.cluster.member_zones();
    let is_home = |zone: &String| homes.allows(node.settings.zones.get(zone).map(String::as_str));
    let are_home = !zones.is_empty() && zones.iter().all(is_home);
    if !homes.is_restricted() || are_home {
        return Ok(());
    }
    Err(Refusal::NotRun {
        reason: "control machines outside the allowed regions would keep the job",
        retry_after: None,
    })
}

/// Submits a job to the control machines. The job is stored once they have accepted it; if no
/// response arrives, or none before this node must answer, it is unknown whether it was stored.
pub(super) async fn submit(
    node: &Node,
    job: NewCallJob,
    deadline: BootTime,
) -> Result<HttpAnswer, Refusal> {
    let id = job.id.clone();
    let time = deadline.remaining().min(CONTROL_CALL_TIMEOUT);
    let request = CallsRequest::SubmitJob(Box::new(job));
    let submission = node.cluster.call(&request, time, Duration::ZERO);
    let answer = match node.drain.until_answers_due(submission).await {
        Ok(answer) => answer,
        Err(due) => Err(CallFailure {
            maybe_done: true,
            invalid: false,
            message: due.to_string(),
        }),
    };
    let result = match answer {
        Ok(Answered {
            response: CallsResponse::SubmitJob(SubmitOutcome::Accepted),
            ..
        }) => Ok(node.caller_protocol.answer(CallerAnswer::JobAccepted)),
        Ok(Answered {
            response: CallsResponse::SubmitJob(SubmitOutcome::OverLimit),
            maybe_done_before: false,
            ..
        }) => Err(Refusal::OverLimit),
        Ok(Answered {
            response: CallsResponse::SubmitJob(SubmitOutcome::NoRoom),
            maybe_done_before: false,
            ..
        }) => Err(Refusal::NotRun {
            reason: "the control machines have no room for the job",
            retry_after: Some(DISK_FULL_RETRY_AFTER),
        }),
        Ok(_) => Err(Refusal::TimedOut),
        Err(failure) => Err(refusal_for(&failure)),
    };
    if let Err(refusal) = &result {
        log::info!(event = "job_refused", job:% = id, reason:% = refusal; "");
    }
    result
}

/// Serves all job requests other than submissions. The job id contains the tenant's name, so a
/// job of another tenant is not found.
pub(super) async fn serve(
    node: &Node,
    tenant: Option<&str>,
    request: CallerRequest,
) -> Result<HttpAnswer, Refusal> {
    let id = |name: &str| CallJobId::new(tenant, name);
    match request {
        CallerRequest::ReadResults { job, from, wait } => {
            read_results(node, id(&job), from, wait).await
        }
        CallerRequest::ReadItem { job, item } => read_item_body(node, id(&job), item).await,
        CallerRequest::EndJob(job) => end_job(node, id(&job)).await,
        CallerRequest::Call(_) => Err(Refusal::NoRoute),
    }
}

async fn read_results(
    node: &Node,
    job: CallJobId,
    from: u32,
    wait: Duration,
) -> Result<HttpAnswer, Refusal> {
    let request = CallsRequest::ReadResults(ReadResults {
        job,
        from,
        wait_ms: wait.as_millis() as u64,
    });
    match query(node, &request, wait).await? {
        CallsResponse::Results(Some(page)) => {
            let texts = decompress_texts(&page)?;
            let answer = CallerAnswer::Results {
                page: &page,
                texts: &texts,
            };
            Ok(node.caller_protocol.answer(answer))
        }
        CallsResponse::Results(None) => Err(Refusal::NotFound),
        _ => Err(Refusal::TimedOut),
    }
}

fn decompress_texts(page: &ResultPage) -> Result<Vec<Vec<u8>>, Refusal> {
    let unreadable = |_| Refusal::WorkerFailed("a stored text can't be read");
    let entries = page.entries.iter();
    entries
        .map(|entry| match entry.text.is_empty() {
            true => Ok(Vec::new()),
            false => decompress(&entry.text).map_err(unreadable),
        })
        .collect()
}

async fn read_item_body(node: &Node, job: CallJobId, item: String) -> Result<HttpAnswer, Refusal> {
    let request = CallsRequest::ReadItem(ReadItem { job, item });
    match query(node, &request, Duration::ZERO).await? {
        CallsResponse::Item(Some(call)) => {
            let unreadable = Refusal::WorkerFailed("a stored call can't be read");
            let bytes = decompress(&call).map_err(|_| unreadable.clone())?;
            let call: ItemCall = decode_any(&bytes).map_err(|_| unreadable)?;
            Ok(node
                .caller_protocol
                .answer(CallerAnswer::ItemBody(&call.body)))
        }
        CallsResponse::Item(None) => Err(Refusal::NotFound),
        _ => Err(Refusal::TimedOut),
    }
}

async fn end_job(node: &Node, job: CallJobId) -> Result<HttpAnswer, Refusal> {
    let request = CallsRequest::EndJob(job);
    response_or_refusal(
        node.cluster
            .call(&request, CONTROL_CALL_TIMEOUT, Duration::ZERO)
            .await,
    )?;
    Ok(node.caller_protocol.answer(CallerAnswer::JobEnded))
}

/// Sends a repeatable request to a control machine in this node's zone, or else to the leader.
/// `long_poll` is how long the machine may hold its response.
async fn query(
    node: &Node,
    request: &CallsRequest,
    long_poll: Duration,
) -> Result<CallsResponse, Refusal> {
    response_or_refusal(
        node.cluster
            .call_near(request, CONTROL_CALL_TIMEOUT + long_poll, long_poll)
            .await,
    )
}

/// Returns the response to a request that can be repeated safely, or the refusal for the caller.
fn response_or_refusal(answer: Result<Answered, CallFailure>) -> Result<CallsResponse, Refusal> {
    match answer {
        Ok(answered) => Ok(answered.response),
        // The caller may retry even if this request was carried out.
        Err(failure) => Err(refusal_for(&CallFailure {
            maybe_done: false,
            ..failure
        })),
    }
}

/// Returns the refusal for a failed request to the control machines. It is [`Refusal::NotRun`] only
/// if the request was certainly not carried out.
fn refusal_for(failure: &CallFailure) -> Refusal {
    if failure.invalid {
        return Refusal::Malformed(failure.message.clone());
    }
    if failure.maybe_done {
        return Refusal::TimedOut;
    }
    Refusal::NotRun {
        reason: "no control machine answers",
        retry_after: Some(UNREACHABLE_RETRY_AFTER),
    }
}
