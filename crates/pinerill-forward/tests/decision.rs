//! Retry decisions after an attempt. They guard against running a call twice that must not be
//! repeated, and against reporting a call as not run that may have run.

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
fn calls_that_did_not_run_are_retried_for_every_route_kind() {
    for kind in KINDS {
        let mut progress = CallProgress::new(kind, 1);
        for _ in 0..10 {
            assert_eq!(progress.next_after(AttemptEnd::NotRun, true), Next::Retry);
        }
    }
}

#[test]
fn non_repeatable_calls_are_not_resent_after_a_possible_run() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        let mut progress = CallProgress::new(kind, 5);
        let next = progress.next_after(AttemptEnd::MayHaveRun, true);
        assert!(matches!(next, Next::Refuse(Refusal::WorkerFailed(_))));
        assert!(!progress.may_be_sent());
    }
}

#[test]
fn repeatable_calls_run_on_at_most_as_many_workers_as_the_route_allows() {
    let mut progress = CallProgress::new(RouteKind::ResumableStream, 2);
    assert_eq!(
        progress.next_after(AttemptEnd::MayHaveRun, true),
        Next::Retry
    );
    let next = progress.next_after(AttemptEnd::MayHaveRun, true);
    assert!(matches!(next, Next::Refuse(Refusal::WorkerFailed(_))));
}

#[test]
fn fail_over_requires_a_repeatable_call_with_another_run_left() {
    let mut progress = CallProgress::new(RouteKind::ResumableStream, 2);
    assert!(progress.may_fail_over());
    progress.next_after(AttemptEnd::MayHaveRun, true);
    assert!(!progress.may_fail_over(), "no further run is allowed");
    assert!(!CallProgress::new(RouteKind::ResumableStream, 1).may_fail_over());
    assert!(!CallProgress::new(RouteKind::Stream, 5).may_fail_over());
}

proptest! {
    /// Callers rely on `NotRun` to repeat a call safely: it is never returned after an attempt
    /// that may have run, and always carries a retry delay.
    #[test]
    fn not_run_is_reported_only_if_no_worker_may_have_run_the_call(
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
            let refusal = match progress.next_after(end, has_time) {
                Next::Retry => progress.timeout_refusal(),
                Next::Refuse(refusal) => refusal,
            };
            match refusal {
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
fn calls_known_to_crash_workers_are_refused_without_not_run_or_retry_after() {
    for kind in KINDS {
        let mut progress = CallProgress::new(kind, 3);
        let next = progress.next_after(AttemptEnd::CrashesWorkers, true);
        assert_eq!(next, Next::Refuse(Refusal::CrashesWorkers));
    }
}

/// Guards against "not run" from a stopping node for a call that a worker may have had, and against
/// any other answer for a call that none has had.
#[test]
fn a_stopping_node_says_not_run_only_of_calls_that_no_worker_has_had() {
    let mut progress = CallProgress::new(RouteKind::Repeatable, 2);
    let not_run = |refusal: &Refusal| matches!(refusal, Refusal::NotRun { .. });
    assert!(not_run(&progress.refusal_at_stop(false)));
    assert_eq!(progress.refusal_at_stop(true), Refusal::TimedOut);
    let next = progress.next_after(AttemptEnd::NodeStops, true);
    assert!(
        matches!(&next, Next::Refuse(refusal) if not_run(refusal)),
        "{next:?}"
    );
    assert_eq!(
        progress.next_after(AttemptEnd::MayHaveRun, true),
        Next::Retry
    );
    assert!(!not_run(&progress.refusal_at_stop(false)));
    let next = progress.next_after(AttemptEnd::NodeStops, true);
    assert!(
        matches!(&next, Next::Refuse(refusal) if !not_run(refusal)),
        "{next:?}"
    );
}
