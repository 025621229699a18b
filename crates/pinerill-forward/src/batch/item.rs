//! Runs one leased item of a job until it completes, fails or is released.
//!
//! `leases` spawns one task per leased item. Each attempt waits for a slot, sends the item to
//! a worker and reads its events. After a broken attempt or a preemption, the item resumes
//! behind its last event, possibly at another worker.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use pinerill_calls::compression::compress;
use pinerill_calls::directory::WorkerId;
use pinerill_calls::job::{ItemOutcome, ItemReport};
use pinerill_calls::message::LeasedItem;
use pinerill_calls::protocol::{AttemptContext, NotRunReason, Verdict};
use pinerill_process::clock::{suspensions, BootTime};
use tokio::time::{sleep, timeout};

use super::held::HeldLeases;
use super::item_slot::wait_for_slot;
use super::preemption::RunningItem;
use super::reports::ReportSender;
use super::running::{prepare, ActiveItem};
use super::runs::ItemRun;
use super::withheld::{record_trial, withhold};
use crate::crash::suspect::Suspect;
use crate::crash::trials::TrialRunner;
use crate::crash::{Run as WorkerRun, TrialClaim};
use crate::exchange::{BreakReason, EventScanner, Exchange, StartedAnswer};
use crate::fleet::{RequiredSoftware, WorkerSoftware};
use crate::gaps::GapMeter;
use crate::node::{Node, OccupiedSlot};

/// Delay before an item that could not be prepared is released to the leader.
const START_FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Interval between two searches for a free slot, and delay after a worker rejected the item.
pub(super) const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time without data from a worker after which an attempt fails and the item resumes at another
/// worker.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without an event after which an attempt fails although the worker sends bytes. Shorter than
/// `stall::MAX_WITHOUT_EVENT_MS`, so that another worker is tried before text is dropped.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after the first response that is neither a result nor a failed run. It doubles with each
/// further one.
const NO_RESULT_DELAY: Duration = Duration::from_millis(100);
/// Number of such responses after which an item that has no events yet is released: workers of
/// another zone may process it.
const MAX_WITHOUT_RESULT: u32 = 5;
/// Longest delay after such a response.
const MAX_NO_RESULT_DELAY: Duration = Duration::from_secs(2);
/// Largest text of an item, in bytes. It bounds the memory that a worker without an end takes.
const MAX_TEXT_BYTES: usize = 8 << 20;
/// Largest response body, in bytes, that is read when the response is not an event stream.
const SHORT_ANSWER_LIMIT: usize = 64 << 10;

/// Runs an item and sends its final result to `reporter`. Dropping the future closes the
/// connection to the worker, which then stops processing the item.
pub(super) async fn run(
    node: Arc<Node>,
    held: Arc<HeldLeases>,
    leased: LeasedItem,
    reporter: ReportSender,
) {
    let item = leased.item.clone();
    let started = BootTime::now();
    let Some(mut running) = prepare(&node, leased).await else {
        // The item did not run, so no failure is reported: the item may have ended in the
        // meantime, or its route may be missing here or newer than the leader's.
        log::warn!(event = "item_not_begun", job:% = item.job, index = item.index; "");
        sleep(START_FAILURE_DELAY).await;
        held.give_back(&item);
        return;
    };
    let end = loop {
        match attempt(&node, &held, &mut running).await {
            AttemptResult::Ended(end) => break end,
            AttemptResult::Retry => {}
            AttemptResult::Withheld(suspect) => {
                withhold(&node, &running, suspect).await;
                running.stall.skip(node.now_ms());
            }
            AttemptResult::Unplaced => {
                log::info!(
                    event = "item_given_back", id = running.leased.id.as_str(),
                    job:% = item.job, index = item.index, service = running.service.as_str(),
                    without_result = running.without_result; ""
                );
                held.give_back(&item);
                return;
            }
        }
    };
    let outcome = match &end {
        ItemOutcome::Completed(_) => "completed",
        ItemOutcome::Impossible => "impossible",
        ItemOutcome::Failed { .. } => "failed",
    };
    node.metrics.item_ended(outcome);
    if let ItemOutcome::Completed(_) = &end {
        node.runs.record_run_time(running.time_run);
    }
    log::info!(
        event = "item_ended", id = running.leased.id.as_str(), job:% = item.job,
        index = item.index, attempts = running.attempts, bytes = running.bytes.0,
        kept_bytes = running.bytes.1, gave_way = running.preemptions,
        outcome, ms = started.elapsed().as_millis() as u64; ""
    );
    // Sending cannot fail: the receiver lives as long as the node.
    let _ = reporter.send(ItemReport { item, end });
}

