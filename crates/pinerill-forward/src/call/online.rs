//! Runs a call: makes attempts until there is a response or a refusal.

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

/// Largest response body, in bytes, that is buffered before it is passed on.
const MAX_BUFFERED_ANSWER_BYTES: usize = 16 << 20;

/// Runs a call. An event stream is returned as soon as its head has arrived; any other response
/// is buffered first.
///
/// # Errors
/// Returns the refusal for the caller if no attempt gave a response.
pub async fn run_call(node: Arc<Node>, mut call: Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut record = CallRecord::begin(&node, &call);
    let required = match node.required_software(&call).await {
        Ok(required) => call.follow_origin(required),
        Err(refusal) => {
            record.set_outcome(CallOutcome::Refused(refusal.clone()));
            return Err(refusal);
        }
    };
    let mut progress = CallProgress::new(call.route.kind, call.route.attempts);
    let mut attempts = Attempts::requiring(required);
    loop {
        let may_fail_over = progress.may_fail_over();
        let answer_timeout = may_fail_over.then(|| call.first_event_timeout());
        let resume_after = call.head.resume_after;
        let attempted = attempts
            .attempt(&node, &call, resume_after, answer_timeout, &mut record)
            .await;
        let end = match attempted {
            Ok(attempted) if is_event_stream(&call, &attempted) => {
                return Ok(stream_answer(
                    node, call, attempted, progress, attempts, record,
                ));
            }
            Ok(attempted) => match buffer_answer(&node, &call, attempted, &mut attempts).await {
                Ok(response) => {
                    record.set_outcome(CallOutcome::Answered);
                    return Ok(response);
                }
                Err(reason) => {
                    record.attempt_failed(&reason);
                    AttemptEnd::MayHaveRun
                }
            },
            Err(end) => end,
        };
        if let Next::Refuse(refusal) = progress.next_after(end, call.has_time()) {
            let refusal = match call.has_time() || refusal == Refusal::CrashesWorkers {
                true => refusal,
                false => progress.timeout_refusal(),
            };
            record.set_outcome(CallOutcome::Refused(refusal.clone()));
            return Err(refusal);
        }
    }
}

fn is_event_stream(call: &Call, attempted: &Attempted) -> bool {
    call.route.kind.is_stream()
        && attempted.sent.answer.verdict == Verdict::Accepted
        && attempted.sent.head.status == StatusCode::OK
}

fn stream_answer(
    node: Arc<Node>,
    call: Call,
    attempted: Attempted,
    progress: CallProgress,
    attempts: Attempts,
    record: CallRecord,
) -> Response<AnswerBody> {
    let Attempted { sent, slot, run } = attempted;
    let headers = node.worker_protocol().answer_headers(&sent.head.headers);
    let status = sent.head.status;
    let running = Running {
        exchange: sent.exchange,
        slot,
        run,
    };
    let relay = Relay::new(node, call, running, progress, attempts, record);
    let mut response = Response::new(relay.into_body());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads a response that is not an event stream to its end, so that a truncated response is
/// never passed on as complete.
async fn buffer_answer(
    node: &Node,
    call: &Call,
    attempted: Attempted,
    attempts: &mut Attempts,
) -> Result<Response<AnswerBody>, BreakReason> {
    let Attempted { sent, slot, run } = attempted;
    // The slot is freed only after the body was read.
    let _slot = slot;
    let headers = node.worker_protocol().answer_headers(&sent.head.headers);
    let verdict = sent.answer.verdict;
    let reading = sent
        .exchange
        .read_whole(node.connections(), MAX_BUFFERED_ANSWER_BYTES);
    let read = timeout_at(call.deadline, reading).await;
    let body = match read.unwrap_or(Err(BreakReason::Silent)) {
        Ok(body) => {
            match verdict {
                Verdict::Accepted => run.mark_completed(),
                _ => run.mark_answered(),
            }
            body
        }
        Err(reason) => {
            attempts.run_failed(node, run, call, &reason);
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
