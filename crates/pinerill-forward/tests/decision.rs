//! What follows an attempt.

use pinerill_calls::protocol::Refusal;
use pinerill_calls::table::RouteKind;
use pinerill_forward::call::decision::{AttemptEnd, CallProgress, Next};
use proptest::prelude::*;

const KINDS: [RouteKind; 5] = [
    RouteKind::Repeatable,
    RouteKind::AtMostOnce,
    RouteKind::Stream,
    RouteKind::ResumableStream,
    RouteKind::Batch,
];

#[test]
fn a_call_that_did_not_run_is_tried_again_whatever_its_kind() {
    for kind in KINDS {
        let mut progress = CallProgress::new(kind, 1);
        for _ in 0..10 {
            assert_eq!(progress.after(AttemptEnd::NotRun, true), Next::Again);
        }
    }
}

#[test]
fn a_call_not_to_be_repeated_is_never_sent_after_it_may_have_run() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        let mut progress = CallProgress::new(kind, 5);
        let next = progress.after(AttemptEnd::MayHaveRun, true);
        assert!(matches!(next, Next::Refuse(Refusal::WorkerFailed(_))));
        assert!(!progress.may_be_sent());
    }
}

#[test]
fn a_repeatable_call_runs_on_as_many_workers_as_its_route_allows() {
    let mut progress = CallProgress::new(RouteKind::ResumableStream, 2);
    assert_eq!(progress.after(AttemptEnd::MayHaveRun, true), Next::Again);
    let next = progress.after(AttemptEnd::MayHaveRun, true);
    assert!(matches!(next, Next::Refuse(Refusal::WorkerFailed(_))));
}

#[test]
fn a_silent_worker_is_left_only_if_another_one_may_go_on() {
    let mut progress = CallProgress::new(RouteKind::ResumableStream, 2);
    assert!(progress.may_go_on_elsewhere());
    progress.after(AttemptEnd::MayHaveRun, true);
    assert!(!progress.may_go_on_elsewhere(), "this is the last run");
    assert!(!CallProgress::new(RouteKind::ResumableStream, 1).may_go_on_elsewhere());
    assert!(!CallProgress::new(RouteKind::Stream, 5).may_go_on_elsewhere());
}

proptest! {
    /// `not run` is a promise: it is never given after an attempt that may
    /// have run, and always with a time to come back.
    #[test]
    fn not_run_is_true(
        kind in prop::sample::select(KINDS.to_vec()),
        attempts in 0u32..4,
        ends in proptest::collection::vec(prop::bool::ANY, 1..8),
        has_time in prop::bool::ANY,
    ) {
        let mut progress = CallProgress::new(kind, attempts);
        let mut ran = false;
        for may_have_run in ends {
            let end = match may_have_run {
                true => AttemptEnd::MayHaveRun,
                false => AttemptEnd::NotRun,
            };
            ran |= may_have_run;
            let told = match progress.after(end, has_time) {
                Next::Again => progress.out_of_time(),
                Next::Refuse(refusal) => refusal,
            };
            match told {
                Refusal::NotRun { retry_after, .. } => {
                    prop_assert!(!ran);
                    prop_assert!(retry_after.is_some());
                }
                _ => prop_assert!(ran),
            }
        }
    }
}

#[test]
fn a_call_known_to_crash_workers_ends_without_a_promise_or_an_invitation() {
    for kind in KINDS {
        let mut progress = CallProgress::new(kind, 3);
        let next = progress.after(AttemptEnd::CrashesWorkers, true);
        assert_eq!(next, Next::Refuse(Refusal::CrashesWorkers));
    }
}
