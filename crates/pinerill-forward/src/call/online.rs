//! Attempts until there is an answer.

use std::sync::Arc;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use pinerill_calls::protocol::{Refusal, Verdict};
use pinerill_process::clock::timeout_at;

use super::attempt::{Attempted, Attempts};
use super::decision::{AttemptEnd, CallProgress, Next};
use super::relay::{AnswerBody, Relay, Running};
use super::{Call, CallOutcome, CallRecord};
use crate::exchange::BreakReason;
use crate::node::Node;

/// Longest answer that is read whole before it is passed on.
const WHOLE_ANSWER_LIMIT: usize = 16 << 20;

/// Runs a call.
///
/// # Errors
/// A refusal for the caller.
pub async fn run_call(node: Arc<Node>, call: Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut record = CallRecord::begin(&node, &call);
    let mut progress = CallProgress::new(call.route.kind, call.route.attempts);
    let mut attempts = Attempts::default();
    loop {
        let may_leave = progress.may_go_on_elsewhere();
        let patience = may_leave.then(|| call.first_patience());
        let resume_after = call.head.resume_after;
        let attempted = attempts
            .attempt(&node, &call, resume_after, patience, &mut record)
            .await;
        let end = match attempted {
            Ok(attempted) if streams(&call, &attempted) => {
                return Ok(stream(node, call, attempted, progress, attempts, record));
            }
            Ok(attempted) => match whole(&node, &call, attempted, &mut attempts).await {
                Ok(response) => {
                    record.end(CallOutcome::Answered);
                    return Ok(response);
                }
                Err(reason) => {
                    record.attempt_failed(&reason);
                    AttemptEnd::MayHaveRun
                }
            },
            Err(end) => end,
        };
        if let Next::Refuse(refusal) = progress.after(end, call.has_time()) {
            let refusal = match call.has_time() || refusal == Refusal::CrashesWorkers {
                true => refusal,
                false => progress.out_of_time(),
            };
            record.end(CallOutcome::Refused(refusal.clone()));
            return Err(refusal);
        }
    }
}

fn streams(call: &Call, attempted: &Attempted) -> bool {
    call.route.kind.is_stream()
        && attempted.sent.answer.verdict == Verdict::Taken
        && attempted.sent.head.status == StatusCode::OK
}

fn stream(
    node: Arc<Node>,
    call: Call,
    attempted: Attempted,
    progress: CallProgress,
    attempts: Attempts,
    record: CallRecord,
) -> Response<AnswerBody> {
    let Attempted { sent, place, run } = attempted;
    let headers = node.worker_protocol().answer_headers(&sent.head.headers);
    let status = sent.head.status;
    let running = Running {
        exchange: sent.exchange,
        place,
        run,
    };
    let relay = Relay::new(node, call, running, progress, attempts, record);
    let mut response = Response::new(relay.into_body());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads an answer that is no stream to its end, so that one that breaks off
/// never looks whole.
async fn whole(
    node: &Node,
    call: &Call,
    attempted: Attempted,
    attempts: &mut Attempts,
) -> Result<Response<AnswerBody>, BreakReason> {
    let Attempted { sent, place, run } = attempted;
    // Given up only once the answer is whole.
    let _place = place;
    let headers = node.worker_protocol().answer_headers(&sent.head.headers);
    let reading = sent
        .exchange
        .read_whole(node.connections(), WHOLE_ANSWER_LIMIT);
    let read = timeout_at(call.deadline, reading).await;
    let body = match read.unwrap_or(Err(BreakReason::Silent)) {
        Ok(body) => {
            run.answered();
            body
        }
        Err(reason) => {
            attempts.broke(node, run, call, &reason);
            return Err(reason);
        }
    };
    let mut response = Response::new(
        Full::new(body)
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = sent.head.status;
    *response.headers_mut() = headers;
    Ok(response)
}
