//! What load reports tell of online work at an engine.

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
fn only_more_online_work_of_others_is_news() {
    let mut load = LoadEstimate::default();
    let mut more = |total, own| load.apply_report(0, &report(total, 2, 0), own).more_online;
    assert!(!more(2, 0), "only batch");
    assert!(!more(4, 2), "own requests");
    assert!(more(5, 2), "another node's");
    assert!(!more(5, 2), "the same again");
    assert!(!more(3, 1), "fewer");
}

#[test]
fn preemptions_count_from_the_first_report_on() {
    let mut load = LoadEstimate::default();
    let mut news = |count| load.apply_report(0, &report(0, 0, count), 0).preemptions;
    assert_eq!(
        [news(7), news(9), news(9), news(0), news(1)],
        [0, 2, 0, 0, 1]
    );
}

#[test]
fn online_work_of_others_counts_less_the_older_the_report() {
    let mut load = LoadEstimate::default();
    load.apply_report(1_000, &report(4, 0, 0), 0);
    let aged = [1_000, 3_500, 6_000, 9_000].map(|now| load.online_elsewhere(now));
    assert_eq!(aged, [4.0, 2.0, 0.0, 0.0]);
}
