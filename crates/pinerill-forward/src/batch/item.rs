//! Runs one item until it has an end.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use pinerill_calls::compression::compress;
use pinerill_calls::directory::WorkerId;
use pinerill_calls::job::{ItemEnd, ItemReport};
use pinerill_calls::message::LeasedItem;
use pinerill_calls::protocol::{AttemptFacts, NotRunReason, Verdict};
use pinerill_process::clock::{suspensions, BootTime};
use tokio::time::{sleep, timeout};

use super::leases::Held;
use super::preemption::RunningItem;
use super::reports::Reporter;
use super::running::{begin, Running};
use super::runs::Run;
use crate::crash::Run as WorkerRun;
use crate::exchange::{BreakReason, EventScanner, Exchange, StartedAnswer};
use crate::fleet::Wanted;
use crate::node::{Node, Occupied};

/// Pause before an item that could not begin is given back.
const NOT_BEGUN_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an item that has not begun and finds no place is given back:
/// another zone may have room.
const PLACE_TIME: Duration = Duration::from_millis(300);
/// Pause before a place is looked for again.
const PLACE_PAUSE: Duration = Duration::from_millis(50);
/// Silence after which an item is continued at another worker.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Pause between two looks at an item that is known to crash workers: it may be cleared, or
/// its crashes be forgotten.
const WITHHELD_PAUSE: Duration = Duration::from_secs(1);
/// Time after which such an item is tried once more, and how often. A sound one that ran
/// beside the cause of three crashes in a row, as happens where there are few workers, ends
/// well and is cleared; one that causes them costs two workers more, seconds apart.
const TRIAL_PAUSE: Duration = Duration::from_secs(8);
const MOST_TRIALS: u32 = 2;
/// Bytes of an answer's body that is no series of events.
const SHORT_ANSWER_LIMIT: usize = 64 << 10;

/// Runs an item and reports its end. Dropping the future closes the connection
/// to the worker, which then stops working on it.
pub(super) async fn run(node: Arc<Node>, held: Arc<Held>, leased: LeasedItem, reporter: Reporter) {
    let item = leased.item.clone();
    let started = BootTime::now();
    let Some(mut running) = begin(&node, leased).await else {
        // It did not run, so that no failure is told: it may have ended
        // meanwhile, or its route be gone or newer here than at the leader.
        log::warn!(event = "item_not_begun", job:% = item.job, index = item.index; "");
        sleep(NOT_BEGUN_PAUSE).await;
        held.release(&item);
        return;
    };
    let end = loop {
        match attempt(&node, &held, &mut running).await {
            Attempt::Ended(end) => break end,
            Attempt::GoesOn => {}
            Attempt::Withheld => withhold(&node, &mut running).await,
            Attempt::NoPlace => {
                log::info!(
                    event = "item_given_back", id = running.leased.id.as_str(),
                    job:% = item.job, index = item.index; ""
                );
                held.release(&item);
                return;
            }
        }
    };
    let outcome = match &end {
        ItemEnd::Completed(_) => "completed",
        ItemEnd::Impossible => "impossible",
        ItemEnd::Failed { .. } => "failed",
    };
    node.metrics.item_ended(outcome);
    if let ItemEnd::Completed(_) = &end {
        node.runs.item_ended(running.ran);
    }
    log::info!(
        event = "item_ended", id = running.leased.id.as_str(), job:% = item.job,
        index = item.index, attempts = running.attempts, bytes = running.bytes.0,
        kept_bytes = running.bytes.1, gave_way = running.times_given_way,
        outcome, ms = started.elapsed().as_millis() as u64; ""
    );
    // The receiver lives as long as the node.
    let _ = reporter.send(ItemReport { item, end });
}

/// How an attempt at one worker ended.
enum Attempt {
    /// The item has an end.
    Ended(ItemEnd),
    /// It must go on elsewhere.
    GoesOn,
    /// It is known to crash workers.
    Withheld,
    /// No worker has room for it, and nothing of it is here.
    NoPlace,
}

