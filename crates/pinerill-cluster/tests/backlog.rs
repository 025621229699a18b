//! How tight the backlog is.

use pinerill_cluster::backlog::{Backlog, ItemDeadline};
use proptest::prelude::*;

/// Items run so long.
const RUN_MS: u64 = 4_000;

fn waiting(remaining_ms: u64) -> ItemDeadline {
    ItemDeadline {
        remaining_ms,
        allowed_ms: 20_000,
    }
}

/// One item has ended each 100 ms for 20 s.
fn ten_a_second() -> Backlog {
    let mut backlog = Backlog::new(0);
    for end in 1..=200 {
        backlog.record_completions(end * 100, 1);
    }
    backlog
}

fn slack(backlog: &mut Backlog, remaining_ms: &[u64]) -> Option<i64> {
    let items = remaining_ms
        .iter()
        .map(|remaining_ms| waiting(*remaining_ms));
    backlog.refresh(20_000, items, RUN_MS);
    backlog.slack_ms()
}

#[test]
fn nothing_that_waits_has_no_slack_to_lose() {
    assert_eq!(slack(&mut ten_a_second(), &[]), None);
}

#[test]
fn an_item_keeps_half_of_the_slack_with_which_it_came() {
    // 20 s allowed and 4 s of running leave 16 s of slack, of which 8 s stay.
    let slack = slack(&mut ten_a_second(), &[20_000]).expect("one waits");
    assert!((7_800..=7_950).contains(&slack), "{slack}");
}

#[test]
fn each_item_waits_for_those_before_it() {
    let mut backlog = ten_a_second();
    let one = slack(&mut backlog, &[20_000]).expect("one waits");
    let many = slack(&mut backlog, &[20_000; 50]).expect("many wait");
    let longer = one - many;
    assert!((4_500..=5_500).contains(&longer), "{longer}");
}

#[test]
fn while_no_pace_is_known_the_order_says_nothing() {
    let mut backlog = Backlog::new(0);
    assert_eq!(slack(&mut backlog, &[20_000; 50]), Some(8_000));
}

#[test]
fn the_backlog_is_looked_at_once_in_a_while() {
    let mut backlog = ten_a_second();
    assert!(backlog.is_stale(20_000));
    slack(&mut backlog, &[20_000]);
    assert!(!backlog.is_stale(20_050));
    assert!(backlog.is_stale(20_100));
}

proptest! {
    /// More items, or less time, never make the backlog looser.
    #[test]
    fn slack_falls_with_what_waits(
        remaining_ms in proptest::collection::vec(0_u64..20_000, 1..40),
        sooner_ms in 0_u64..5_000,
    ) {
        let mut backlog = ten_a_second();
        let all = slack(&mut backlog, &remaining_ms);
        let fewer = slack(&mut backlog, &remaining_ms[..remaining_ms.len() - 1]);
        prop_assert!(fewer.is_none() || fewer >= all);
        let sooner: Vec<u64> = remaining_ms.iter().map(|ms| ms.saturating_sub(sooner_ms)).collect();
        prop_assert!(slack(&mut backlog, &sooner) <= all);
    }
}

#[test]
fn items_that_run_say_what_the_fleet_can_do_while_few_can_have_ended() {
    // A leader for six seconds: items of four seconds have only begun to end.
    let six_seconds = || {
        let mut backlog = Backlog::new(14_000);
        for end in 1..=8 {
            backlog.record_completions(18_000 + end * 200, 1);
        }
        backlog
    };
    let mut backlog = six_seconds();
    let before = slack(&mut backlog, &[20_000; 40]).expect("many wait");
    assert!(before < 0, "{before}");
    backlog.set_leased(40);
    // 40 items of 4 s each: ten a second.
    let with = slack(&mut backlog, &[20_000; 40]).expect("many wait");
    assert!((3_500..=4_500).contains(&with), "{with}");
    // Few that run don't make the pace worse than it was seen.
    backlog.set_leased(1);
    assert_eq!(slack(&mut backlog, &[20_000; 40]), Some(before));
}

#[test]
fn a_pace_that_was_seen_for_long_counts_more_than_what_runs() {
    let mut backlog = ten_a_second();
    let before = slack(&mut backlog, &[20_000; 50]);
    backlog.set_leased(400);
    assert_eq!(slack(&mut backlog, &[20_000; 50]), before);
}

/// Slack of one item that waits, where items end with these parts of their slack left.
fn slack_after_ends(parts: &[f64]) -> i64 {
    let mut backlog = ten_a_second();
    for part in parts {
        backlog.record_remaining_slack(19_000, *part);
    }
    slack(&mut backlog, &[20_000]).expect("one waits")
}

#[test]
fn items_keep_less_where_they_end_with_much_to_spare() {
    let strict = slack_after_ends(&[]);
    // 16 s of slack, of which 8 s stay unless items have ample.
    assert!((7_800..=7_950).contains(&strict), "{strict}");
    assert_eq!(slack_after_ends(&[0.0; 20]), strict);
    assert_eq!(slack_after_ends(&[0.25; 20]), strict + 4_000);
    assert_eq!(slack_after_ends(&[0.6; 20]), strict + 8_000);
    // A job that ends late shows among many that don't.
    let mut mixed = vec![0.6; 40];
    mixed.extend([-0.2; 8]);
    assert_eq!(slack_after_ends(&mixed), strict);
    // A few ends say nothing, nor do old ones.
    assert_eq!(slack_after_ends(&[0.6; 5]), strict);
    let mut old = ten_a_second();
    (0..20).for_each(|_| old.record_remaining_slack(1_000, 0.6));
    assert_eq!(slack(&mut old, &[20_000]), Some(strict));
}

proptest! {
    /// Less slack left at the ends never makes items give way more.
    #[test]
    fn tighter_ends_keep_more(parts in prop::collection::vec(-1.0_f64..1.0, 10..60), less in 0.0_f64..1.0) {
        let tighter: Vec<f64> = parts.iter().map(|part| part - less).collect();
        prop_assert!(slack_after_ends(&tighter) <= slack_after_ends(&parts));
    }
}