/// Result of one attempt to run an item.
enum AttemptResult {
    /// The item has a final result.
    Ended(ItemOutcome),
    /// The item needs another attempt.
    Retry,
    /// The item was not sent because this is known to crash workers.
    Withheld(Suspect),
    /// None of the item's events have arrived or are kept, and either no worker has a free slot for it
    /// or several workers responded without a result.
    Unplaced,
}

async fn attempt(node: &Arc<Node>, held: &HeldLeases, running: &mut ActiveItem) -> AttemptResult {
    if running.last_event.is_none() && running.without_result >= MAX_WITHOUT_RESULT {
        return AttemptResult::Unplaced;
    }
    let trial = match node.permit_run(TrialRunner::Item, &running.identity).await {
        Ok(trial) => trial,
        Err(suspect) => return AttemptResult::Withheld(suspect),
    };
    let slot = match &trial {
        None => wait_for_slot(node, held, running).await,
        Some(trial) => match timeout(trial.remaining(), wait_for_slot(node, held, running)).await {
            Ok(slot) => slot,
            Err(_) => return AttemptResult::Retry,
        },
    };
    let Some(slot) = slot else {
        return AttemptResult::Unplaced;
    };
    // Workers may have crashed while the item waited.
    let may_run = match &trial {
        Some(trial) => trial.permits(&running.identity),
        None => !node.is_blocked(&running.identity),
    };
    if !may_run {
        return AttemptResult::Retry;
    }
    if trial.is_some() {
        record_trial(node, running, slot.worker());
    }
    match attempt_on(node, held, running, slot, trial).await {
        Some(end) => AttemptResult::Ended(end),
        None => AttemptResult::Retry,
    }
}

/// Makes one attempt at the worker of `slot`. Returns None if the item needs another attempt.
async fn attempt_on(
    node: &Arc<Node>,
    held: &HeldLeases,
    running: &mut ActiveItem,
    slot: OccupiedSlot,
    trial: Option<TrialClaim>,
) -> Option<ItemOutcome> {
    let chosen = slot.worker().clone();
    running.attempts += 1;
    let StartedRun {
        sent,
        slot,
        mut run,
    } = match send(node, running, slot, trial).await {
        Ok(begun) => begun,
        Err(reason) => {
            record_broken_attempt(node, running, &chosen, &reason);
            return None;
        }
    };
    match sent.answer.verdict {
        Verdict::NotRun(reason) => {
            match reason {
                NotRunReason::Full => node.worker_full(&chosen),
                NotRunReason::OtherWorker => node.worker_replaced(&chosen),
            }
            run.mark_not_started();
            drain(node, sent).await;
            sleep(SLOT_RETRY_INTERVAL).await;
            None
        }
        Verdict::Impossible => {
            run.mark_answered();
            drain(node, sent).await;
            Some(ItemOutcome::Impossible)
        }
        Verdict::Accepted if sent.head.status == StatusCode::OK => {
            let began = BootTime::now();
            let pace = node.with_fleet(|fleet, _| fleet.pace_of(&chosen));
            let registered = register_run(node, running, run.software(), pace);
            let exchange = sent.exchange;
            let read = read_events(running, held, exchange, slot, &mut run, registered).await;
            running.time_run += began.elapsed().div_f64(pace);
            match read {
                Ok(ReadEnd::Preempted) => {
                    record_preemption(node, running, &chosen);
                    None
                }
                Ok(ReadEnd::LeaseUnconfirmed) => None,
                Ok(ReadEnd::Complete) => {
                    run.mark_stream_completed();
                    let text = std::mem::take(&mut running.text).into_bytes();
                    let kept = compress(&text);
                    running.bytes = (text.len(), kept.len());
                    Some(ItemOutcome::Completed(kept))
                }
                Err(reason) => {
                    run.mark_broken(&reason);
                    record_broken_attempt(node, running, &chosen, &reason);
                    None
                }
            }
        }
        Verdict::Accepted | Verdict::Other => {
            run.mark_answered();
            record_no_result(running, &chosen, &sent);
            drain(node, sent).await;
            drop(slot);
            sleep(no_result_delay(running.without_result)).await;
            None
        }
        Verdict::Failed => {
            run.mark_answered();
            let failed_run = rand::random();
            log::info!(
                event = "item_run_failed", id = running.leased.id.as_str(),
                worker = chosen.as_str(), status = sent.head.status.as_u16(),
                named = sent.answer.id.as_deref(), carried = sent.exchange.carried(),
                run = failed_run; ""
            );
            drain(node, sent).await;
            Some(ItemOutcome::Failed { run: failed_run })
        }
    }
}

