//! Tests that nodes which read the worker list themselves leave the leader its share of the list's
//! rate.

use std::time::Duration;

use pinerill_forward::cluster::list_pace::{pause_after_failures, reading_pause};

/// Requests per second that the platform's worker list serves.
const CALLS_PER_S: f64 = 44.0;

/// Returns the mean requests per second of `nodes` nodes whose reads have `pages` pages each.
fn calls_per_s(nodes: u32, pages: usize) -> f64 {
    let pauses = (0..100).map(|part| {
        let random = (f64::from(part) + 0.5) / 100.0;
        reading_pause(nodes, pages, CALLS_PER_S, random).as_secs_f64()
    });
    let mean_pause_s = pauses.sum::<f64>() / 100.0;
    f64::from(nodes) * pages as f64 / mean_pause_s
}

/// Guards against a rate that grows with the fleet: with a fixed pause of two to four seconds, 250
/// nodes that read three pages each send 250 requests per second, and with these pauses 22.
#[test]
fn any_number_of_nodes_uses_at_most_half_of_the_rate() {
    for (nodes, pages) in [(1, 1), (6, 1), (50, 2), (250, 3), (1_600, 220)] {
        let calls = calls_per_s(nodes, pages);
        assert!(
            calls <= CALLS_PER_S / 2.0 + 0.1,
            "{nodes} nodes: {calls} a second"
        );
    }
}

/// Guards against overload by nodes that have had no answer from a leader, so that they don't know
/// how many others read the list.
#[test]
fn nodes_that_know_of_no_others_back_off_when_reads_fail() {
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
fn in_a_small_fleet_each_node_reads_every_two_to_four_seconds() {
    for random in [0.0, 0.5, 1.0] {
        let pause = reading_pause(6, 1, CALLS_PER_S, random);
        assert_eq!(pause.as_secs_f64(), 2.0 * (1.0 + random));
    }
}
