//! Selection of the running items that are preempted for waiting calls.

mod support;

use std::time::Duration;

use pinerill_calls::directory::WorkerId;
use pinerill_forward::batch::preemption::{Preemption, RunId, RunningItem};
use pinerill_forward::fleet::{RequiredSoftware, SoftwareVersion, WorkerSoftware};
use proptest::prelude::*;

/// Start time of all runs in these tests, in milliseconds.
const NOW: u64 = 10_000;
/// A time after the cooldown that follows a preemption at `NOW`.
const LATER: u64 = NOW + 100;

const NONE: [RunId; 0] = [];

fn software(version: Option<&str>) -> WorkerSoftware {
    let mut entry = support::entry(WorkerId::new("w", None));
    entry.version = version.map(str::to_owned);
    WorkerSoftware::of(&entry)
}

fn item(service: &str, due_ms: i64) -> RunningItem {
    RunningItem {
        service: service.to_owned(),
        software: software(None),
        due_ms,
        began_ms: NOW,
        ran_ms: 0.0,
        allowed_ms: 20_000.0,
        pace: 1.0,
    }
}

/// Returns a state in which every completed item ran for exactly 4 s.
fn items_of_four_seconds() -> Preemption {
    let mut preemption = Preemption::default();
    for _ in 0..60 {
        preemption.record_run_time(Duration::from_secs(4));
    }
    preemption
}

fn begin(preemption: &mut Preemption, due_ms: i64) -> RunId {
    preemption.begin(item("s", due_ms))
}

#[test]
fn the_item_with_the_most_slack_is_preempted_first() {
    let mut preemption = items_of_four_seconds();
    let tight = begin(&mut preemption, 16_000);
    let loose = begin(&mut preemption, 30_000);
    assert_eq!(preemption.preempt(NOW, "s", 1), [loose]);
    assert_eq!(preemption.preempt(LATER, "s", 1), [tight]);
    assert_eq!(preemption.running(), 0);
}

#[test]
fn no_more_items_are_preempted_than_calls_wait() {
    let mut preemption = items_of_four_seconds();
    for _ in 0..5 {
        begin(&mut preemption, 30_000);
    }
    assert_eq!(preemption.preempt(NOW, "s", 0), NONE);
    assert_eq!(preemption.preempt(NOW, "s", 2).len(), 2);
    assert_eq!(preemption.preempt(LATER, "s", 9).len(), 3);
}

#[test]
fn calls_cause_no_second_preemption_during_the_cooldown() {
    let mut preemption = items_of_four_seconds();
    for _ in 0..5 {
        begin(&mut preemption, 30_000);
    }
    assert_eq!(preemption.preempt(NOW, "s", 2).len(), 2);
    assert_eq!(preemption.preempt(NOW + 1, "s", 2), NONE);
}

#[test]
fn an_item_is_preempted_only_for_calls_of_its_service() {
    let mut preemption = items_of_four_seconds();
    let other = preemption.begin(item("other", 30_000));
    assert_eq!(preemption.preempt(NOW, "s", 3), NONE);
    assert_eq!(preemption.preempt(NOW, "other", 3), [other]);
}

#[test]
fn an_item_whose_slack_is_below_the_cost_keeps_its_slot() {
    let mut preemption = items_of_four_seconds();
    // The item runs for 4 s and is due in 4.05 s; a preemption costs 1 s.
    for _ in 0..60 {
        preemption.record_interruption(Duration::from_secs(1));
    }
    begin(&mut preemption, 14_050);
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE);
}

#[test]
fn an_item_that_will_be_late_anyway_is_preempted_first() {
    let mut preemption = items_of_four_seconds();
    begin(&mut preemption, 30_000);
    let late = begin(&mut preemption, 12_000);
    assert_eq!(preemption.preempt(NOW, "s", 1), [late]);
}

