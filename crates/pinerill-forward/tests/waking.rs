//! What a node does after its machine was suspended, on clocks that the test moves.

use std::time::Duration;

use pinerill_forward::waking::{WakingState, LONGEST_HOLD};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Suspended for five seconds, seen 200 ms after waking.
fn woken() -> WakingState {
    let mut state = WakingState::new();
    assert_eq!(state.look(ms(1_000), ms(1_000)), None);
    assert_eq!(state.look(ms(6_200), ms(1_200)), Some(ms(5_000)));
    state
}

#[test]
fn a_machine_that_was_never_suspended_holds_nothing() {
    let mut state = WakingState::new();
    for at in (0..60_000).step_by(200) {
        assert_eq!(state.look(ms(at), ms(at)), None);
        assert_eq!(state.hold(ms(at)), None);
    }
}

#[test]
fn calls_are_held_until_who_was_asked_after_waking_has_answered() {
    let mut state = woken();
    assert_eq!(state.hold(ms(6_300)), Some(LONGEST_HOLD - ms(100)));
    // An answer to what was asked before the suspension may be as old.
    state.heard(ms(900));
    assert!(state.hold(ms(6_300)).is_some());
    state.heard(ms(6_250));
    assert_eq!(state.hold(ms(6_300)), None);
}

#[test]
fn while_nobody_answers_calls_are_held_for_a_moment_only() {
    let state = woken();
    assert_eq!(state.hold(ms(6_200) + LONGEST_HOLD), None);
}

#[test]
fn a_second_suspension_holds_again() {
    let mut state = woken();
    state.heard(ms(6_250));
    assert_eq!(state.look(ms(9_300), ms(1_300)), Some(ms(3_000)));
    assert!(state.hold(ms(9_301)).is_some());
}
