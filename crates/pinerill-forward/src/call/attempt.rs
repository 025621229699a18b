//! One attempt at one worker, up to the head of the response.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::directory::WorkerId;
use pinerill_calls::protocol::{AttemptContext, NotRunReason, Verdict};
use pinerill_process::clock::{timeout_at, BootTime};
use tokio::time::{sleep, timeout};

use super::decision::AttemptEnd;
use super::{Call, CallRecord};
use crate::crash::trials::TrialRunner;
use crate::crash::{Run, TrialClaim};
use crate::dispatch::{Placed, Unplaced, WantedWorker};
use crate::exchange::{BreakReason, Exchange, SendFailure, StartedAnswer};
use crate::fleet::RequiredSoftware;
use crate::node::{Node, OccupiedSlot};

/// Delay before the next attempt when no worker is available.
const NO_WORKER_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Shortest time until its deadline with which a call makes a trial run.
const MIN_TRIAL_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes of a refusal's body that are read.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time for which the next attempt waits for the end of a refusal's body.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// The attempts of a call so far, with the workers that later attempts avoid.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Workers at which an attempt failed.
    failed: Vec<WorkerId>,
    /// Whether an attempt was already made at some worker.
    sent: bool,
    /// Whether the present attempt may have begun at its worker.
    in_progress: bool,
    /// Software that the worker of the next attempt must run.
    software: RequiredSoftware,
}

/// An attempt whose response head has arrived.
pub struct Attempted {
    /// Head of the response, with the exchange that delivers the body.
    pub sent: StartedAnswer,
    /// The slot at the worker; freed when dropped.
    pub slot: OccupiedSlot,
    /// The run of the request at the worker. Its end must be reported to it; a run that is dropped
    /// before counts as abandoned by the caller.
    pub run: Run,
}

impl Attempts {
    /// Returns whether a worker may have begun the present attempt and it has not ended.
    pub fn is_in_progress(&self) -> bool {
        self.in_progress
    }

    /// Requires that further attempts go to workers with this software.
    pub fn require_software(&mut self, software: RequiredSoftware) {
        self.software = software;
    }

