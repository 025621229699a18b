//! Slack of the queued items, and the reserve that they keep.

use pinerill_cluster::backlog::{Backlog, ItemDeadline};
use proptest::prelude::*;

/// Time for which an item runs, milliseconds.
const RUN_MS: u64 = 4_000;

fn deadline(remaining_ms: u64) -> ItemDeadline {
    ItemDeadline {
        remaining_ms,
        allowed_ms: 20_000,
    }
}

/// Returns a backlog in which one item has completed every 100 ms for 20 s.
fn completing_ten_per_second() -> Backlog {
    let mut backlog = Backlog::new(0);
    for completion in 1..=200 {
        backlog.record_completions(completion * 100, 1);
    }
    backlog
}

fn slack(backlog: &mut Backlog, remaining_ms: &[u64]) -> Option<i64> {
    let items = remaining_ms
        .iter()
        .map(|remaining_ms| deadline(*remaining_ms));
    backlog.refresh(20_000, items, RUN_MS);
    backlog.slack_ms()
}

#[test]
fn an_empty_queue_has_no_slack() {
    assert_eq!(slack(&mut completing_ten_per_second(), &[]), None);
}

#[test]
fn an_item_keeps_half_of_its_initial_slack_in_reserve() {
    // 20 s allowed and a run time of 4 s leave 16 s of slack, of which 8 s are reserved.
    let slack = slack(&mut completing_ten_per_second(), &[20_000]).expect("one item is queued");
    assert!((7_800..=7_950).contains(&slack), "{slack}");
}

#[test]
fn slack_shrinks_with_the_number_of_items_ahead() {
    let mut backlog = completing_ten_per_second();
    let one = slack(&mut backlog, &[20_000]).expect("one item is queued");
    let many = slack(&mut backlog, &[20_000; 50]).expect("many items are queued");
    let longer = one - many;
    assert!((4_500..=5_500).contains(&longer), "{longer}");
}

#[test]
fn queue_position_is_ignored_while_no_rate_is_known() {
    let mut backlog = Backlog::new(0);
    assert_eq!(slack(&mut backlog, &[20_000; 50]), Some(8_000));
}

#[test]
fn slack_goes_stale_after_the_refresh_interval() {
    let mut backlog = completing_ten_per_second();
    assert!(backlog.is_stale(20_000));
    slack(&mut backlog, &[20_000]);
    assert!(!backlog.is_stale(20_050));
    assert!(backlog.is_stale(20_100));
}

proptest! {
    /// Slack never grows if an item is added or if all items are due earlier.
    #[test]
    fn slack_never_grows_with_more_items_or_less_time(
        remaining_ms in proptest::collection::vec(0_u64..20_000, 1..40),
        sooner_ms in 0_u64..5_000,
    ) {
        let mut backlog = completing_ten_per_second();
        let all = slack(&mut backlog, &remaining_ms);
        let fewer = slack(&mut backlog, &remaining_ms[..remaining_ms.len() - 1]);
        prop_assert!(fewer.is_none() || fewer >= all);
        let sooner: Vec<u64> = remaining_ms.iter().map(|ms| ms.saturating_sub(sooner_ms)).collect();
        prop_assert!(slack(&mut backlog, &sooner) <= all);
    }
}

#[test]
fn running_items_bound_the_completion_interval_shortly_after_start() {
    // The leader has led for six seconds, so items that run for four seconds have only begun to
    // complete.
    let leading_for_six_seconds = || {
        let mut backlog = Backlog::new(14_000);
        for completion in 1..=8 {
            backlog.record_completions(18_000 + completion * 200, 1);
        }
        backlog
    };
    let mut backlog = leading_for_six_seconds();
    let before = slack(&mut backlog, &[20_000; 40]).expect("many items are queued");
    assert!(before < 0, "{before}");
    backlog.set_leased(40);
    // 40 running items of 4 s each complete at ten per second.
    let with = slack(&mut backlog, &[20_000; 40]).expect("many items are queued");
    assert!((3_500..=4_500).contains(&with), "{with}");
    // A small number of running items does not lower the observed rate.
    backlog.set_leased(1);
    assert_eq!(slack(&mut backlog, &[20_000; 40]), Some(before));
}

#[test]
fn running_items_are_ignored_once_the_rate_is_established() {
    let mut backlog = completing_ten_per_second();
    let before = slack(&mut backlog, &[20_000; 50]);
    backlog.set_leased(400);
    assert_eq!(slack(&mut backlog, &[20_000; 50]), before);
}

/// Returns the slack of one queued item after items completed with these shares of their slack
/// left.
fn slack_after_completions(shares: &[f64]) -> i64 {
    let mut backlog = completing_ten_per_second();
    for share in shares {
        backlog.record_remaining_slack(19_000, *share);
    }
    slack(&mut backlog, &[20_000]).expect("one item is queued")
}

#[test]
fn the_reserve_shrinks_if_items_complete_with_ample_slack() {
    let full_reserve = slack_after_completions(&[]);
    // Of 16 s of slack, 8 s are reserved unless items complete with ample slack.
    assert!((7_800..=7_950).contains(&full_reserve), "{full_reserve}");
    assert_eq!(slack_after_completions(&[0.0; 20]), full_reserve);
    assert_eq!(slack_after_completions(&[0.25; 20]), full_reserve + 4_000);
    assert_eq!(slack_after_completions(&[0.6; 20]), full_reserve + 8_000);
    // A job whose items complete late shows among many items that don't.
    let mut mixed = vec![0.6; 40];
    mixed.extend([-0.2; 8]);
    assert_eq!(slack_after_completions(&mixed), full_reserve);
    // A few completions have no effect, nor do old ones.
    assert_eq!(slack_after_completions(&[0.6; 5]), full_reserve);
    let mut old = completing_ten_per_second();
    (0..20).for_each(|_| old.record_remaining_slack(1_000, 0.6));
    assert_eq!(slack(&mut old, &[20_000]), Some(full_reserve));
}

proptest! {
    /// Less slack left on completion never allows more preemption.
    #[test]
    fn less_remaining_slack_never_lowers_the_reserve(shares in prop::collection::vec(-1.0_f64..1.0, 10..60), less in 0.0_f64..1.0) {
        let tighter: Vec<f64> = shares.iter().map(|share| share - less).collect();
        prop_assert!(slack_after_completions(&tighter) <= slack_after_completions(&shares));
    }
}
