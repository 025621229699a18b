//! How often a worker is asked for its load report.

use pinerill_node::membership::{PollPace, MAX_SKIPPED_ROUNDS};

/// Rounds of `count` in which the worker is asked; its reports tell nothing new.
fn asked(pace: &mut PollPace, count: u32, in_use: bool) -> u32 {
    let mut asked = 0;
    for _ in 0..count {
        if pace.is_due(in_use) {
            pace.record_report(false);
            asked += 1;
        }
    }
    asked
}

/// A pace after many reports without news.
fn quiet() -> PollPace {
    let mut pace = PollPace::default();
    asked(&mut pace, 100, false);
    pace
}

#[test]
fn a_worker_in_use_is_asked_in_every_round() {
    assert_eq!(asked(&mut quiet(), 40, true), 40);
}

#[test]
fn a_quiet_worker_is_asked_less_often_but_never_forgotten() {
    let every = MAX_SKIPPED_ROUNDS + 1;
    assert_eq!(asked(&mut quiet(), 10 * every, false), 10);
}

#[test]
fn a_quiet_worker_is_asked_in_the_round_after_its_first_use() {
    let mut pace = quiet();
    while pace.is_due(false) {
        pace.record_report(false);
    }
    assert!(pace.is_due(true));
}

#[test]
fn after_news_every_round_asks_until_nothing_changes() {
    let mut pace = quiet();
    pace.record_report(true);
    assert!(pace.is_due(false));
    pace.record_report(false);
    assert!(!pace.is_due(false));
    assert!(pace.is_due(false));
}

#[test]
fn after_a_failure_every_round_asks() {
    let mut pace = quiet();
    pace.record_failure();
    for _ in 0..10 {
        assert!(pace.is_due(false));
        pace.record_failure();
    }
}
