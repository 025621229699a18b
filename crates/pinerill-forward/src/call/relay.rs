//! Events from workers to a caller.
//!
//! The answer keeps the head of its first worker. If that one breaks off and
//! the route allows it, the events go on from another worker behind the last
//! one that was wholly passed on; the connection to the first is closed before.

use pinerill_process::clock::{timeout_at, BootTime};
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
use crate::node::{Node, Occupied};

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, RelayError>;

/// An answer that can't be finished: its connection is cut, so that it does
/// not look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer can't be finished")]
pub struct RelayError;

/// What goes on between a worker and the caller.
pub(super) struct Relay {
    node: Arc<Node>,
    call: Call,
    running: Option<Running>,
    scanner: EventScanner,
    progress: CallProgress,
    attempts: Attempts,
    record: CallRecord,
    ended: bool,
}

/// The run that brings events now.
pub(super) struct Running {
    pub(super) exchange: Exchange,
    pub(super) place: Occupied,
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
            node,
            call,
            running: Some(running),
            progress,
            attempts,
            record,
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

    /// The next events; none after the last.
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
            if let Err(outcome) = self.continue_elsewhere(&broken).await {
                self.ended = true;
                self.record.end(CallOutcome::Cut(outcome));
                // The server writes out what it has been handed when it has
                // to wait; an error that comes at once would discard it.
                yield_now().await;
                return Some(Err(RelayError));
            }
        }
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, BreakReason> {
        let limit = self.patience_until();
        let Some(running) = &mut self.running else {
            return Err(BreakReason::Silent);
        };
        loop {
            let piece = timeout_at(limit, running.exchange.next_piece()).await;
            let Some(piece) = piece.unwrap_or(Err(BreakReason::Silent))? else {
                return match self.scanner.has_partial_event() {
                    true => Err(BreakReason::Truncated),
                    false => Ok(None),
                };
            };
            let batch = self.scanner.push(&piece);
            let batch = batch.map_err(|_| BreakReason::EventOrder)?;
            if batch.count > 0 {
                running.run.reached(self.scanner.last());
                self.record.events(batch.count);
                return Ok(Some(batch.bytes));
            }
        }
    }

    /// How long to wait for a worker that is silent. Silence alone never ends
    /// an answer that can't go on elsewhere.
    fn patience_until(&self) -> BootTime {
        let deadline = self.call.deadline;
        if !self.progress.may_go_on_elsewhere() {
            return deadline;
        }
        let patience = match self.scanner.last() == self.call.head.resume_after {
            true => self.call.first_patience(),
            false => self.call.gap_patience(),
        };
        deadline.min(BootTime::now() + patience)
    }

    fn finish(&mut self) {
        self.ended = true;
        self.record.end(CallOutcome::Answered);
        if let Some(Running {
            exchange,
            place,
            run,
        }) = self.running.take()
        {
            place.succeeded();
            run.answered();
            exchange.finish(self.node.connections());
        }
    }

    /// Finds another worker that goes on behind the last whole event.
    ///
    /// # Errors
    /// The outcome when there is none.
    async fn continue_elsewhere(&mut self, broken: &BreakReason) -> Result<(), String> {
        if let Some(Running { run, .. }) = self.running.take() {
            self.record.attempt_failed(broken);
            self.attempts.broke(&self.node, run, &self.call, broken);
        }
        self.scanner = EventScanner::after(self.scanner.last());
        let mut end = AttemptEnd::MayHaveRun;
        loop {
            let next = self.progress.after(end, self.call.has_time());
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
        let may_leave = self.progress.may_go_on_elsewhere();
        let patience = may_leave.then(|| self.call.first_patience());
        let resume_after = self.scanner.last();
        let attempted = self
            .attempts
            .attempt(
                &self.node,
                &self.call,
                resume_after,
                patience,
                &mut self.record,
            )
            .await;
        let Attempted { sent, place, run } = attempted?;
        let goes_on = sent.answer.verdict == Verdict::Taken && sent.head.status == StatusCode::OK;
        if !goes_on {
            run.answered();
            return Err(AttemptEnd::MayHaveRun);
        }
        self.running = Some(Running {
            exchange: sent.exchange,
            place,
            run,
        });
        Ok(())
    }
}