async fn attempt(node: &Arc<Node>, held: &Held, running: &mut Running) -> Attempt {
    if node.is_blocked(&running.identity) && !std::mem::take(&mut running.on_trial) {
        return Attempt::Withheld;
    }
    match find_place(node, held, running).await {
        Some(place) => match attempt_at(node, held, running, place).await {
            Some(end) => Attempt::Ended(end),
            None => Attempt::GoesOn,
        },
        None => Attempt::NoPlace,
    }
}

/// Keeps an item from workers that it would crash. It stays leased to this node, so that
/// no other one begins it, until the leader gives it up: an item may be told as dead only
/// after its time, since a crash is no answer of failure. As only this node has it, its
/// trials come one after the other.
async fn withhold(node: &Node, running: &mut Running) {
    node.metrics.items_withheld.inc();
    log::warn!(
        event = "item_withheld", id = running.leased.id.as_str(),
        request:% = running.identity.fingerprint(), attempts = running.attempts,
        trials = running.trials; ""
    );
    let since = BootTime::now();
    while node.is_blocked(&running.identity) {
        sleep(WITHHELD_PAUSE).await;
        if running.trials < MOST_TRIALS && since.elapsed() >= TRIAL_PAUSE {
            running.trials += 1;
            running.on_trial = true;
            return;
        }
    }
}

/// One attempt at one worker; none if the item must go on elsewhere.
async fn attempt_at(
    node: &Arc<Node>,
    held: &Held,
    running: &mut Running,
    place: Occupied,
) -> Option<ItemEnd> {
    let chosen = place.worker().clone();
    running.attempts += 1;
    let Begun {
        sent,
        place,
        mut run,
    } = match send(node, running, place).await {
        Ok(begun) => begun,
        Err(reason) => {
            broke(node, running, &chosen, &reason);
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
            sleep(PLACE_PAUSE).await;
            None
        }
        Verdict::Impossible => {
            run.mark_answered();
            drain(node, sent).await;
            Some(ItemEnd::Impossible)
        }
        Verdict::Taken if sent.head.status == StatusCode::OK => {
            let began = BootTime::now();
            let read = read_events(running, held, sent.exchange, place, &mut run, node).await;
            running.ran += began.elapsed();
            match read {
                Ok(ReadEnd::GaveWay) => {
                    gave_way(node, running, &chosen);
                    None
                }
                Ok(ReadEnd::LeaseInDoubt) => None,
                Ok(ReadEnd::Whole) => {
                    run.mark_answered();
                    let text = std::mem::take(&mut running.text).into_bytes();
                    let kept = compress(&text);
                    running.bytes = (text.len(), kept.len());
                    Some(ItemEnd::Completed(kept))
                }
                Err(reason) => {
                    run.mark_broken(&reason);
                    broke(node, running, &chosen, &reason);
                    None
                }
            }
        }
        Verdict::Failed | Verdict::Taken | Verdict::Other => {
            run.mark_answered();
            drain(node, sent).await;
            Some(ItemEnd::Failed {
                run: rand::random(),
            })
        }
    }
}

/// Waits for a worker with room, and for the leader's word that the item is
/// still this node's. None after a while if nothing of the item is here yet.
async fn find_place(node: &Arc<Node>, held: &Held, running: &mut Running) -> Option<Occupied> {
    let began = BootTime::now();
    while running.last.is_some() || began.elapsed() < PLACE_TIME {
        if held.is_renewed() && !node.calls_wait() {
            let wanted = Wanted {
                service: &running.service,
                prompt: &running.prompt,
                except: &running.avoid,
                runs_once: false,
                homes: &running.homes,
            };
            if let Some(chosen) = node.choose_for_item(&wanted) {
                return Some(node.occupy(&chosen, &running.prompt));
            }
        }
        running.avoid.clear();
        sleep(PLACE_PAUSE).await;
    }
    None
}

/// A run whose answer has begun.
struct Begun {
    sent: StartedAnswer,
    place: Occupied,
    run: WorkerRun,
}

