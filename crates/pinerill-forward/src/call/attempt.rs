//! One attempt at one worker, up to the head of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pinerill_calls::protocol::{AttemptFacts, NotRunReason, Verdict};
use tokio::time::{sleep, timeout_at};

use super::decision::AttemptEnd;
use super::{Call, CallRecord};
use crate::exchange::{BreakReason, Exchange, SendFailure, Sent};
use crate::fleet::{Chosen, Wanted};
use crate::node::{Node, Occupied};

/// Pause before all workers are asked once more.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// Attempts of a call so far: which workers are not to be asked again.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Workers that failed it.
    failed: Vec<String>,
    /// Workers that had no room in this round.
    full: Vec<String>,
}

/// An attempt whose answer has begun.
pub struct Attempted {
    /// The answer.
    pub sent: Sent,
    /// The place at the worker; free again when dropped.
    pub place: Occupied,
}

/// An attempt without an answer.
#[derive(Debug)]
pub struct AttemptFailure {
    /// Whether it may have run.
    pub end: AttemptEnd,
    /// Whether every worker was asked in vain.
    round_over: bool,
}

impl AttemptFailure {
    /// Waits before all workers are asked once more, if they all were.
    pub async fn pause(&self, call: &Call) {
        if self.round_over {
            sleep(ROUND_PAUSE.min(call.remaining())).await;
        }
    }
}

impl Attempts {
    /// Tries one worker.
    ///
    /// # Errors
    /// [`AttemptFailure`].
    pub async fn attempt(
        &mut self,
        node: &Arc<Node>,
        call: &Call,
        resume_after: Option<u64>,
        patience: Option<Duration>,
        record: &mut CallRecord,
    ) -> Result<Attempted, AttemptFailure> {
        let Some(chosen) = self.choose(node, call) else {
            let round_over = true;
            self.full.clear();
            let end = AttemptEnd::NotRun;
            return Err(AttemptFailure { end, round_over });
        };
        record.attempt(&chosen);
        let worker = chosen.entry.clone();
        let place = node.occupy(&chosen, &call.prompt);
        let facts = AttemptFacts {
            remaining: Some(call.remaining()),
            worker: &worker.id,
            resume_after,
        };
        let headers = node.worker_protocol().call_headers(&call.headers, &facts);
        let begun = Exchange::begin(
            node.connections(),
            node.worker_protocol(),
            &worker,
            &call.request,
            headers,
        );
        let limit = patience.map_or(call.deadline, |patience| {
            call.deadline.min(Instant::now() + patience)
        });
        let answered = timeout_at(limit.into(), begun).await;
        let sent = match answered {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => {
                record.attempt_failed(&failure.reason);
                return Err(self.lost(node, &worker.id, call, failure));
            }
            Err(_) => {
                let reason = BreakReason::Silent;
                record.attempt_failed(&reason);
                let failure = SendFailure { sent: true, reason };
                return Err(self.lost(node, &worker.id, call, failure));
            }
        };
        if let Some(load) = sent.answer.load {
            node.take_load(&worker.id, load);
        }
        if let Verdict::NotRun(reason) = sent.answer.verdict {
            record.attempt_failed(&reason);
            self.refused(node, &worker.id, reason, sent).await;
            let end = AttemptEnd::NotRun;
            let round_over = false;
            return Err(AttemptFailure { end, round_over });
        }
        Ok(Attempted { sent, place })
    }

    /// Notes that a worker failed the call after its answer had begun.
    pub fn broke(&mut self, node: &Node, worker: &str, call: &Call, reason: &BreakReason) {
        node.worker_failed(worker);
        log::info!(
            event = "attempt_broke", id = call.head.id.as_str(), worker, reason:% = reason; ""
        );
        self.failed.push(worker.to_owned());
    }

    fn choose(&self, node: &Node, call: &Call) -> Option<Chosen> {
        let mut except = self.failed.clone();
        except.extend(self.full.iter().cloned());
        node.choose(&Wanted {
            service: &call.service,
            prompt: &call.prompt,
            except: &except,
        })
    }

    fn lost(
        &mut self,
        node: &Node,
        worker: &str,
        call: &Call,
        failure: SendFailure,
    ) -> AttemptFailure {
        self.broke(node, worker, call, &failure.reason);
        let end = match failure.sent {
            true => AttemptEnd::MayHaveRun,
            false => AttemptEnd::NotRun,
        };
        let round_over = false;
        AttemptFailure { end, round_over }
    }

    async fn refused(&mut self, node: &Node, worker: &str, reason: NotRunReason, sent: Sent) {
        match reason {
            NotRunReason::Full => node.worker_full(worker),
            NotRunReason::OtherWorker => node.worker_replaced(worker),
        }
        self.full.push(worker.to_owned());
        // The connection is kept if the refusal could be read to its end.
        let limit = REFUSAL_LIMIT;
        let _ = sent.exchange.read_whole(node.connections(), limit).await;
    }
}

/// Bytes of a refusal's body that are read.
const REFUSAL_LIMIT: usize = 64 << 10;
