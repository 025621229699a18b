//! Which items give way to calls that wait.

use std::time::Duration;

use pinerill_forward::batch::preemption::{Preemption, RunId, RunningItem};
use proptest::prelude::*;

/// A time at which items have run for a while.
const NOW: u64 = 10_000;
/// Time between two times at which items give way that is long enough.
const LATER: u64 = NOW + 100;

const NONE: [RunId; 0] = [];

fn item(service: &str, due_ms: i64) -> RunningItem {
    RunningItem {
        service: service.to_owned(),
        due_ms,
        began_ms: NOW,
        ran_ms: 0.0,
        allowed_ms: 20_000.0,
    }
}

/// Items take 4 s each, always.
fn items_of_four_seconds() -> Preemption {
    let mut preemption = Preemption::default();
    for _ in 0..60 {
        preemption.item_ended(Duration::from_secs(4));
    }
    preemption
}

fn begin(preemption: &mut Preemption, due_ms: i64) -> RunId {
    preemption.begin(item("s", due_ms))
}

#[test]
fn the_item_with_the_most_slack_gives_way_first() {
    let mut preemption = items_of_four_seconds();
    let tight = begin(&mut preemption, 16_000);
    let loose = begin(&mut preemption, 30_000);
    assert_eq!(preemption.preempt(NOW, "s", 1), [loose]);
    assert_eq!(preemption.preempt(LATER, "s", 1), [tight]);
    assert_eq!(preemption.running(), 0);
}

#[test]
fn no_more_items_give_way_than_calls_wait() {
    let mut preemption = items_of_four_seconds();
    for _ in 0..5 {
        begin(&mut preemption, 30_000);
    }
    assert_eq!(preemption.preempt(NOW, "s", 0), NONE);
    assert_eq!(preemption.preempt(NOW, "s", 2).len(), 2);
    assert_eq!(preemption.preempt(LATER, "s", 9).len(), 3);
}

#[test]
fn calls_that_already_have_a_place_to_come_take_no_second_one() {
    let mut preemption = items_of_four_seconds();
    for _ in 0..5 {
        begin(&mut preemption, 30_000);
    }
    assert_eq!(preemption.preempt(NOW, "s", 2).len(), 2);
    assert_eq!(preemption.preempt(NOW + 1, "s", 2), NONE);
}

#[test]
fn an_item_gives_way_only_to_calls_of_its_service() {
    let mut preemption = items_of_four_seconds();
    let other = preemption.begin(item("other", 30_000));
    assert_eq!(preemption.preempt(NOW, "s", 3), NONE);
    assert_eq!(preemption.preempt(NOW, "other", 3), [other]);
}

#[test]
fn an_item_without_slack_keeps_its_place() {
    let mut preemption = items_of_four_seconds();
    // It takes 4 s and is due in 4.05 s; giving way usually costs 1 s.
    for _ in 0..60 {
        preemption.resumed(Duration::from_secs(1));
    }
    begin(&mut preemption, 14_050);
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE);
}

#[test]
fn an_item_that_will_be_late_anyway_gives_way_before_all_others() {
    let mut preemption = items_of_four_seconds();
    begin(&mut preemption, 30_000);
    let late = begin(&mut preemption, 12_000);
    assert_eq!(preemption.preempt(NOW, "s", 1), [late]);
}

#[test]
fn items_keep_their_places_while_the_backlog_has_no_slack() {
    let mut preemption = items_of_four_seconds();
    let loose = begin(&mut preemption, 30_000);
    preemption.take_backlog(Some(-1));
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE);
    preemption.take_backlog(None);
    assert_eq!(preemption.preempt(NOW, "s", 1), [loose]);
}

#[test]
fn what_has_run_already_counts() {
    let mut preemption = items_of_four_seconds();
    // Due in 3.5 s: late from the start, on time after 3 s of running elsewhere.
    let mut resumed = item("s", 13_500);
    resumed.ran_ms = 3_000.0;
    preemption.begin(resumed);
    preemption.take_backlog(Some(-1));
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE, "it is not late");
}

#[test]
fn before_any_item_has_ended_half_of_its_time_is_taken() {
    let mut preemption = Preemption::default();
    let loose = begin(&mut preemption, NOW as i64 + 20_000);
    assert_eq!(preemption.preempt(NOW, "s", 1), [loose]);
}

#[test]
fn an_item_that_has_ended_gives_no_way() {
    let mut preemption = items_of_four_seconds();
    let run = begin(&mut preemption, 30_000);
    preemption.end(run);
    preemption.end(run);
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE);
}

proptest! {
    /// Of two items, the one with more slack never keeps its place while the other
    /// one, which can still be on time, gives way.
    #[test]
    fn giving_way_is_monotone_in_slack(
        dues in proptest::collection::vec(14_100_i64..60_000, 1..30),
        calls in 0_usize..30,
        cost_ms in 0_u64..5_000,
    ) {
        let mut preemption = items_of_four_seconds();
        for _ in 0..60 {
            preemption.resumed(Duration::from_millis(cost_ms));
        }
        let due_of: std::collections::HashMap<RunId, i64> = dues
            .iter()
            .map(|due_ms| (begin(&mut preemption, *due_ms), *due_ms))
            .collect();
        let gave = preemption.preempt(NOW, "s", calls);
        prop_assert!(gave.len() <= calls);
        let least_given = gave.iter().map(|run| due_of[run]).min();
        let most_kept = due_of
            .iter()
            .filter(|(run, _)| !gave.contains(run))
            .map(|(_, due_ms)| *due_ms)
            .max();
        if let (Some(given), Some(kept)) = (least_given, most_kept) {
            prop_assert!(given >= kept);
        }
        prop_assert_eq!(preemption.running(), dues.len() - gave.len());
    }
}

#[test]
fn the_items_that_could_give_way_are_counted_by_service() {
    let mut preemption = items_of_four_seconds();
    begin(&mut preemption, NOW as i64 + 20_000);
    begin(&mut preemption, NOW as i64 + 20_000);
    // This one is due as soon as it can be done.
    begin(&mut preemption, NOW as i64 + 4_000);
    preemption.begin(item("other", NOW as i64 + 20_000));
    let yielding = preemption.preemptible(NOW);
    assert_eq!(yielding.get("s"), Some(&2));
    assert_eq!(yielding.get("other"), Some(&1));
}
