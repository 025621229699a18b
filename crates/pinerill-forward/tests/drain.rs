//! Stages of a planned stop.

use std::future::pending;
use std::time::Duration;

use pinerill_forward::drain::{AnswersDue, Drain};
use pinerill_process::clock::BootTime;
use tokio::time::timeout;

const STOP_TIME: Duration = Duration::from_millis(1_000);
const LONG: Duration = Duration::from_secs(60);

/// A node that serves sets no bound of its own.
#[test]
fn a_node_that_serves_bounds_nothing() {
    let drain = Drain::new(STOP_TIME);
    let deadline = BootTime::now() + LONG;
    assert_eq!(drain.bound(deadline), deadline);
    assert!(!drain.has_begun() && !drain.is_admission_over());
}

/// Guards against a bound that leaves callers no time to receive their answers, and against one that
/// a second signal moves.
#[test]
fn answers_fall_due_before_the_stop_time_has_passed() {
    let drain = Drain::new(STOP_TIME);
    let before = BootTime::now();
    drain.begin();
    let bound = drain.bound(before + LONG);
    let stop_end = before + STOP_TIME;
    assert!(stop_end - bound >= STOP_TIME.mul_f64(0.05));
    assert!(bound - before >= STOP_TIME.mul_f64(0.85));
    drain.begin();
    assert_eq!(drain.bound(before + LONG), bound);
    let earlier = before + Duration::from_millis(1);
    assert_eq!(drain.bound(earlier), earlier);
}

/// Guards against requests that wait longer than the node is there: a step without an end is dropped
/// before `finish` returns, and none makes progress from then on.
#[tokio::test]
async fn every_step_ends_before_connections_are_closed() {
    let drain = Drain::new(STOP_TIME);
    let began = BootTime::now();
    let waits = drain.until_answers_due(pending::<()>());
    let (waited, ()) = tokio::join!(async { (waits.await, began.elapsed()) }, async {
        drain.finish().await
    });
    assert_eq!(waited.0, Err(AnswersDue));
    assert!(waited.1 < began.elapsed(), "no time for the delivery");
    assert!(drain.is_admission_over());
    let late = drain.until_answers_due(async { panic!("a step goes on") });
    assert_eq!(late.await, Err::<(), _>(AnswersDue));
}

/// Guards against a second signal that is not heeded before the stop time has passed.
#[tokio::test]
async fn a_node_that_stops_at_once_has_steps_answered_first() {
    let drain = Drain::new(LONG);
    drain.begin();
    let stopped = timeout(Duration::from_secs(5), drain.finish_at_once());
    assert!(stopped.await.is_ok());
    let late = drain.until_answers_due(pending::<()>());
    assert_eq!(late.await, Err(AnswersDue));
}