    /// Waits for a free slot at a worker and sends the call there. `resume_after` is the id of the
    /// event after which the response should continue. `answer_timeout` limits the wait for the
    /// response head; without it, the call's deadline applies alone.
    ///
    /// # Errors
    /// Returns how the attempt ended if there is no response head, or if the worker states that
    /// it did not run the call.
    pub async fn attempt(
        &mut self,
        node: &Arc<Node>,
        call: &Call,
        resume_after: Option<u64>,
        answer_timeout: Option<Duration>,
        record: &mut CallRecord,
    ) -> Result<Attempted, AttemptEnd> {
        self.in_progress = false;
        let Placed {
            chosen,
            place: slot,
        } = tokio::select! {
            // A request that is already known to crash workers gets no slot.
            biased;
            () = node.wait_until_withheld(&call.identity) => return Err(AttemptEnd::CrashesWorkers),
            placed = self.wait_for_slot(node, call, record) => placed?,
        };
        let trial = permit_run(node, call, &chosen.entry.id).await?;
        record.begin_attempt(&chosen);
        self.sent = true;
        let worker = chosen.entry.clone();
        let permit = slot.permit();
        if let Err(reason) = node.confirm(&worker, permit).await {
            record.attempt_failed(&reason);
            return Err(self.handle_not_sent(node, &worker.id, call, &reason));
        }
        let run = Run::begin(node, &worker, &call.identity, resume_after).on_trial(trial);
        let facts = AttemptContext {
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
        self.in_progress = true;
        let asked_ms = node.now_ms();
        let limit = answer_timeout.map_or(call.deadline, |answer_timeout| {
            call.deadline.min(BootTime::now() + answer_timeout)
        });
        let answered = timeout_at(limit, begun).await;
        let sent = match answered {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => {
                record.attempt_failed(&failure.reason);
                return Err(self.handle_send_failure(node, run, call, failure));
            }
            Err(_) => {
                let reason = BreakReason::Silent;
                record.attempt_failed(&reason);
                let failure = SendFailure { sent: true, reason };
                return Err(self.handle_send_failure(node, run, call, failure));
            }
        };
        node.record_worker_answer(asked_ms, &worker.id, &sent.answer);
        if let Verdict::NotRun(reason) = sent.answer.verdict {
            record.attempt_failed(&reason);
            run.mark_not_started();
            self.in_progress = false;
            self.handle_not_run(node, &worker.id, reason, sent).await;
            return Err(AttemptEnd::NotRun);
        }
        call.mark_run();
        Ok(Attempted { sent, slot, run })
    }

    /// Records that a worker failed after the call was sent there, and excludes it from further
    /// attempts.
    pub fn run_failed(&mut self, node: &Node, run: Run, call: &Call, reason: &BreakReason) {
        let worker = run.worker().clone();
        log::info!(
            event = "attempt_broke", id = call.head.id.as_str(), worker = worker.as_str(),
            request:% = call.identity.fingerprint(), reach = run.last_event(), reason:% = reason; ""
        );
        run.mark_broken(reason);
        self.exclude_worker(node, worker, reason);
    }

    fn exclude_worker(&mut self, node: &Node, worker: WorkerId, reason: &BreakReason) {
        node.worker_failed(&worker, reason);
        self.failed.push(worker);
    }

    /// Waits for a free slot at a worker and records the waiting time.
    async fn wait_for_slot(
        &self,
        node: &Arc<Node>,
        call: &Call,
        record: &mut CallRecord,
    ) -> Result<Placed, AttemptEnd> {
        let began = BootTime::now();
        let fresh = !self.sent;
        let wanted = WantedWorker {
            except: &self.failed,
            software: self.software,
        };
        let placed = node.dispatcher.place(node, call, wanted, fresh).await;
        record.add_wait(began.elapsed());
        match placed {
            Ok(placed) => Ok(placed),
            Err(Unplaced::Rejected { retry_after }) => Err(AttemptEnd::Rejected { retry_after }),
            Err(Unplaced::OutOfTime) => Err(AttemptEnd::NotRun),
            Err(Unplaced::NodeStops) => Err(AttemptEnd::NodeStops),
            Err(Unplaced::NoWorker) if self.is_software_gone(node, call) => {
                Err(AttemptEnd::SoftwareGone)
            }
            Err(Unplaced::NoWorker) => {
                sleep(NO_WORKER_RETRY_DELAY.min(call.remaining())).await;
                Err(AttemptEnd::NotRun)
            }
        }
    }

    /// Returns whether only workers of other software are left, apart from those that have failed.
    /// A service without any worker may just not be known yet.
    fn is_software_gone(&self, node: &Node, call: &Call) -> bool {
        self.software.is_bound() && node.with_fleet(|fleet, _| fleet.has_candidates(&call.service))
    }

    fn handle_send_failure(
        &mut self,
        node: &Node,
        run: Run,
        call: &Call,
        failure: SendFailure,
    ) -> AttemptEnd {
        if failure.sent {
            call.mark_run();
            self.run_failed(node, run, call, &failure.reason);
            return AttemptEnd::MayHaveRun;
        }
        let worker = run.worker().clone();
        run.mark_not_started();
        self.in_progress = false;
        self.handle_not_sent(node, &worker, call, &failure.reason)
    }

    /// Records that nothing of the call was sent to a worker and excludes the worker, so that the
    /// next attempt goes to another one.
    fn handle_not_sent(
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
        self.exclude_worker(node, worker.clone(), reason);
        AttemptEnd::NotRun
    }

    async fn handle_not_run(
        &self,
        node: &Node,
        worker: &str,
        reason: NotRunReason,
        sent: StartedAnswer,
    ) {
        match reason {
            NotRunReason::Full => node.worker_full(worker),
            NotRunReason::OtherWorker => node.worker_replaced(worker),
        }
        // The connection returns to the pool if the refusal can be read to its end.
        let reading = sent
            .exchange
            .read_whole(node.connections(), MAX_REFUSAL_BYTES);
        let _ = timeout(REFUSAL_READ_TIMEOUT, reading).await;
    }
}

/// Obtains the permission to send a call that has a slot at this worker.
///
/// # Errors
/// Returns an error if the call is known to crash workers and may not make a trial run.
async fn permit_run(
    node: &Arc<Node>,
    call: &Call,
    worker: &WorkerId,
) -> Result<Option<TrialClaim>, AttemptEnd> {
    if node.is_blocked(&call.identity) && call.remaining() < MIN_TRIAL_TIME {
        return Err(AttemptEnd::CrashesWorkers);
    }
    let permission = node.permit_run(TrialRunner::Call, &call.identity).await;
    let trial = permission.map_err(|_| AttemptEnd::CrashesWorkers)?;
    if trial.is_some() {
        node.metrics.trial_runs.inc();
        log::warn!(
            event = "trial_begins", id = call.head.id.as_str(), worker = worker.as_str(),
            request:% = call.identity.fingerprint(); ""
        );
    }
    Ok(trial)
}
