//! What failures cost: pure.
//!
//! *In flight at the killed worker* is counted from the ledgers, which outlive
//! a `kill -9`: online requests with a run at the worker that had started
//! before the kill and has no end. What came to the worker but had not started
//! has no line and so is not counted.

use std::collections::HashSet;

use serde::Serialize;

use super::inject::Injected;
use super::plan::FailureKind;
use crate::bench::quantiles::TailQuantiles;
use crate::check::{Finding, LedgerIndex, Run};
use crate::engine::messages::Priority;
use crate::load::record::{EndCounts, OnlineEnd, OnlineRecord};
use crate::load::schedule::OnlineKind;

/// What the figures are worked out from.
#[derive(Debug)]
pub struct FailureNotes<'a> {
    /// Online requests of the phase.
    pub online: &'a [OnlineRecord],
    /// What ran.
    pub ledger: &'a LedgerIndex,
    /// What failed.
    pub injected: &'a [Injected],
    /// Start of the phase, Unix time in microseconds.
    pub started_us: u64,
}

/// When a failure began and ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FailureSpan {
    /// Seconds since the phase's start.
    pub from_seconds: f64,
    /// When it was healed or replaced, seconds since the phase's start.
    pub until_seconds: f64,
}

/// What one failure cost.
#[derive(Clone, Debug, Serialize)]
pub struct OneFailure {
    /// What failed.
    pub kind: FailureKind,
    /// Name of the worker, node or zone.
    pub subject: String,
    /// When.
    pub span: FailureSpan,
    /// Ends of the online requests that were due meanwhile.
    pub online: EndCounts,
    /// First token of short ones among them, milliseconds.
    pub first_token_ms: TailQuantiles,
}

/// What all failures of a phase cost.
#[derive(Clone, Debug, Serialize)]
pub struct FailureFigures {
    /// One by one.
    pub failures: Vec<OneFailure>,
    /// Online requests sent, short and long.
    pub sent: u64,
    /// Of them, completed.
    pub completed: u64,
    /// Online requests in flight at the killed worker.
    pub in_flight_at_killed: u64,
    /// Of those in flight there, not completed.
    pub lost_in_flight: u64,
    /// Not completed, and not in flight there.
    pub lost_elsewhere: u64,
    /// First token of short requests that were due during a failure,
    /// milliseconds.
    pub first_token_during_ms: TailQuantiles,
    /// The same of all others, milliseconds.
    pub first_token_outside_ms: TailQuantiles,
    /// From when the leaving worker could be seen on the platform list until
    /// its last new request, milliseconds; 0 when none came after.
    pub leaving_last_request_ms: f64,
}

impl FailureFigures {
    /// Works the figures out.
    pub fn of(notes: &FailureNotes<'_>) -> Self {
        let in_flight = in_flight_at_killed(notes);
        let lost = |record: &&OnlineRecord| record.end != OnlineEnd::Completed;
        let all_lost: Vec<&OnlineRecord> = notes.online.iter().filter(lost).collect();
        let lost_in_flight = all_lost
            .iter()
            .filter(|record| in_flight.contains(record.content.as_str()))
            .count() as u64;
        let sent = notes.online.len() as u64;
        let during = |record: &OnlineRecord| notes.injected.iter().any(|one| covers(one, record));
        Self {
            failures: notes
                .injected
                .iter()
                .map(|one| one_failure(notes, one))
                .collect(),
            sent,
            completed: sent - all_lost.len() as u64,
            in_flight_at_killed: in_flight.len() as u64,
            lost_in_flight,
            lost_elsewhere: all_lost.len() as u64 - lost_in_flight,
            first_token_during_ms: first_tokens(notes, during),
            first_token_outside_ms: first_tokens(notes, |record| !during(record)),
            leaving_last_request_ms: leaving_last_request_ms(notes),
        }
    }

    /// Share of the requests sent that were lost, those in flight at the
    /// killed worker left out.
    pub fn lost_share_elsewhere(&self) -> f64 {
        self.lost_elsewhere as f64 / self.sent.max(1) as f64
    }
}

