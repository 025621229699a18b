//! One attempt at one worker, up to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::directory::WorkerId;
use pinerill_calls::protocol::{AttemptFacts, NotRunReason, Verdict};
use pinerill_process::clock::{timeout_at, BootTime};
use tokio::time::sleep;

use super::decision::AttemptEnd;
use super::{Call, CallRecord};
use crate::crash::Run;
use crate::dispatch::{Placed, Unplaced};
use crate::exchange::{BreakReason, Exchange, SendFailure, StartedAnswer};
use crate::node::{Node, Occupied};

/// Pause before workers are looked for once more when there is none.
const NO_WORKER_PAUSE: Duration = Duration::from_millis(25);

/// Attempts of a call so far: which workers are not to be asked again.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Workers that failed it.
    failed: Vec<WorkerId>,
    /// Whether anything was sent to a worker.
    sent: bool,
}

/// An attempt whose answer has begun.
pub struct Attempted {
    /// The answer.
    pub sent: StartedAnswer,
    /// The place at the worker; free again when dropped.
    pub place: Occupied,
    /// The run, which is to be told its end.
    pub run: Run,
}

impl Attempts {
    /// Tries one worker, once there is a place at one.
    ///
    /// # Errors
    /// How the attempt ended without an answer.
    pub async fn attempt(
        &mut self,
        node: &Arc<Node>,
        call: &Call,
        resume_after: Option<u64>,
        patience: Option<Duration>,
        record: &mut CallRecord,
    ) -> Result<Attempted, AttemptEnd> {
        let Placed { chosen, place } = tokio::select! {
            // A request that is known already is not even placed.
            biased;
            () = node.until_blocked(&call.identity) => return Err(AttemptEnd::CrashesWorkers),
            placed = self.place(node, call, record) => placed?,
        };
        record.attempt(&chosen);
        self.sent = true;
        let worker = chosen.entry.clone();
        let permit = place.permit();
        if let Err(reason) = node.confirm(&worker, permit).await {
            record.attempt_failed(&reason);
            return Err(self.not_sent(node, &worker.id, call, &reason));
        }
        let run = Run::begin(node, &worker, &call.identity, resume_after);
        let facts = AttemptFacts {
            remaining: Some(call.remaining()),
            worker: worker.id.name(),
            resume_after,
            tenant: call.access.name(),
        };
        let headers = node.worker_protocol().call_headers(&call.headers, &facts);
        let begun = Exchange::begin(
            node.connections(),
            node.worker_protocol(),
            &worker,
            &call.request,
            headers,
            || node.may_send(&worker, permit),
        );
        let asked_ms = node.now_ms();
        let limit = patience.map_or(call.deadline, |patience| {
            call.deadline.min(BootTime::now() + patience)
        });
        let answered = timeout_at(limit, begun).await;
        let sent = match answered {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => {
                record.attempt_failed(&failure.reason);
                return Err(self.lost(node, run, call, failure));
            }
            Err(_) => {
                let reason = BreakReason::Silent;
                record.attempt_failed(&reason);
                let failure = SendFailure { sent: true, reason };
                return Err(self.lost(node, run, call, failure));
            }
        };
        node.record_worker_answer(asked_ms, &worker.id, &sent.answer);
        if let Verdict::NotRun(reason) = sent.answer.verdict {
            record.attempt_failed(&reason);
            run.not_begun();
            self.refused(node, &worker.id, reason, sent).await;
            return Err(AttemptEnd::NotRun);
        }
        call.ran();
        Ok(Attempted { sent, place, run })
    }

    /// Notes that a worker failed the call after it was sent there.
    pub fn broke(&mut self, node: &Node, run: Run, call: &Call, reason: &BreakReason) {
        let worker = run.worker().clone();
        log::info!(
            event = "attempt_broke", id = call.head.id.as_str(), worker = worker.as_str(),
            request:% = call.identity.fingerprint(), reach = run.reach(), reason:% = reason; ""
        );
        run.broke(reason);
        self.failed_at(node, worker, reason);
    }

    fn failed_at(&mut self, node: &Node, worker: WorkerId, reason: &BreakReason) {
        node.worker_failed(&worker, reason);
        self.failed.push(worker);
    }

    /// Waits for a place at a worker.
    async fn place(
        &self,
        node: &Arc<Node>,
        call: &Call,
        record: &mut CallRecord,
    ) -> Result<Placed, AttemptEnd> {
        let began = BootTime::now();
        let fresh = !self.sent;
        let placed = node.dispatcher.place(node, call, &self.failed, fresh).await;
        record.waited(began.elapsed());
        match placed {
            Ok(placed) => Ok(placed),
            Err(Unplaced::Rejected { retry_after }) => Err(AttemptEnd::SentAway { retry_after }),
            Err(Unplaced::OutOfTime) => Err(AttemptEnd::NotRun),
            Err(Unplaced::NoWorker) => {
                sleep(NO_WORKER_PAUSE.min(call.remaining())).await;
                Err(AttemptEnd::NotRun)
            }
        }
    }

    fn lost(&mut self, node: &Node, run: Run, call: &Call, failure: SendFailure) -> AttemptEnd {
        if failure.sent {
            call.ran();
            self.broke(node, run, call, &failure.reason);
            return AttemptEnd::MayHaveRun;
        }
        let worker = run.worker().clone();
        run.not_begun();
        self.not_sent(node, &worker, call, &failure.reason)
    }

    /// Nothing of the call went to a worker; another one is to be tried.
    fn not_sent(
        &mut self,
        node: &Node,
        worker: &WorkerId,
        call: &Call,
        reason: &BreakReason,
    ) -> AttemptEnd {
        log::info!(
            event = "attempt_not_sent", id = call.head.id.as_str(), worker = worker.as_str(),
            reason:% = reason; ""
        );
        self.failed_at(node, worker.clone(), reason);
        AttemptEnd::NotRun
    }

    async fn refused(&self, node: &Node, worker: &str, reason: NotRunReason, sent: StartedAnswer) {
        match reason {
            NotRunReason::Full => node.worker_full(worker),
            NotRunReason::OtherWorker => node.worker_replaced(worker),
        }
        // The connection is kept if the refusal could be read to its end.
        let limit = REFUSAL_LIMIT;
        let _ = sent.exchange.read_whole(node.connections(), limit).await;
    }
}

/// Bytes of a refusal's body that are read.
const REFUSAL_LIMIT: usize = 64 << 10;