/// A run for which the worker has started to respond.
struct StartedRun {
    sent: StartedAnswer,
    slot: OccupiedSlot,
    run: WorkerRun,
}

/// Sends the item to the worker of `slot` and waits until the response starts.
async fn send(
    node: &Arc<Node>,
    running: &ActiveItem,
    slot: OccupiedSlot,
    trial: Option<TrialClaim>,
) -> Result<StartedRun, BreakReason> {
    let Some(worker) = node.with_fleet(|fleet, _| {
        let worker = fleet.worker(slot.worker())?;
        Some(worker.entry().clone())
    }) else {
        return Err(BreakReason::Connect("the worker is gone".to_owned()));
    };
    let permit = slot.permit();
    node.confirm(&worker, permit).await?;
    let run = WorkerRun::begin(node, &worker, &running.identity, running.last_event);
    let run = run.on_trial(trial);
    let facts = AttemptContext {
        remaining: None,
        worker: worker.id.name(),
        resume_after: running.last_event,
        tenant: running.leased.item.job.tenant(),
    };
    let protocol = node.worker_protocol();
    let leased = &running.leased;
    let headers = protocol.item_headers(&leased.id, &leased.host, &running.headers, &facts);
    let begun = Exchange::begin(
        node.connections(),
        protocol,
        &worker,
        &running.request,
        headers,
        || node.may_send(&worker, permit),
    );
    let asked_ms = node.now_ms();
    let sent = match timeout(IDLE_TIMEOUT, begun).await {
        Ok(Ok(sent)) => sent,
        Ok(Err(failure)) => {
            match failure.sent {
                true => run.mark_broken(&failure.reason),
                false => run.mark_not_started(),
            }
            return Err(failure.reason);
        }
        Err(_) => {
            run.mark_broken(&BreakReason::Silent);
            return Err(BreakReason::Silent);
        }
    };
    node.record_worker_answer(asked_ms, &worker.id, &sent.answer);
    Ok(StartedRun { sent, slot, run })
}

/// Reason why reading an item's events ended without an error.
enum ReadEnd {
    /// All events have arrived.
    Complete,
    /// The run was preempted by a waiting call.
    Preempted,
    /// The machine was suspended, and the leader has not confirmed the lease for
    /// `leases::RENEWAL_TTL`.
    LeaseUnconfirmed,
}

