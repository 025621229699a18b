//! What fails in the bench's phase with failures, and the arithmetic of what
//! it cost.

mod common;

use std::time::Duration;

use common::records::{ledger_line, online_record};
use pinerill_rehearse::bench::failures::{
    cut_requests, plan_failures, FailureFigures, FailureKind, FailureNotes, FleetSize, Injected,
};
use pinerill_rehearse::check::LedgerIndex;
use pinerill_rehearse::engine::messages::Priority;
use pinerill_rehearse::ledger::{LedgerEvent, LedgerLine};
use pinerill_rehearse::load::record::{OnlineEnd, OnlineRecord};

const SECOND_US: u64 = 1_000_000;
/// The worker is killed at this time.
const KILL_US: u64 = 10 * SECOND_US;
/// The list shows the leaving worker at this time.
const SIGN_US: u64 = 30 * SECOND_US;

fn record(number: u64, due_us: u64, end: OnlineEnd) -> OnlineRecord {
    OnlineRecord {
        due_us,
        first_token_us: (end == OnlineEnd::Completed).then_some(number * 1_000),
        ..online_record(number, end)
    }
}

fn failed() -> OnlineEnd {
    OnlineEnd::Failed("backend_failed".to_owned())
}

fn refused() -> OnlineEnd {
    OnlineEnd::NotRun(Box::default())
}

fn line(worker: &str, number: u64, event: LedgerEvent, time_us: u64) -> LedgerLine {
    LedgerLine {
        time_us,
        arrived_us: time_us,
        engine: format!("{worker}/0"),
        ..ledger_line(number, event)
    }
}

fn injected() -> Vec<Injected> {
    vec![
        Injected {
            kind: FailureKind::WorkerKilled,
            subject: "killed".to_owned(),
            at_us: KILL_US,
            healed_us: KILL_US + 2 * SECOND_US,
            sign_us: KILL_US,
        },
        Injected {
            kind: FailureKind::WorkerLeaving,
            subject: "leaving".to_owned(),
            at_us: SIGN_US - SECOND_US,
            healed_us: SIGN_US + 5 * SECOND_US,
            sign_us: SIGN_US,
        },
    ]
}

