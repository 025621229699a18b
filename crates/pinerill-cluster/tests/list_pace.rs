//! Bounds of the interval at which the leader polls the platform list.

use std::time::Duration;

use pinerill_cluster::list_pace::{reading_interval, ReadingBounds};

const BOUNDS: ReadingBounds = ReadingBounds {
    shortest: Duration::from_millis(1_000),
    longest: Duration::from_millis(2_500),
};

#[test]
fn a_short_list_is_polled_once_a_second() {
    assert_eq!(reading_interval(3, 44.0, BOUNDS), BOUNDS.shortest);
    assert_eq!(reading_interval(0, 44.0, BOUNDS), BOUNDS.shortest);
}

#[test]
fn a_long_list_uses_a_fifth_of_the_call_rate() {
    let interval = reading_interval(200, 430.0, BOUNDS);
    let calls_per_s = 200.0 / interval.as_secs_f64();
    assert!(
        (calls_per_s - 86.0).abs() < 0.5,
        "{calls_per_s} calls a second"
    );
}

#[test]
fn the_poll_interval_never_exceeds_its_upper_bound() {
    assert_eq!(reading_interval(400, 430.0, BOUNDS), BOUNDS.longest);
}
