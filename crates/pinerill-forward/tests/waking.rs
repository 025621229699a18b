//! Tests how long calls are held after the machine was suspended, with simulated clocks.

use std::time::Duration;

use pinerill_forward::waking::{ResumeState, MAX_HOLD};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the state after a suspension of five seconds that was detected 200 ms after the resume.
fn resumed() -> ResumeState {
    let mut state = ResumeState::new();
    assert_eq!(state.check_clocks(ms(1_000), ms(1_000)), None);
    assert_eq!(state.check_clocks(ms(6_200), ms(1_200)), Some(ms(5_000)));
    state
}

#[test]
fn calls_are_not_held_without_a_suspension() {
    let mut state = ResumeState::new();
    for at in (0..60_000).step_by(200) {
        assert_eq!(state.check_clocks(ms(at), ms(at)), None);
        assert_eq!(state.remaining_hold(ms(at)), None);
    }
}

#[test]
fn calls_are_held_until_a_request_sent_after_the_resume_is_answered() {
    let mut state = resumed();
    assert_eq!(state.remaining_hold(ms(6_300)), Some(MAX_HOLD - ms(100)));
    // A request sent before the suspension may also have been answered before it.
    state.record_refresh(ms(900));
    assert!(state.remaining_hold(ms(6_300)).is_some());
    state.record_refresh(ms(6_250));
    assert_eq!(state.remaining_hold(ms(6_300)), None);
}

#[test]
fn hold_ends_after_its_maximum_without_an_answer() {
    let state = resumed();
    assert_eq!(state.remaining_hold(ms(6_200) + MAX_HOLD), None);
}

#[test]
fn second_suspension_starts_a_new_hold() {
    let mut state = resumed();
    state.record_refresh(ms(6_250));
    assert_eq!(state.check_clocks(ms(9_300), ms(1_300)), Some(ms(3_000)));
    assert!(state.remaining_hold(ms(9_301)).is_some());
}
