//! Tests the estimate of run times and its bounds.

use std::time::Duration;

use pinerill_forward::run_time::RunTime;

#[test]
fn typical_time_follows_recent_samples() {
    let mut time = RunTime::default();
    assert_eq!(time.typical_ms(), 0);
    time.record(Duration::from_secs(4));
    assert_eq!(time.typical_ms(), 4_000);
    for _ in 0..40 {
        time.record(Duration::from_secs(8));
    }
    assert!((7_900..=8_000).contains(&time.typical_ms()));
}

#[test]
fn bounds_widen_with_the_variation_of_samples() {
    let mut steady = RunTime::default();
    let mut varied = RunTime::default();
    assert_eq!((steady.shortest_ms(), steady.longest_ms()), (None, None));
    for turn in 0..60 {
        steady.record(Duration::from_secs(4));
        varied.record(Duration::from_secs(if turn % 2 == 0 { 3 } else { 5 }));
    }
    let width = |time: &RunTime| time.longest_ms().unwrap() - time.shortest_ms().unwrap();
    assert!(width(&steady) < 100.0, "{}", width(&steady));
    assert!(width(&varied) > 3_000.0, "{}", width(&varied));
    assert!(varied.shortest_ms().unwrap() <= 3_000.0);
    assert!(varied.longest_ms().unwrap() >= 5_000.0);
}
