//! Whether a request that did not come through is tried again.

use pinerill_node::online::{decide, AttemptEnd, Decision, RetryBudget, Situation};
use pinerill_types::outcome::Outcome;

const FIRST: Situation = Situation {
    at_most_once: false,
    attempts: 1,
    maybe_run_before: false,
    can_continue: true,
    expired: false,
};

fn decided(end: AttemptEnd, situation: Situation) -> Decision {
    decide(&end, situation, || true)
}

#[test]
fn what_must_not_be_repeated_is_tried_again_only_when_it_did_not_run() {
    let once = Situation {
        at_most_once: true,
        ..FIRST
    };
    assert_eq!(decided(AttemptEnd::NotRun, once), Decision::Retry);
    let unknown = Decision::GiveUp(Outcome::Unknown);
    assert_eq!(decided(AttemptEnd::MaybeRun, once), unknown);
    assert_eq!(decided(AttemptEnd::MaybeRun, FIRST), Decision::Retry);
    let ran_before = Situation {
        maybe_run_before: true,
        ..once
    };
    assert_eq!(decided(AttemptEnd::NotRun, ran_before), unknown);
}

#[test]
fn not_run_is_only_said_when_no_attempt_may_have_run() {
    let expired = Situation {
        expired: true,
        ..FIRST
    };
    let not_run = Decision::GiveUp(Outcome::NotRun);
    assert_eq!(decided(AttemptEnd::NotRun, expired), not_run);
    let ran_before = Situation {
        maybe_run_before: true,
        ..expired
    };
    let unknown = Decision::GiveUp(Outcome::Unknown);
    assert_eq!(decided(AttemptEnd::NotRun, ran_before), unknown);
    assert_eq!(decided(AttemptEnd::MaybeRun, expired), unknown);
}

#[test]
fn attempts_end_at_a_limit_and_when_it_cannot_go_on() {
    let fifth = Situation {
        attempts: 5,
        ..FIRST
    };
    let stuck = Situation {
        can_continue: false,
        ..FIRST
    };
    for situation in [fifth, stuck] {
        let given_up = Decision::GiveUp(Outcome::NotRun);
        assert_eq!(decided(AttemptEnd::NotRun, situation), given_up);
    }
}

#[test]
fn retries_are_a_share_of_fresh_requests() {
    let mut budget = RetryBudget::default();
    let drain = |budget: &mut RetryBudget| (0..10_000).filter(|_| budget.take(10)).count();
    assert_eq!(drain(&mut budget), 20, "what was saved up");
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.fresh(10);
        taken += drain(&mut budget);
    }
    assert!(
        (98..=100).contains(&taken),
        "{taken} retries for 1000 requests"
    );
    assert!(!RetryBudget::default().take(0), "a share of 0");
}

#[test]
fn a_retry_that_is_not_allowed_costs_no_budget() {
    let mut asked = false;
    let once = Situation {
        at_most_once: true,
        ..FIRST
    };
    decide(&AttemptEnd::MaybeRun, once, || {
        asked = true;
        true
    });
    assert!(!asked);
}
