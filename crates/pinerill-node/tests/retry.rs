//! Tests of the retry decision after a failed attempt, and of the retry budget.

use pinerill_node::online::{decide, AttemptEnd, Decision, RetryBudget, RetryContext};
use pinerill_types::outcome::Outcome;

/// A repeatable request whose first attempt failed before the deadline.
const FIRST_ATTEMPT: RetryContext = RetryContext {
    at_most_once: false,
    attempts: 1,
    earlier_may_have_run: false,
    can_continue: true,
    expired: false,
};

/// Decides with a retry budget that is never exhausted.
fn decide_with_budget(end: AttemptEnd, retry_context: RetryContext) -> Decision {
    decide(&end, retry_context, || true)
}

#[test]
fn at_most_once_requests_are_retried_only_if_no_attempt_may_have_run() {
    let at_most_once = RetryContext {
        at_most_once: true,
        ..FIRST_ATTEMPT
    };
    assert_eq!(
        decide_with_budget(AttemptEnd::NotRun, at_most_once),
        Decision::Retry
    );
    let unknown = Decision::GiveUp(Outcome::Unknown);
    assert_eq!(
        decide_with_budget(AttemptEnd::MayHaveRun, at_most_once),
        unknown
    );
    assert_eq!(
        decide_with_budget(AttemptEnd::MayHaveRun, FIRST_ATTEMPT),
        Decision::Retry
    );
    let may_have_run_earlier = RetryContext {
        earlier_may_have_run: true,
        ..at_most_once
    };
    assert_eq!(
        decide_with_budget(AttemptEnd::NotRun, may_have_run_earlier),
        unknown
    );
}

#[test]
fn outcome_is_not_run_only_if_no_attempt_may_have_run() {
    let expired = RetryContext {
        expired: true,
        ..FIRST_ATTEMPT
    };
    let not_run = Decision::GiveUp(Outcome::NotRun);
    assert_eq!(decide_with_budget(AttemptEnd::NotRun, expired), not_run);
    let may_have_run_earlier = RetryContext {
        earlier_may_have_run: true,
        ..expired
    };
    let unknown = Decision::GiveUp(Outcome::Unknown);
    assert_eq!(
        decide_with_budget(AttemptEnd::NotRun, may_have_run_earlier),
        unknown
    );
    assert_eq!(decide_with_budget(AttemptEnd::MayHaveRun, expired), unknown);
}

#[test]
fn no_retry_after_the_last_attempt_or_if_the_answer_cannot_continue() {
    let last_attempt = RetryContext {
        attempts: 5,
        ..FIRST_ATTEMPT
    };
    let not_continuable = RetryContext {
        can_continue: false,
        ..FIRST_ATTEMPT
    };
    for retry_context in [last_attempt, not_continuable] {
        let gives_up = Decision::GiveUp(Outcome::NotRun);
        assert_eq!(
            decide_with_budget(AttemptEnd::NotRun, retry_context),
            gives_up
        );
    }
}

#[test]
fn retries_are_limited_to_a_share_of_new_requests() {
    let mut budget = RetryBudget::default();
    let drain = |budget: &mut RetryBudget| (0..10_000).filter(|_| budget.try_take(10)).count();
    assert_eq!(drain(&mut budget), 20, "a new budget is full");
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.add_request(10);
        taken += drain(&mut budget);
    }
    assert!(
        (98..=100).contains(&taken),
        "{taken} retries for 1000 requests"
    );
    assert!(
        !RetryBudget::default().try_take(0),
        "a budget of 0 percent allows no retry"
    );
}

#[test]
fn a_retry_that_is_not_allowed_consumes_no_budget() {
    let mut budget_taken = false;
    let at_most_once = RetryContext {
        at_most_once: true,
        ..FIRST_ATTEMPT
    };
    decide(&AttemptEnd::MayHaveRun, at_most_once, || {
        budget_taken = true;
        true
    });
    assert!(!budget_taken);
}
