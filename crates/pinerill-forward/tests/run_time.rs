//! How long items usually run.

use std::time::Duration;

use pinerill_forward::run_time::RunTime;

#[test]
fn the_usual_run_time_follows_the_runs() {
    let mut time = RunTime::default();
    assert_eq!(time.typical_ms(), 0);
    time.ended(Duration::from_secs(4));
    assert_eq!(time.typical_ms(), 4_000);
    for _ in 0..40 {
        time.ended(Duration::from_secs(8));
    }
    assert!((7_900..=8_000).contains(&time.typical_ms()));
}