/// A request that failed after it may have run is a broken promise, unless the
/// killed worker explains it: a planned stop cuts none, a worker that leaves
/// finishes what it has, and a cut zone refuses before it runs anything.
pub fn cut_requests(notes: &FailureNotes<'_>) -> Finding {
    let mut finding = Finding::new("cut beyond the killed worker");
    let in_flight = in_flight_at_killed(notes);
    for record in notes.online {
        finding.checked += 1;
        let OnlineEnd::Failed(detail) = &record.end else {
            continue;
        };
        let explained = in_flight.contains(record.content.as_str());
        if !explained && !may_have_reached_killed(notes, record) {
            finding.violate(format!("request {}", record.request_id), detail.clone());
        }
    }
    finding
}

fn killed<'a>(notes: &'a FailureNotes<'_>) -> impl Iterator<Item = &'a Injected> {
    let injected = notes.injected.iter();
    injected.filter(|one| one.kind == FailureKind::WorkerKilled)
}

/// Contents of the online requests in flight at the killed worker.
fn in_flight_at_killed<'a>(notes: &'a FailureNotes<'_>) -> HashSet<&'a str> {
    let unfinished = |run: &Run| {
        killed(notes).any(|one| {
            run.worker() == one.subject && run.started_us <= one.at_us && run.end.is_none()
        })
    };
    let sent: HashSet<&str> = notes
        .online
        .iter()
        .map(|one| one.content.as_str())
        .collect();
    let runs = notes.ledger.all();
    runs.filter(|(_, run)| run.priority == Priority::Online && unfinished(run))
        .map(|(content, _)| content)
        .filter(|content| sent.contains(content))
        .collect()
}

/// It was sent before the kill and ran at no other worker: it may have waited
/// at the killed one, without a line in the ledger, or its answer was on the
/// way.
fn may_have_reached_killed(notes: &FailureNotes<'_>, record: &OnlineRecord) -> bool {
    killed(notes).any(|one| {
        let runs = notes.ledger.runs(&record.content);
        let elsewhere = runs.iter().any(|run| run.worker() != one.subject);
        record.due_us <= one.at_us && !elsewhere
    })
}

fn covers(failure: &Injected, record: &OnlineRecord) -> bool {
    (failure.at_us..=failure.healed_us).contains(&record.due_us)
}

fn one_failure(notes: &FailureNotes<'_>, failure: &Injected) -> OneFailure {
    let due = notes.online.iter().filter(|record| covers(failure, record));
    let seconds = |time_us: u64| time_us.saturating_sub(notes.started_us) as f64 / 1e6;
    OneFailure {
        kind: failure.kind,
        subject: failure.subject.clone(),
        span: FailureSpan {
            from_seconds: seconds(failure.at_us),
            until_seconds: seconds(failure.healed_us),
        },
        online: EndCounts::of(due, crate::bench::figures::LATE_FIRST_TOKEN_US),
        first_token_ms: first_tokens(notes, |record| covers(failure, record)),
    }
}

fn first_tokens(notes: &FailureNotes<'_>, wanted: impl Fn(&OnlineRecord) -> bool) -> TailQuantiles {
    let records = notes.online.iter();
    let short = records.filter(|one| one.kind == OnlineKind::Short && wanted(one));
    TailQuantiles::of_microseconds(short.filter_map(|one| one.first_token_us))
}

fn leaving_last_request_ms(notes: &FailureNotes<'_>) -> f64 {
    let mut latest_us = 0;
    for leaving in notes.injected.iter().filter_map(Injected::leaving) {
        let back_us = leaving.back_us.unwrap_or(u64::MAX);
        for (_, run) in notes.ledger.all() {
            let late = (leaving.sign_us..back_us).contains(&run.arrived_us);
            if late && run.worker() == leaving.worker {
                latest_us = latest_us.max(run.arrived_us - leaving.sign_us);
            }
        }
    }
    latest_us as f64 / 1e3
}
