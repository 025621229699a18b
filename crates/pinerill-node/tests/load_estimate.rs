//! Tests of the load estimate that is derived from an engine's load reports.

use pinerill_node::membership::EngineReport;
use pinerill_node::routing::LoadEstimate;

fn report(running: u32, batch_running: u32, preemptions: u64) -> EngineReport {
    EngineReport {
        running,
        batch_running,
        preemptions,
        slots: 16,
        ..EngineReport::default()
    }
}

#[test]
fn only_an_increase_of_other_nodes_online_requests_is_reported() {
    let mut load = LoadEstimate::default();
    let mut more = |total, own| load.apply_report(0, &report(total, 2, 0), own).more_online;
    assert!(!more(2, 0), "only batch");
    assert!(!more(4, 2), "own requests");
    assert!(more(5, 2), "another node's");
    assert!(!more(5, 2), "the same again");
    assert!(!more(3, 1), "fewer");
}

#[test]
fn preemptions_are_counted_from_the_first_report() {
    let mut load = LoadEstimate::default();
    let mut added = |count| load.apply_report(0, &report(0, 0, count), 0).preemptions;
    assert_eq!(
        [added(7), added(9), added(9), added(0), added(1)],
        [0, 2, 0, 0, 1]
    );
}

#[test]
fn online_requests_of_other_nodes_decay_with_the_age_of_the_report() {
    let mut load = LoadEstimate::default();
    load.apply_report(1_000, &report(4, 0, 0), 0);
    let aged = [1_000, 3_500, 6_000, 9_000].map(|now| load.online_elsewhere(now));
    assert_eq!(aged, [4.0, 2.0, 0.0, 0.0]);
}
