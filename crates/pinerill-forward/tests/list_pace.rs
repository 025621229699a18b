//! Nodes that read the platform list themselves leave the leader its part of the list's rate.

use std::time::Duration;

use pinerill_forward::cluster::list_pace::{pause_after_failures, reading_pause};

/// Calls a second that the users' list answers.
const CALLS_PER_S: f64 = 44.0;

/// Calls a second of so many nodes whose readings have so many pages.
fn calls_per_s(nodes: u32, pages: usize) -> f64 {
    let pauses = (0..100).map(|part| {
        let random = (f64::from(part) + 0.5) / 100.0;
        reading_pause(nodes, pages, CALLS_PER_S, random).as_secs_f64()
    });
    let mean_pause_s = pauses.sum::<f64>() / 100.0;
    f64::from(nodes) * pages as f64 / mean_pause_s
}

/// With a pause of two to four seconds whatever their number, 250 nodes with three pages ask for
/// 250 calls a second; so 22.
#[test]
fn nodes_use_up_half_of_the_rate_at_any_number() {
    for (nodes, pages) in [(1, 1), (6, 1), (50, 2), (250, 3), (1_600, 220)] {
        let calls = calls_per_s(nodes, pages);
        assert!(
            calls <= CALLS_PER_S / 2.0 + 0.1,
            "{nodes} nodes: {calls} a second"
        );
    }
}

/// A node that has heard no leader yet doesn't know how many others read.
#[test]
fn nodes_that_know_of_no_others_leave_the_list_alone_once_it_refuses_them() {
    let pause = reading_pause(0, 1, CALLS_PER_S, 0.5);
    let mut rate = Vec::new();
    for failures in 0..8 {
        let calls = 835.0 / pause_after_failures(pause, failures).as_secs_f64();
        rate.push(calls);
    }
    assert!(rate.windows(2).all(|pair| pair[1] <= pair[0]));
    assert!(rate[5] <= CALLS_PER_S / 4.0, "{rate:?}");
    let longest = pause_after_failures(pause, u32::MAX);
    assert!(longest <= Duration::from_secs(120), "{longest:?}");
}

#[test]
fn few_nodes_read_each_two_to_four_seconds() {
    for random in [0.0, 0.5, 1.0] {
        let pause = reading_pause(6, 1, CALLS_PER_S, random);
        assert_eq!(pause.as_secs_f64(), 2.0 * (1.0 + random));
    }
}
