//! Which runs ended because their worker crashed, and what makes two tries one request.

mod support;

use bytes::Bytes;
use http::{HeaderValue, Method};
use pinerill_calls::directory::WorkerId;
use pinerill_forward::crash::broken_runs::{BrokenRun, BrokenRuns, CrashEvidence, RunEnd};
use pinerill_forward::crash::{RequestFingerprint, RequestIdentity, Requester, WorkerStart};
use support::entry;

fn worker(id: &str) -> WorkerStart {
    WorkerStart::of(&entry(WorkerId::new(id, None)))
}

fn run(name: &str, end: RunEnd) -> BrokenRun {
    BrokenRun {
        request: RequestFingerprint::of_parts(&[name.as_bytes()]),
        reach: 0,
        end,
    }
}

fn broke(name: &str) -> BrokenRun {
    run(name, RunEnd::Broke)
}

#[test]
fn runs_that_broke_off_count_once_their_worker_refuses_connections() {
    let mut runs = BrokenRuns::default();
    assert!(!runs.ended(1_000, worker("a"), broke("one")));
    assert!(!runs.ended(1_005, worker("a"), broke("two")));
    assert!(!runs.ended(1_005, worker("b"), broke("elsewhere")));
    let crashed = runs.crashed(1_010, worker("a"), CrashEvidence::Refused);
    assert_eq!(crashed, [broke("one"), broke("two")]);
    // Each counts once, and one that is noticed a little later counts too.
    assert!(runs
        .crashed(1_020, worker("a"), CrashEvidence::Refused)
        .is_empty());
    assert!(runs.ended(1_030, worker("a"), broke("three")));
}

#[test]
fn a_connection_that_ends_at_a_worker_that_lives_is_no_crash() {
    let mut runs = BrokenRuns::default();
    runs.ended(1_000, worker("a"), broke("one"));
    runs.lives(worker("a"));
    assert!(runs
        .crashed(1_100, worker("a"), CrashEvidence::Refused)
        .is_empty());
}

#[test]
fn a_refusal_long_after_a_run_broke_off_says_nothing_of_it_but_the_list_may() {
    let mut runs = BrokenRuns::default();
    runs.ended(1_000, worker("a"), broke("one"));
    runs.ended(1_000, worker("b"), broke("two"));
    assert!(runs
        .crashed(2_001, worker("a"), CrashEvidence::Refused)
        .is_empty());
    let crashed = runs.crashed(5_000, worker("b"), CrashEvidence::Unlisted);
    assert_eq!(crashed, [broke("two")]);
}

#[test]
fn a_run_that_its_caller_left_counts_only_if_the_crash_follows_at_once() {
    let mut runs = BrokenRuns::default();
    runs.ended(1_000, worker("a"), run("early", RunEnd::Left));
    runs.ended(1_600, worker("a"), run("late", RunEnd::Left));
    let crashed = runs.crashed(1_700, worker("a"), CrashEvidence::Refused);
    assert_eq!(crashed, [run("late", RunEnd::Left)]);
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
        target.parse().expect("a target"),
        Bytes::from_static(body.as_bytes()),
    )
}

#[test]
fn tries_of_one_request_have_one_fingerprint_and_others_another() {
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