async fn send(node: &Arc<Node>, running: &Running, place: Occupied) -> Result<Begun, BreakReason> {
    let Some(worker) = node.with_fleet(|fleet, _| {
        let worker = fleet.worker(place.worker())?;
        Some(worker.entry().clone())
    }) else {
        return Err(BreakReason::Connect("the worker is gone".to_owned()));
    };
    let permit = place.permit();
    node.confirm(&worker, permit).await?;
    let run = WorkerRun::begin(node, &worker, &running.identity, running.last);
    let facts = AttemptFacts {
        remaining: None,
        worker: worker.id.name(),
        resume_after: running.last,
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
    let sent = match timeout(PATIENCE, begun).await {
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
    Ok(Begun { sent, place, run })
}

/// How reading an item's events ended.
enum ReadEnd {
    /// All are here.
    Whole,
    /// The run ended for a call that waits.
    GaveWay,
    /// The machine was suspended, and the leader has not confirmed the lease since.
    LeaseInDoubt,
}

async fn read_events(
    running: &mut Running,
    held: &Held,
    mut exchange: Exchange,
    place: Occupied,
    worker_run: &mut WorkerRun,
    node: &Node,
) -> Result<ReadEnd, BreakReason> {
    let mut run = register(node, running);
    let mut scanner = EventScanner::after(running.last);
    let suspensions_before = suspensions();
    loop {
        let piece = tokio::select! {
            piece = timeout(PATIENCE, exchange.next_piece()) => piece,
            // Dropping the exchange closes its connection, so that the worker stops.
            Ok(()) = &mut run.gives_way => {
                place.succeeded();
                return Ok(ReadEnd::GaveWay);
            }
        };
        let Some(piece) = piece.unwrap_or(Err(BreakReason::Silent))? else {
            break;
        };
        if suspensions() != suspensions_before && !held.is_renewed() {
            place.succeeded();
            return Ok(ReadEnd::LeaseInDoubt);
        }
        let batch = scanner.push(&piece).map_err(|_| BreakReason::EventOrder)?;
        if batch.count > 0 {
            running.text.append(&batch.bytes);
            running.last = scanner.last();
            worker_run.record_event(running.last);
            if let Some(gave_way) = running.gave_way.take() {
                node.runs.resumed(gave_way.elapsed());
            }
        }
    }
    if scanner.has_partial_event() {
        return Err(BreakReason::Truncated);
    }
    place.succeeded();
    exchange.finish(node.connections());
    Ok(ReadEnd::Whole)
}

fn register(node: &Node, running: &Running) -> Run {
    node.runs.begin(RunningItem {
        service: running.service.clone(),
        due_ms: running.due_ms,
        began_ms: node.now_ms(),
        ran_ms: running.ran.as_secs_f64() * 1_000.0,
        allowed_ms: running.leased.due_in_ms.max(0) as f64,
    })
}

fn gave_way(node: &Node, running: &mut Running, worker: &str) {
    running.gave_way.get_or_insert_with(BootTime::now);
    running.times_given_way += 1;
    node.metrics.items_gave_way.inc();
    log::info!(
        event = "item_gave_way", id = running.leased.id.as_str(), worker,
        last:? = running.last, due_in_ms = running.due_ms - node.now_ms() as i64; ""
    );
}

fn broke(node: &Node, running: &mut Running, worker: &WorkerId, reason: &BreakReason) {
    node.worker_failed(worker, reason);
    running.avoid = vec![worker.clone()];
    log::info!(
        event = "item_attempt_broke", id = running.leased.id.as_str(), worker = worker.as_str(),
        request:% = running.identity.fingerprint(), last:? = running.last, reason:% = reason; ""
    );
}

/// Keeps the connection if the answer can be read to its end.
async fn drain(node: &Node, sent: StartedAnswer) {
    let reading = sent
        .exchange
        .read_whole(node.connections(), SHORT_ANSWER_LIMIT);
    // Whatever is left unread closes the connection.
    let _ = timeout(PATIENCE, reading).await;
}
