//! Tests that broken runs are attributed to a crash only with evidence and within the time limits,
//! and that attempts of one request have the same fingerprint.

mod support;

use bytes::Bytes;
use http::{HeaderValue, Method};
use pinerill_calls::directory::WorkerId;
use pinerill_forward::crash::broken_runs::{BrokenRun, BrokenRuns, CrashEvidence, RunEnd};
use pinerill_forward::crash::{RequestFingerprint, RequestIdentity, Requester, WorkerIncarnation};
use support::entry;

fn worker(id: &str) -> WorkerIncarnation {
    WorkerIncarnation::of(&entry(WorkerId::new(id, None)))
}

fn run(name: &str, end: RunEnd) -> BrokenRun {
    BrokenRun {
        request: RequestFingerprint::of_parts(&[name.as_bytes()]),
        parts: Vec::new(),
        last_event: 0,
        end,
    }
}

fn broken(name: &str) -> BrokenRun {
    run(name, RunEnd::Broken)
}

#[test]
fn broken_runs_count_as_crashed_once_their_worker_refuses_connections() {
    let mut runs = BrokenRuns::default();
    assert!(!runs.record(1_000, worker("a"), broken("one")));
    assert!(!runs.record(1_005, worker("a"), broken("two")));
    assert!(!runs.record(1_005, worker("b"), broken("elsewhere")));
    let crashed = runs.take_crashed(1_010, worker("a"), CrashEvidence::Refused);
    assert_eq!(crashed, [broken("one"), broken("two")]);
    // Each run counts once, and a run that is recorded a little later counts too.
    assert!(runs
        .take_crashed(1_020, worker("a"), CrashEvidence::Refused)
        .is_empty());
    assert!(runs.record(1_030, worker("a"), broken("three")));
}

#[test]
fn a_broken_run_at_a_worker_that_accepts_connections_is_no_crash() {
    let mut runs = BrokenRuns::default();
    runs.record(1_000, worker("a"), broken("one"));
    runs.mark_alive(worker("a"));
    assert!(runs
        .take_crashed(1_100, worker("a"), CrashEvidence::Refused)
        .is_empty());
}

#[test]
fn a_late_refusal_is_no_evidence_but_a_late_list_update_is() {
    let mut runs = BrokenRuns::default();
    runs.record(1_000, worker("a"), broken("one"));
    runs.record(1_000, worker("b"), broken("two"));
    assert!(runs
        .take_crashed(2_001, worker("a"), CrashEvidence::Refused)
        .is_empty());
    let crashed = runs.take_crashed(5_000, worker("b"), CrashEvidence::Unlisted);
    assert_eq!(crashed, [broken("two")]);
}

#[test]
fn an_abandoned_run_counts_only_if_the_crash_follows_at_once() {
    let mut runs = BrokenRuns::default();
    runs.record(1_000, worker("a"), run("early", RunEnd::Abandoned));
    runs.record(1_600, worker("a"), run("late", RunEnd::Abandoned));
    let crashed = runs.take_crashed(1_700, worker("a"), CrashEvidence::Refused);
    assert_eq!(crashed, [run("late", RunEnd::Abandoned)]);
}

fn identity(
    credentials: Option<&'static str>,
    target: &str,
    body: &'static str,
) -> RequestIdentity {
    let credentials = credentials.map(HeaderValue::from_static);
    RequestIdentity::new(
        Requester::new(None, credentials.as_ref()),
        Method::POST,
        "h.example".to_owned(),
        target.parse().expect("valid target"),
        Bytes::from_static(body.as_bytes()),
    )
}

#[test]
fn attempts_of_a_request_share_a_fingerprint_and_other_requests_differ() {
    let one = identity(None, "/r/x?y=1", "body").fingerprint();
    assert_eq!(one, identity(None, "/r/x?y=1", "body").fingerprint());
    for other in [
        identity(Some("Bearer other"), "/r/x?y=1", "body"),
        identity(None, "/r/x?y=2", "body"),
        identity(None, "/r/x", "?y=1body"),
        identity(None, "/r/x?y=1", "bodY"),
    ] {
        assert_ne!(one, other.fingerprint());
    }
}