fn with_notes<T>(
    online: &[OnlineRecord],
    lines: &[LedgerLine],
    look: impl FnOnce(&FailureNotes<'_>) -> T,
) -> T {
    look(&FailureNotes {
        online,
        ledger: &LedgerIndex::new(lines),
        injected: &injected(),
        started_us: 0,
    })
}

/// Two requests run at the killed worker when it dies, of which one is saved;
/// one has ended there, one runs elsewhere, and one is refused much later.
fn online() -> Vec<OnlineRecord> {
    vec![
        record(1, KILL_US - 100, failed()),
        record(2, KILL_US - 100, OnlineEnd::Completed),
        record(3, KILL_US - 100, OnlineEnd::Completed),
        record(4, KILL_US - 100, OnlineEnd::Completed),
        record(5, KILL_US + SECOND_US, OnlineEnd::Completed),
        record(6, 50 * SECOND_US, refused()),
    ]
}

fn lines() -> Vec<LedgerLine> {
    let (started, finished) = (LedgerEvent::Started, LedgerEvent::Finished);
    vec![
        line("killed", 1, started, KILL_US - 50),
        line("killed", 2, started, KILL_US - 50),
        line("killed", 3, started, KILL_US - 60),
        line("killed", 3, finished, KILL_US - 40),
        line("other", 4, started, KILL_US - 50),
        line("other", 4, finished, KILL_US + 50),
        line("other", 2, started, KILL_US + 60),
        line("other", 2, finished, KILL_US + 90),
        line("leaving", 5, started, SIGN_US + 250_000),
        line("leaving", 6, started, SIGN_US + 6 * SECOND_US),
    ]
}

#[test]
fn only_what_ran_unfinished_at_the_killed_worker_was_in_flight() {
    let figures = with_notes(&online(), &lines(), FailureFigures::of);
    assert_eq!(figures.in_flight_at_killed, 2);
    assert_eq!((figures.lost_in_flight, figures.lost_elsewhere), (1, 1));
    assert_eq!((figures.sent, figures.completed), (6, 4));
    assert!((figures.lost_share_elsewhere() - 1.0 / 6.0).abs() < 1e-9);
}

#[test]
fn a_run_that_starts_at_the_replacement_was_not_in_flight() {
    let mut lines = lines();
    lines.push(line("killed", 6, LedgerEvent::Started, KILL_US + SECOND_US));
    let figures = with_notes(&online(), &lines, FailureFigures::of);
    assert_eq!(figures.in_flight_at_killed, 2);
}

#[test]
fn batch_at_the_killed_worker_is_not_counted() {
    let mut lines = lines();
    let mut batch = line("killed", 4, LedgerEvent::Started, KILL_US - 10);
    batch.priority = Priority::Batch;
    lines.push(batch);
    let figures = with_notes(&online(), &lines, FailureFigures::of);
    assert_eq!(figures.in_flight_at_killed, 2);
}

#[test]
fn first_tokens_are_told_apart_by_when_a_request_was_due() {
    let figures = with_notes(&online(), &lines(), FailureFigures::of);
    assert_eq!(figures.first_token_during_ms.count, 1);
    assert!((figures.first_token_during_ms.max - 5.0).abs() < 0.01);
    assert_eq!(figures.first_token_outside_ms.count, 3);
    assert!((figures.first_token_outside_ms.max - 4.0).abs() < 0.01);
    let killed = &figures.failures[0];
    assert_eq!((killed.online.sent, killed.online.completed), (1, 1));
    assert_eq!(killed.span.from_seconds, 10.0);
    assert_eq!(killed.span.until_seconds, 12.0);
}

#[test]
fn the_last_request_of_a_leaving_worker_counts_until_it_is_replaced() {
    let figures = with_notes(&online(), &lines(), FailureFigures::of);
    assert_eq!(figures.leaving_last_request_ms, 250.0);
}

#[test]
fn a_request_cut_where_nothing_was_killed_is_a_broken_promise() {
    let check = |online: &[OnlineRecord], lines: &[LedgerLine]| {
        with_notes(online, lines, cut_requests).violations.len()
    };
    assert_eq!(check(&online(), &lines()), 0);
    let mut cut_later = online();
    cut_later[5].end = failed();
    assert_eq!(check(&cut_later, &lines()), 1, "long after the kill");
    let mut cut_elsewhere = online();
    cut_elsewhere[3].end = failed();
    assert_eq!(check(&cut_elsewhere, &lines()), 1, "at another worker");
    let mut not_started = online();
    not_started.push(record(7, KILL_US - 100, failed()));
    assert_eq!(check(&not_started, &lines()), 0, "no line, due before");
    not_started.push(record(8, KILL_US + 100, failed()));
    assert_eq!(check(&not_started, &lines()), 1, "no line, due after");
}

#[test]
fn failures_follow_from_the_seed_and_hit_different_workers_and_zones() {
    let size = FleetSize {
        workers: 12,
        zones: 3,
    };
    let length = Duration::from_secs(20);
    let mut plans = Vec::new();
    for seed in 0..50 {
        let plan = plan_failures(size, length, seed);
        assert_eq!(plan, plan_failures(size, length, seed));
        assert_ne!(plan.killed.subject, plan.leaving.subject);
        assert_ne!(plan.stopped.subject, plan.cut.subject);
        let all = [plan.killed, plan.leaving, plan.stopped, plan.cut];
        for failure in all {
            assert!(failure.at + failure.lasts < length, "{failure:?}");
        }
        plans.push(plan);
    }
    assert!(plans.iter().any(|plan| *plan != plans[0]));
}
