//! The connect timeout for workers: its default, its bounds and how it follows recent connect times.

use std::time::Duration;

use pinerill_forward::exchange::connect_times::{ConnectTimes, DEFAULT_TIMEOUT, MAX_TIMEOUT};

fn connect_times_of(zone: &str, times_ms: &[u64]) -> ConnectTimes {
    let mut times = ConnectTimes::default();
    for time in times_ms {
        times.record(zone, Duration::from_millis(*time));
    }
    times
}

#[test]
fn default_timeout_applies_without_enough_samples() {
    assert_eq!(
        ConnectTimes::default().connect_timeout("z"),
        DEFAULT_TIMEOUT
    );
    assert_eq!(
        connect_times_of("z", &[1]).connect_timeout("z"),
        DEFAULT_TIMEOUT
    );
    assert_eq!(
        connect_times_of("z", &[1; 20]).connect_timeout("another"),
        DEFAULT_TIMEOUT
    );
}

#[test]
fn timeout_is_a_bounded_multiple_of_the_usual_time() {
    // The lower bound leaves 40 ms to a worker that is slow to accept connections.
    assert_eq!(
        connect_times_of("z", &[1; 20]).connect_timeout("z"),
        Duration::from_millis(40)
    );
    assert_eq!(
        connect_times_of("z", &[20; 20]).connect_timeout("z"),
        Duration::from_millis(120)
    );
    assert_eq!(
        connect_times_of("z", &[200; 20]).connect_timeout("z"),
        MAX_TIMEOUT
    );
}

#[test]
fn timeout_ignores_lost_packets_and_follows_a_slower_network() {
    let mut times: Vec<u64> = vec![2; 28];
    times.extend([450; 4]);
    assert_eq!(
        connect_times_of("z", &times).connect_timeout("z"),
        Duration::from_millis(40)
    );
    times.extend([50; 32]);
    assert_eq!(
        connect_times_of("z", &times).connect_timeout("z"),
        Duration::from_millis(300)
    );
}
