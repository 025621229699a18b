//! What a node does after its machine was suspended, on clocks that the test moves.

use std::time::Duration;

use pinerill_forward::waking::{ResumeState, MAX_HOLD};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Suspended for five seconds, seen 200 ms after waking.
fn woken() -> ResumeState {
    let mut state = ResumeState::new();
    assert_eq!(state.check_clocks(ms(1_000), ms(1_000)), None);
    assert_eq!(state.check_clocks(ms(6_200), ms(1_200)), Some(ms(5_000)));
    state
}

#[test]
fn a_machine_that_was_never_suspended_holds_nothing() {
    let mut state = ResumeState::new();
    for at in (0..60_000).step_by(200) {
        assert_eq!(state.check_clocks(ms(at), ms(at)), None);
        assert_eq!(state.remaining_hold(ms(at)), None);
    }
}

#[test]
fn calls_are_held_until_who_was_asked_after_waking_has_answered() {
    let mut state = woken();
    assert_eq!(state.remaining_hold(ms(6_300)), Some(MAX_HOLD - ms(100)));
    // An answer to what was asked before the suspension may be as old.
    state.record_refresh(ms(900));
    assert!(state.remaining_hold(ms(6_300)).is_some());
    state.record_refresh(ms(6_250));
    assert_eq!(state.remaining_hold(ms(6_300)), None);
}

#[test]
fn while_nobody_answers_calls_are_held_for_a_moment_only() {
    let state = woken();
    assert_eq!(state.remaining_hold(ms(6_200) + MAX_HOLD), None);
}

#[test]
fn a_second_suspension_holds_again() {
    let mut state = woken();
    state.record_refresh(ms(6_250));
    assert_eq!(state.check_clocks(ms(9_300), ms(1_300)), Some(ms(3_000)));
    assert!(state.remaining_hold(ms(9_301)).is_some());
}
