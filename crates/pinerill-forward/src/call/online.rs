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

/// A call with the state of its attempts.
struct RunningCall {
    node: Arc<Node>,
    call: Call,
    progress: CallProgress,
    attempts: Attempts,
    record: CallRecord,
}

/// What the attempts of a call gave for its caller.
enum CallResponse {
    /// The head of an event stream has arrived.
    Stream(Box<Attempted>),
    /// The whole response.
    Whole(Response<AnswerBody>),
}

/// Runs a call. An event stream is returned as soon as its head has arrived; any other response
/// is buffered first.
///
/// # Errors
/// Returns the refusal for the caller if no attempt gave a response, or none before a stopping node
/// must answer.
pub async fn run_call(node: Arc<Node>, call: Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut running = RunningCall {
        record: CallRecord::begin(&node, &call),
        progress: CallProgress::new(call.route.kind, call.route.attempts),
        attempts: Attempts::default(),
        node: node.clone(),
        call,
    };
    let responded = node.drain.until_answers_due(running.respond()).await;
    match responded.unwrap_or_else(|_| Err(running.refusal_at_stop())) {
        Ok(CallResponse::Stream(attempted)) => Ok(running.stream(*attempted)),
        Ok(CallResponse::Whole(response)) => {
            running.record.set_outcome(CallOutcome::Answered);
            Ok(response)
        }
        Err(refusal) => {
            let outcome = CallOutcome::Refused(refusal.clone());
            running.record.set_outcome(outcome);
            Err(refusal)
        }
    }
}

impl RunningCall {
    /// Makes attempts until one gives a response for the caller.
    async fn respond(&mut self) -> Result<CallResponse, Refusal> {
        let required = self.node.required_software(&self.call).await?;
        if !self.call.follow_origin(required) {
            return Err(Refusal::NotRun {
                reason: "the route has moved from the service that began the stream",
                retry_after: None,
            });
        }
        self.attempts.require_software(required);
        loop {
            let end = match self.attempt().await {
                Ok(response) => return Ok(response),
                Err(end) => end,
            };
            let has_time = self.call.has_time();
            if let Next::Refuse(refusal) = self.progress.next_after(end, has_time) {
                return Err(match has_time || refusal == Refusal::CrashesWorkers {
                    true => refusal,
                    false => self.progress.timeout_refusal(),
                });
            }
        }
    }

    async fn attempt(&mut self) -> Result<CallResponse, AttemptEnd> {
        let (node, call, record) = (&self.node, &self.call, &mut self.record);
        let may_fail_over = self.progress.may_fail_over();
        let answer_timeout = may_fail_over.then(|| call.first_event_timeout());
        let resume_after = call.head.resume_after;
        let attempted = self
            .attempts
            .attempt(node, call, resume_after, answer_timeout, record)
            .await?;
        if is_event_stream(call, &attempted) {
            return Ok(CallResponse::Stream(Box::new(attempted)));
        }
        let response = buffer_answer(node, call, attempted, &mut self.attempts).await;
        response.map(CallResponse::Whole).map_err(|reason| {
            record.attempt_failed(&reason);
            AttemptEnd::MayHaveRun
        })
    }

    /// Returns the refusal for a call that has no response when a stopping node must answer.
    fn refusal_at_stop(&self) -> Refusal {
        let is_sent = self.attempts.is_in_progress();
        if is_sent {
            self.call.mark_run();
        }
        self.progress.refusal_at_stop(is_sent)
    }

    fn stream(self, attempted: Attempted) -> Response<AnswerBody> {
        let RunningCall {
            node,
            call,
            progress,
            attempts,
            record,
        } = self;
        stream_answer(node, call, attempted, progress, attempts, record)
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
