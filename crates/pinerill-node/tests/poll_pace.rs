//! Guards against stale load of a worker in use and against needless polls of an
//! idle one.

use pinerill_node::membership::{PollPace, MAX_SKIPPED_ROUNDS};

/// Runs `count` rounds in which each poll returns an unchanged report. Returns the
/// number of polls.
fn count_polls(pace: &mut PollPace, count: u32, in_use: bool) -> u32 {
    let mut polls = 0;
    for _ in 0..count {
        if pace.is_due(in_use) {
            pace.record_report(false);
            polls += 1;
        }
    }
    polls
}

/// Returns a schedule after many unchanged reports, at its longest interval.
fn idle_pace() -> PollPace {
    let mut pace = PollPace::default();
    count_polls(&mut pace, 100, false);
    pace
}

#[test]
fn a_worker_in_use_is_polled_in_every_round() {
    assert_eq!(count_polls(&mut idle_pace(), 40, true), 40);
}

#[test]
fn an_idle_worker_is_polled_at_the_longest_interval() {
    let interval = MAX_SKIPPED_ROUNDS + 1;
    assert_eq!(count_polls(&mut idle_pace(), 10 * interval, false), 10);
}

#[test]
fn an_idle_worker_is_polled_in_the_first_round_of_use() {
    let mut pace = idle_pace();
    while pace.is_due(false) {
        pace.record_report(false);
    }
    assert!(pace.is_due(true));
}

#[test]
fn a_changed_report_resets_the_interval_to_every_round() {
    let mut pace = idle_pace();
    pace.record_report(true);
    assert!(pace.is_due(false));
    pace.record_report(false);
    assert!(!pace.is_due(false));
    assert!(pace.is_due(false));
}

#[test]
fn a_worker_is_polled_in_every_round_after_a_failure() {
    let mut pace = idle_pace();
    pace.record_failure();
    for _ in 0..10 {
        assert!(pace.is_due(false));
        pace.record_failure();
    }
}
