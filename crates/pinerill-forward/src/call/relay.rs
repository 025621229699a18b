//! Relays an event stream from workers to a caller.
//!
//! The response keeps the head that the first worker sent. If that worker breaks off and the
//! route allows it, another worker continues the stream after the last event that was passed on
//! completely; the connection to the first worker is closed before that.

use pinerill_process::clock::{suspensions, timeout_at, BootTime};
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use pinerill_calls::protocol::Verdict;
use thiserror::Error;
use tokio::task::yield_now;

use super::attempt::{Attempted, Attempts};
use super::decision::{AttemptEnd, CallProgress, Next};
use super::{Call, CallOutcome, CallRecord};
use crate::crash::Run;
use crate::exchange::{BreakReason, EventScanner, Exchange};
use crate::fleet::{RequiredSoftware, StreamOrigin};
use crate::gaps::GapMeter;
use crate::node::{Node, OccupiedSlot};

/// Body of a response to a caller, either complete or streamed.
pub type AnswerBody = UnsyncBoxBody<Bytes, RelayError>;

/// Error of a response that can't be completed. The caller's connection is closed within the
/// body, so that the truncated response is not mistaken for a complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response can't be completed")]
pub struct RelayError;

/// State of one event stream between workers and the caller.
pub(super) struct Relay {
    node: Arc<Node>,
    call: Call,
    running: Option<Running>,
    scanner: EventScanner,
    /// Gaps between the events of the current attempt.
    meter: GapMeter,
    progress: CallProgress,
    attempts: Attempts,
    record: CallRecord,
    /// Whether the origin of the stream is recorded for later resumptions.
    is_origin_recorded: bool,
    ended: bool,
}

/// The current attempt, which delivers the events. Dropping it closes the connection to the
/// worker and frees the slot.
pub(super) struct Running {
    pub(super) exchange: Exchange,
    pub(super) slot: OccupiedSlot,
    pub(super) run: Run,
}

impl Relay {
    pub(super) fn new(
        node: Arc<Node>,
        call: Call,
        running: Running,
        progress: CallProgress,
        attempts: Attempts,
        record: CallRecord,
    ) -> Self {
        Relay {
            scanner: EventScanner::after(call.head.resume_after),
            meter: GapMeter::new(BootTime::now(), suspensions()),
            node,
            call,
            running: Some(running),
            progress,
            attempts,
            record,
            is_origin_recorded: false,
            ended: false,
        }
    }

    pub(super) fn into_body(self) -> AnswerBody {
        let events = stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(events))
    }

    /// Returns the next complete events; `None` after the last ones and after an error.
    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if self.ended {
            return None;
        }
        loop {
            let broken = match self.next_events().await {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(reason) => reason,
            };
            if let Err(outcome) = self.fail_over(&broken).await {
                self.ended = true;
                self.record.set_outcome(CallOutcome::Cut(outcome));
                // hyper flushes the events passed on so far only when the body is pending; an
                // immediate error would discard them.
                yield_now().await;
                return Some(Err(RelayError));
            }
        }
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, BreakReason> {
        let limit = self.silence_deadline();
        let Some(running) = &mut self.running else {
            return Err(BreakReason::Silent);
        };
        self.meter.begin_read(BootTime::now());
        loop {
            let piece = timeout_at(limit, running.exchange.next_piece()).await;
            let Some(piece) = piece.unwrap_or(Err(BreakReason::Silent))? else {
                return self.scanner.check_end().map(|()| None);
            };
            let batch = self.scanner.push(&piece);
            let batch = batch.map_err(|_| BreakReason::EventOrder)?;
            if batch.count > 0 {
                running.run.record_event(self.scanner.last());
                let gap = (self.meter).record_events(BootTime::now(), batch.count, suspensions());
                self.node.record_gap(running.slot.worker(), gap);
                self.record.add_events(batch.count);
                if !self.is_origin_recorded {
                    let origin = running.run.origin();
                    self.bind_to(origin);
                }
                return Ok(Some(batch.bytes));
            }
        }
    }

    /// Binds the stream to the worker of its first events: from then on it continues only at the
    /// same software version, here and at other nodes.
    fn bind_to(&mut self, origin: StreamOrigin) {
        self.is_origin_recorded = true;
        self.attempts
            .require_software(RequiredSoftware::SameAs(origin));
        self.node.record_origin(&self.call, origin);
    }

    /// Returns the time until which to wait for the next event: the call's deadline if no other
    /// worker may continue the stream, or else the end of the silence timeout.
    fn silence_deadline(&self) -> BootTime {
        let deadline = self.call.deadline;
        if !self.progress.may_fail_over() {
            return deadline;
        }
        let timeout = match self.scanner.last() == self.call.head.resume_after {
            true => self.call.first_event_timeout(),
            false => self.call.event_gap_timeout(),
        };
        deadline.min(BootTime::now() + timeout)
    }

    fn finish(&mut self) {
        self.ended = true;
        self.record.set_outcome(CallOutcome::Answered);
        if let Some(Running {
            exchange,
            slot,
            run,
        }) = self.running.take()
        {
            self.node.record_gap(slot.worker(), self.meter.take_gap());
            if self.scanner.last().is_some() && self.call.head.resume_after.is_none() {
                let run_time = self.meter.run_time(BootTime::now());
                self.node.record_call_run(slot.worker(), run_time);
            }
            slot.succeeded();
            run.mark_stream_completed();
            exchange.finish(self.node.connections());
        }
    }

    /// Continues the stream at another worker, after the last complete event.
    ///
    /// # Errors
    /// Returns the text of `broken`, the failure of the first worker, if the call may not be sent
    /// again.
    async fn fail_over(&mut self, broken: &BreakReason) -> Result<(), String> {
        if let Some(Running { run, .. }) = self.running.take() {
            self.record.attempt_failed(broken);
            self.attempts
                .run_failed(&self.node, run, &self.call, broken);
        }
        self.scanner = EventScanner::after(self.scanner.last());
        let mut end = AttemptEnd::MayHaveRun;
        loop {
            let next = self.progress.next_after(end, self.call.has_time());
            if let Next::Refuse(_) = next {
                return Err(broken.to_string());
            }
            match self.attempt().await {
                Ok(()) => return Ok(()),
                Err(failed) => end = failed,
            }
        }
    }

    async fn attempt(&mut self) -> Result<(), AttemptEnd> {
        let may_fail_over = self.progress.may_fail_over();
        let answer_timeout = may_fail_over.then(|| self.call.first_event_timeout());
        let resume_after = self.scanner.last();
        let attempted = self
            .attempts
            .attempt(
                &self.node,
                &self.call,
                resume_after,
                answer_timeout,
                &mut self.record,
            )
            .await;
        let Attempted { sent, slot, run } = attempted?;
        let continues =
            sent.answer.verdict == Verdict::Accepted && sent.head.status == StatusCode::OK;
        if !continues {
            run.mark_answered();
            return Err(AttemptEnd::MayHaveRun);
        }
        self.meter = GapMeter::resumed(BootTime::now(), suspensions());
        self.running = Some(Running {
            exchange: sent.exchange,
            slot,
            run,
        });
        Ok(())
    }
}