#[test]
fn items_keep_their_slots_while_the_backlog_has_no_slack() {
    let mut preemption = items_of_four_seconds();
    let loose = begin(&mut preemption, 30_000);
    preemption.set_backlog_slack(Some(-1));
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE);
    preemption.set_backlog_slack(None);
    assert_eq!(preemption.preempt(NOW, "s", 1), [loose]);
}

#[test]
fn time_of_earlier_runs_counts_toward_the_run_time() {
    let mut preemption = items_of_four_seconds();
    // Due in 3.5 s: late if it had to run for the whole 4 s, on time because it has already run
    // for 3 s.
    let mut resumed = item("s", 13_500);
    resumed.ran_ms = 3_000.0;
    preemption.begin(resumed);
    preemption.set_backlog_slack(Some(-1));
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE, "it is not late");
}

#[test]
fn without_samples_half_of_the_allowed_time_is_the_estimate() {
    let mut preemption = Preemption::default();
    let loose = begin(&mut preemption, NOW as i64 + 20_000);
    assert_eq!(preemption.preempt(NOW, "s", 1), [loose]);
}

#[test]
fn an_item_that_has_ended_is_not_preempted() {
    let mut preemption = items_of_four_seconds();
    let run = begin(&mut preemption, 30_000);
    preemption.end(run);
    preemption.end(run);
    assert_eq!(preemption.preempt(NOW, "s", 1), NONE);
}

proptest! {
    /// Of two items that can be on time, the one with less slack is never preempted while the
    /// other keeps its slot.
    #[test]
    fn preemption_is_monotone_in_slack(
        dues in proptest::collection::vec(14_100_i64..60_000, 1..30),
        calls in 0_usize..30,
        cost_ms in 0_u64..5_000,
    ) {
        let mut preemption = items_of_four_seconds();
        for _ in 0..60 {
            preemption.record_interruption(Duration::from_millis(cost_ms));
        }
        let due_of: std::collections::HashMap<RunId, i64> = dues
            .iter()
            .map(|due_ms| (begin(&mut preemption, *due_ms), *due_ms))
            .collect();
        let preempted = preemption.preempt(NOW, "s", calls);
        prop_assert!(preempted.len() <= calls);
        let least_preempted = preempted.iter().map(|run| due_of[run]).min();
        let most_kept = due_of
            .iter()
            .filter(|(run, _)| !preempted.contains(run))
            .map(|(_, due_ms)| *due_ms)
            .max();
        if let (Some(preempted_due), Some(kept_due)) = (least_preempted, most_kept) {
            prop_assert!(preempted_due >= kept_due);
        }
        prop_assert_eq!(preemption.running(), dues.len() - preempted.len());
    }
}

#[test]
fn preemptible_items_are_counted_by_service() {
    let mut preemption = items_of_four_seconds();
    begin(&mut preemption, NOW as i64 + 20_000);
    begin(&mut preemption, NOW as i64 + 20_000);
    // This item has no slack: it is due after exactly its run time.
    begin(&mut preemption, NOW as i64 + 4_000);
    preemption.begin(item("other", NOW as i64 + 20_000));
    let preemptible = preemption.preemptible(NOW);
    assert_eq!(preemptible.get("s"), Some(&2));
    assert_eq!(preemptible.get("other"), Some(&1));
}

#[test]
fn a_stream_bound_to_a_version_preempts_no_item_at_another_version() {
    let mut preemption = items_of_four_seconds();
    let at = |version: &str| RunningItem {
        software: software(Some(version)),
        ..item("svc", 60_000)
    };
    preemption.begin(at("v2"));
    let older = preemption.begin(at("v1"));
    let mut entry = support::entry(WorkerId::new("w", None));
    entry.version = Some("v1".to_owned());
    let required = RequiredSoftware::Version(SoftwareVersion::of(&entry).expect("a version"));
    let preempted = preemption.preempt_at(LATER, "svc", required, 2);
    assert_eq!(preempted, vec![older]);
}
