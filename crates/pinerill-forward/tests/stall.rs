//! How long an item keeps text without getting on.

use std::time::Duration;

use pinerill_forward::batch::stall::{
    Stall, StallCause, MAX_WITHOUT_EVENT_MS, MAX_WITHOUT_WORKER_MS,
};
use proptest::prelude::*;

const TICK_MS: u64 = 50;
const LAST_EVENT: Option<u64> = Some(3);

/// Observes a cause for a time, tick by tick; returns whether and when the item must begin again.
fn stalls_after(
    stall: &mut Stall,
    now_ms: &mut u64,
    cause: StallCause,
    for_ms: u64,
) -> Option<u64> {
    let began_ms = *now_ms;
    while *now_ms < began_ms + for_ms {
        *now_ms += TICK_MS;
        if stall.observe(*now_ms, LAST_EVENT, cause, Duration::ZERO) {
            return Some(*now_ms - began_ms);
        }
    }
    None
}

/// An item that has just received an event.
fn with_text() -> (Stall, u64) {
    let mut stall = Stall::new(0);
    assert!(!stall.observe(0, LAST_EVENT, StallCause::Workers, Duration::ZERO));
    (stall, 0)
}

#[test]
fn an_item_without_workers_begins_again_after_a_bounded_time() {
    let (mut stall, mut now_ms) = with_text();
    let after_ms = stalls_after(&mut stall, &mut now_ms, StallCause::NoWorker, 60_000);
    assert_eq!(after_ms, Some(MAX_WITHOUT_WORKER_MS));
}

/// A worker that is back in time ends the wait for one; the next absence counts from its own beginning.
#[test]
fn an_item_whose_worker_is_back_in_time_keeps_its_text() {
    let (mut stall, mut now_ms) = with_text();
    let nearly_ms = MAX_WITHOUT_WORKER_MS - TICK_MS;
    for _ in 0..2 {
        let gone = stalls_after(&mut stall, &mut now_ms, StallCause::NoWorker, nearly_ms);
        let back = stalls_after(&mut stall, &mut now_ms, StallCause::Workers, TICK_MS);
        assert_eq!((gone, back), (None, None));
    }
}

/// Workers that exist but never take the item, or always fail, held it without end.
#[test]
fn an_item_that_no_worker_continues_begins_again_after_a_bounded_time() {
    let (mut stall, mut now_ms) = with_text();
    let after_ms = stalls_after(&mut stall, &mut now_ms, StallCause::Workers, 60_000);
    assert_eq!(after_ms, Some(MAX_WITHOUT_EVENT_MS));
}

#[test]
fn giving_way_to_calls_never_costs_an_item_its_text() {
    let (mut stall, mut now_ms) = with_text();
    let gave_way = stalls_after(&mut stall, &mut now_ms, StallCause::GivesWay, 600_000);
    let waited = stalls_after(&mut stall, &mut now_ms, StallCause::Workers, TICK_MS);
    assert_eq!((gave_way, waited), (None, None));
}

/// An item that was withheld must not lose its text at the moment at which it may run again.
#[test]
fn time_in_which_an_item_was_withheld_does_not_count() {
    let (mut stall, mut now_ms) = with_text();
    now_ms += 600_000;
    stall.skip(now_ms);
    let waited = stalls_after(&mut stall, &mut now_ms, StallCause::Workers, TICK_MS);
    assert_eq!(waited, None);
}

/// The text of a long run is worth a wait as long as the run.
#[test]
fn an_item_waits_for_workers_for_as_long_as_it_has_run() {
    let time_run = Duration::from_secs(40);
    let (mut stall, _) = with_text();
    assert!(!stall.observe(39_950, LAST_EVENT, StallCause::Workers, time_run));
    assert!(stall.observe(40_000, LAST_EVENT, StallCause::Workers, time_run));
}

proptest! {
    /// Whatever an item waits for by turns, an event or the end of the time ends the wait.
    #[test]
    fn no_sequence_of_causes_holds_an_item_for_longer_than_the_bound(
        causes in prop::collection::vec(0..3usize, 1_000..2_000),
    ) {
        let kinds = [StallCause::NoWorker, StallCause::Workers, StallCause::GivesWay];
        let (mut stall, mut now_ms) = with_text();
        let mut counted_ms = 0;
        for cause in causes {
            let cause = kinds[cause];
            now_ms += TICK_MS;
            counted_ms += match cause {
                StallCause::GivesWay => 0,
                StallCause::NoWorker | StallCause::Workers => TICK_MS,
            };
            if stall.observe(now_ms, LAST_EVENT, cause, Duration::ZERO) {
                break;
            }
            prop_assert!(counted_ms < MAX_WITHOUT_EVENT_MS);
        }
    }

    #[test]
    fn an_item_without_text_is_never_told_to_begin_again(cause in 0..3usize, ms in 0..100_000u64) {
        let kinds = [StallCause::NoWorker, StallCause::Workers, StallCause::GivesWay];
        let mut stall = Stall::new(0);
        prop_assert!(!stall.observe(ms, None, kinds[cause], Duration::ZERO));
    }
}