/// Appends the events of a response to the item until all have arrived or the run must end.
async fn read_events(
    running: &mut ActiveItem,
    held: &HeldLeases,
    mut exchange: Exchange,
    slot: OccupiedSlot,
    worker_run: &mut WorkerRun,
    mut run: ItemRun,
) -> Result<ReadEnd, BreakReason> {
    let node = slot.node().clone();
    let mut scanner = EventScanner::after(running.last_event);
    let suspensions_before = suspensions();
    let mut meter = GapMeter::new(BootTime::now(), suspensions_before);
    let mut advanced = BootTime::now();
    loop {
        meter.begin_read(BootTime::now());
        let piece = tokio::select! {
            piece = timeout(IDLE_TIMEOUT, exchange.next_piece()) => piece,
            // Dropping the exchange closes its connection, which stops the worker's run.
            Ok(()) = &mut run.preempted => {
                slot.succeeded();
                return Ok(ReadEnd::Preempted);
            }
        };
        let Some(piece) = piece.unwrap_or(Err(BreakReason::Silent))? else {
            break;
        };
        if suspensions() != suspensions_before && !held.is_renewed() {
            slot.succeeded();
            return Ok(ReadEnd::LeaseUnconfirmed);
        }
        let batch = scanner.push(&piece).map_err(|_| BreakReason::EventOrder)?;
        if scanner.last() != running.last_event {
            advanced = BootTime::now();
        } else if advanced.elapsed() >= EVENT_TIMEOUT {
            return Err(BreakReason::Silent);
        }
        if batch.count > 0 {
            running.text.append(&batch.bytes);
            if running.text.len() > MAX_TEXT_BYTES {
                running.begin_again("its text is too long");
                return Err(BreakReason::TooLong);
            }
            running.last_event = scanner.last();
            if !running.software.is_bound() {
                running.software = RequiredSoftware::SameAs(worker_run.origin());
            }
            worker_run.record_event(running.last_event);
            let gap = meter.record_events(BootTime::now(), batch.count, suspensions());
            node.record_gap(slot.worker(), gap);
            if let Some(interrupted_at) = running.interrupted_at.take() {
                node.runs.record_interruption(interrupted_at.elapsed());
            }
        }
    }
    scanner.check_end()?;
    node.record_gap(slot.worker(), meter.take_gap());
    slot.succeeded();
    exchange.finish(node.connections());
    Ok(ReadEnd::Complete)
}

fn register_run(node: &Node, running: &ActiveItem, software: WorkerSoftware, pace: f64) -> ItemRun {
    node.runs.begin(RunningItem {
        service: running.service.clone(),
        software,
        due_ms: running.due_ms,
        began_ms: node.now_ms(),
        ran_ms: running.time_run.as_secs_f64() * 1_000.0,
        allowed_ms: running.leased.due_in_ms.max(0) as f64,
        pace,
    })
}

/// Counts and logs a preemption, and records its time unless an earlier one has brought no event
/// since.
fn record_preemption(node: &Node, running: &mut ActiveItem, worker: &str) {
    running.interrupted_at.get_or_insert_with(BootTime::now);
    running.preemptions += 1;
    node.metrics.items_preempted.inc();
    log::info!(
        event = "item_gave_way", id = running.leased.id.as_str(), worker,
        last:? = running.last_event, due_in_ms = running.due_ms - node.now_ms() as i64; ""
    );
}

/// Reports a broken attempt to the fleet and makes the next attempt avoid the worker.
fn record_broken_attempt(
    node: &Node,
    running: &mut ActiveItem,
    worker: &WorkerId,
    reason: &BreakReason,
) {
    node.worker_failed(worker, reason);
    running.avoid = vec![worker.clone()];
    log::info!(
        event = "item_attempt_broke", id = running.leased.id.as_str(), worker = worker.as_str(),
        request:% = running.identity.fingerprint(), last:? = running.last_event, reason:% = reason; ""
    );
}

/// Counts and logs a response that is neither a result nor a failed run, and makes the next
/// attempt avoid the worker. The worker is not reported to the fleet: the item itself may be what
/// it does not accept.
fn record_no_result(running: &mut ActiveItem, worker: &WorkerId, sent: &StartedAnswer) {
    running.without_result += 1;
    if !running.avoid.contains(worker) {
        running.avoid.push(worker.clone());
    }
    log::info!(
        event = "item_without_result", id = running.leased.id.as_str(), worker = worker.as_str(),
        status = sent.head.status.as_u16(), named = sent.answer.id.as_deref(),
        carried = sent.exchange.carried(), times = running.without_result; ""
    );
}

/// Returns the delay after an item's response without a result; `times` counts them, from 1.
fn no_result_delay(times: u32) -> Duration {
    let doublings = times.saturating_sub(1).min(u32::BITS - 1);
    let delay = NO_RESULT_DELAY.saturating_mul(1 << doublings);
    delay.min(MAX_NO_RESULT_DELAY)
}

/// Reads the rest of a response so that its connection can be reused.
async fn drain(node: &Node, sent: StartedAnswer) {
    let reading = sent
        .exchange
        .read_whole(node.connections(), SHORT_ANSWER_LIMIT);
    // A response that is not read to its end closes the connection.
    let _ = timeout(IDLE_TIMEOUT, reading).await;
}
