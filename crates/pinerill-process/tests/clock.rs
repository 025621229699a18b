//! The clock by which beliefs age. A test can't suspend its machine: what a process does
//! when the clocks part is shown by times that are told to the watch, and that the clock is
//! the one which counts suspensions by its nearness to the machine's time since boot.

use std::time::{Duration, Instant};

use pinerill_process::clock::{timeout_at, BootTime, DeadlinePassed, SuspensionWatch};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_suspension_is_the_time_by_which_the_clocks_part() {
    let mut watch = SuspensionWatch::new(ms(1_000), ms(900));
    assert_eq!(watch.check(ms(1_200), ms(1_100)), None);
    assert_eq!(watch.check(ms(6_400), ms(1_300)), Some(ms(5_000)));
    // It is told once, and a second one too.
    assert_eq!(watch.check(ms(6_600), ms(1_500)), None);
    assert_eq!(watch.check(ms(7_600), ms(1_700)), Some(ms(800)));
}

#[test]
fn clocks_that_are_read_one_after_the_other_are_no_suspension() {
    let mut watch = SuspensionWatch::new(ms(0), ms(0));
    assert_eq!(watch.check(ms(230), ms(200)), None);
    assert_eq!(watch.check(ms(400), ms(400)), None);
    assert_eq!(watch.check(ms(620), ms(600)), None);
}

#[test]
fn moments_are_compared_without_a_panic_whichever_is_later() {
    let first = BootTime::now();
    let later = first + ms(500);
    assert_eq!(later - first, ms(500));
    assert_eq!(first - later, Duration::ZERO);
    assert!(later.remaining() <= ms(500));
    assert_eq!(first.remaining(), Duration::ZERO);
    assert!(first.checked_sub(Duration::MAX).is_none());
}

#[tokio::test]
async fn a_deadline_ends_what_takes_longer_and_nothing_else() {
    let began = Instant::now();
    let never = std::future::pending::<()>();
    assert_eq!(
        timeout_at(BootTime::now() + ms(30), never).await,
        Err(DeadlinePassed)
    );
    assert!(began.elapsed() >= ms(30));
    assert_eq!(timeout_at(BootTime::now(), async { 7 }).await, Ok(7));
}
