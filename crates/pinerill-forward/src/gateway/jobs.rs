//! Submissions, results, bodies and ends of jobs.

use std::time::Duration;

use pinerill_calls::compression::decompress;
use pinerill_calls::job::{CallJobId, ItemCall, NewCallJob, ResultPage};
use pinerill_calls::message::{
    decode_any, CallsRequest, CallsResponse, ReadItem, ReadResults, SubmitOutcome,
};
use pinerill_calls::protocol::{CallerAnswer, CallerRequest, HttpAnswer, Refusal};
use pinerill_calls::table::Homes;
use pinerill_process::clock::BootTime;

use crate::cluster::{Answered, CallFailure};
use crate::node::Node;

/// Longest wait for the control machines beyond the time that a caller asks
/// them to wait.
const ASK_TIME: Duration = Duration::from_millis(2_500);
/// When to come back while the control machines don't answer.
const LOST_RETRY: Duration = Duration::from_millis(300);
/// When to come back while the control machines' disks are taken: room comes with
/// each job whose results need not be kept any more, so not within a moment, and a
/// job's caller has seconds.
const NO_ROOM_RETRY: Duration = Duration::from_secs(2);

/// Whether jobs with these homes can be kept: control machines that hold the group's state
/// hold all jobs.
///
/// # Errors
/// A refusal if one of them stands elsewhere, or where they stand is not known.
pub(super) fn check_homes(node: &Node, homes: &Homes) -> Result<(), Refusal> {
    let zones = node.cluster.member_zones();
    let is_home = |zone: &String| homes.allow(node.settings.zones.get(zone).map(String::as_str));
    let are_home = !zones.is_empty() && zones.iter().all(is_home);
    if !homes.are_restricted() || are_home {
        return Ok(());
    }
    Err(Refusal::NotRun {
        reason: "control machines outside the allowed regions would keep the job",
        retry_after: None,
    })
}

/// Hands a job in. It is kept once the answer says so; an answer that never
/// came leaves open whether it was.
pub(super) async fn submit(
    node: &Node,
    job: NewCallJob,
    deadline: BootTime,
) -> Result<HttpAnswer, Refusal> {
    let id = job.id.clone();
    let time = deadline.remaining().min(ASK_TIME);
    let request = CallsRequest::SubmitJob(Box::new(job));
    let answer = node.cluster.call(&request, time, Duration::ZERO).await;
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
            retry_after: Some(NO_ROOM_RETRY),
        }),
        Ok(_) => Err(Refusal::TimedOut),
        Err(failure) => Err(refusal_of(&failure)),
    };
    if let Err(refusal) = &result {
        log::info!(event = "job_refused", job:% = id, reason:% = refusal; "");
    }
    result
}

/// Serves what else a tenant's callers ask of its jobs. A job of another one is not found.
pub(super) async fn serve(
    node: &Node,
    tenant: Option<&str>,
    request: CallerRequest,
) -> Result<HttpAnswer, Refusal> {
    let id = |name: &str| CallJobId::new(tenant, name);
    match request {
        CallerRequest::ReadResults { job, from, wait } => results(node, id(&job), from, wait).await,
        CallerRequest::ReadItem { job, item } => item_body(node, id(&job), item).await,
        CallerRequest::EndJob(job) => end(node, id(&job)).await,
        CallerRequest::Call(_) => Err(Refusal::NoRoute),
    }
}

async fn results(
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
    match ask_near(node, &request, wait).await? {
        CallsResponse::Results(Some(page)) => {
            let texts = texts(&page)?;
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

fn texts(page: &ResultPage) -> Result<Vec<Vec<u8>>, Refusal> {
    let unreadable = |_| Refusal::WorkerFailed("a stored text can't be read");
    let entries = page.entries.iter();
    entries
        .map(|entry| match entry.text.is_empty() {
            true => Ok(Vec::new()),
            false => decompress(&entry.text).map_err(unreadable),
        })
        .collect()
}

async fn item_body(node: &Node, job: CallJobId, item: String) -> Result<HttpAnswer, Refusal> {
    let request = CallsRequest::ReadItem(ReadItem { job, item });
    match ask_near(node, &request, Duration::ZERO).await? {
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

async fn end(node: &Node, job: CallJobId) -> Result<HttpAnswer, Refusal> {
    let request = CallsRequest::EndJob(job);
    answered(node.cluster.call(&request, ASK_TIME, Duration::ZERO).await)?;
    Ok(node.caller_protocol.answer(CallerAnswer::JobEnded))
}

async fn ask_near(
    node: &Node,
    request: &CallsRequest,
    hold: Duration,
) -> Result<CallsResponse, Refusal> {
    answered(node.cluster.call_near(request, ASK_TIME + hold, hold).await)
}

fn answered(answer: Result<Answered, CallFailure>) -> Result<CallsResponse, Refusal> {
    match answer {
        Ok(answered) => Ok(answered.response),
        // Asking again does no harm, whatever became of this request.
        Err(failure) => Err(refusal_of(&CallFailure {
            maybe_done: false,
            ..failure
        })),
    }
}

fn refusal_of(failure: &CallFailure) -> Refusal {
    if failure.invalid {
        return Refusal::Malformed(failure.message.clone());
    }
    if failure.maybe_done {
        return Refusal::TimedOut;
    }
    Refusal::NotRun {
        reason: "no control machine answers",
        retry_after: Some(LOST_RETRY),
    }
}
