//! Guards the boot-time clock and the detection of suspensions. A test can't suspend its
//! machine, so the detector is given clock readings that diverge as in a suspension.

use std::time::{Duration, Instant};

use pinerill_process::clock::{timeout_at, BootTime, DeadlinePassed, SuspensionWatch};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_suspension_is_as_long_as_the_divergence_of_the_clocks() {
    let mut watch = SuspensionWatch::new(ms(1_000), ms(900));
    assert_eq!(watch.check(ms(1_200), ms(1_100)), None);
    assert_eq!(watch.check(ms(6_400), ms(1_300)), Some(ms(5_000)));
    // Each suspension is reported exactly once.
    assert_eq!(watch.check(ms(6_600), ms(1_500)), None);
    assert_eq!(watch.check(ms(7_600), ms(1_700)), Some(ms(800)));
}

#[test]
fn small_differences_between_readings_are_not_a_suspension() {
    let mut watch = SuspensionWatch::new(ms(0), ms(0));
    assert_eq!(watch.check(ms(230), ms(200)), None);
    assert_eq!(watch.check(ms(400), ms(400)), None);
    assert_eq!(watch.check(ms(620), ms(600)), None);
}

#[test]
fn subtracting_a_later_time_yields_zero_instead_of_a_panic() {
    let first = BootTime::now();
    let later = first + ms(500);
    assert_eq!(later - first, ms(500));
    assert_eq!(first - later, Duration::ZERO);
    assert!(later.remaining() <= ms(500));
    assert_eq!(first.remaining(), Duration::ZERO);
    assert!(first.checked_sub(Duration::MAX).is_none());
}

#[tokio::test]
async fn a_timeout_ends_only_futures_that_outlast_the_deadline() {
    let began = Instant::now();
    let never = std::future::pending::<()>();
    assert_eq!(
        timeout_at(BootTime::now() + ms(30), never).await,
        Err(DeadlinePassed)
    );
    assert!(began.elapsed() >= ms(30));
    assert_eq!(timeout_at(BootTime::now(), async { 7 }).await, Ok(7));
}
