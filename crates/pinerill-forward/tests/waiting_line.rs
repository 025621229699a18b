//! Tests the order in which waiting calls get slots, and which calls are rejected.

use std::time::Duration;

use pinerill_forward::dispatch::admission::{admit, Admission, AdmissionRequest, StartRate};
use pinerill_forward::dispatch::queue::{WaitingCall, WaitingQueue};
use proptest::prelude::*;

fn call(rank: u32, latest_start_ms: u64) -> WaitingCall {
    WaitingCall {
        rank,
        latest_start_ms,
    }
}

#[test]
fn call_with_the_earliest_latest_start_goes_first() {
    let mut queue = WaitingQueue::default();
    let later = queue.push(call(0, 900));
    let urgent = queue.push(call(0, 300));
    assert_eq!(queue.head(100, 9), [urgent, later]);
}

#[test]
fn a_late_call_follows_those_in_time_and_the_newest_late_one_goes_first() {
    let mut queue = WaitingQueue::default();
    let late = queue.push(call(0, 300));
    let later = queue.push(call(0, 310));
    let in_time = queue.push(call(0, 900));
    assert_eq!(queue.head(200, 9), [late, later, in_time]);
    assert_eq!(queue.head(400, 9), [in_time, later, late]);
}

#[test]
fn less_urgent_rank_goes_after_late_calls_of_a_more_urgent_one() {
    let mut queue = WaitingQueue::default();
    let less_urgent = queue.push(call(2, 900));
    let late = queue.push(call(0, 100));
    assert_eq!(queue.head(500, 9), [late, less_urgent]);
}

#[test]
fn calls_ahead_are_those_served_before_a_new_call() {
    let mut queue = WaitingQueue::default();
    queue.push(call(0, 100));
    queue.push(call(0, 600));
    queue.push(call(1, 600));
    queue.push(call(0, 900));
    // Of the four, one is late, one has a lower rank and one may start later.
    assert_eq!(queue.ahead_of(500, &call(0, 700)), 1);
    assert_eq!(queue.ahead_of(500, &call(1, 700)), 4);
}

#[test]
fn removed_call_is_not_in_the_queue_order() {
    let mut queue = WaitingQueue::default();
    let removed = queue.push(call(0, 300));
    let remaining = queue.push(call(0, 400));
    queue.remove(removed);
    queue.remove(removed);
    assert_eq!(queue.head(0, 9), [remaining]);
    assert_eq!(queue.len(), 1);
}

proptest! {
    #[test]
    fn every_waiting_call_appears_once_in_the_queue_order(
        calls in proptest::collection::vec((0_u32..3, 0_u64..1_000), 0..40),
        now_ms in 0_u64..1_000,
    ) {
        let mut queue = WaitingQueue::default();
        let mut pushed: Vec<_> =
            calls.iter().map(|(rank, until)| queue.push(call(*rank, *until))).collect();
        let mut order = queue.head(now_ms, usize::MAX);
        order.sort_unstable();
        pushed.sort_unstable();
        prop_assert_eq!(order, pushed);
    }
}

fn request() -> AdmissionRequest {
    AdmissionRequest {
        ahead: 9,
        interval_ms: Some(100.0),
        max_wait: Duration::from_millis(900),
    }
}

#[test]
fn call_that_cannot_be_served_in_time_is_rejected_at_once() {
    let Admission::Reject {
        expected,
        retry_after,
    } = admit(&request(), 0.5)
    else {
        panic!("the call is queued");
    };
    assert_eq!(expected, Duration::from_millis(1_000));
    assert!(retry_after >= expected / 2 && retry_after <= expected);
}

#[test]
fn retry_delays_of_rejected_calls_are_spread() {
    assert_ne!(admit(&request(), 0.0), admit(&request(), 1.0));
}

#[test]
fn retry_delay_has_a_lower_bound() {
    let no_time_left = AdmissionRequest {
        ahead: 0,
        interval_ms: Some(1.0),
        max_wait: Duration::ZERO,
    };
    let Admission::Reject { retry_after, .. } = admit(&no_time_left, 0.0) else {
        panic!("the call is queued");
    };
    assert!(retry_after >= Duration::from_millis(100));
}

#[test]
fn call_that_can_be_served_within_its_deadline_is_queued() {
    let within_deadline = AdmissionRequest {
        max_wait: Duration::from_millis(1_000),
        ..request()
    };
    assert_eq!(admit(&within_deadline, 0.5), Admission::Wait);
    let rate_unknown = AdmissionRequest {
        interval_ms: None,
        ..request()
    };
    assert_eq!(admit(&rate_unknown, 0.5), Admission::Wait);
}

proptest! {
    /// A call that is queued must also be queued if fewer calls are ahead of it or if it may wait
    /// longer.
    #[test]
    fn admission_is_monotone(
        ahead in 0_usize..50,
        interval_ms in 1.0_f64..500.0,
        max_wait_ms in 0_u64..5_000,
    ) {
        let waits = |ahead, max_wait_ms| {
            let request = AdmissionRequest {
                ahead,
                interval_ms: Some(interval_ms),
                max_wait: Duration::from_millis(max_wait_ms),
            };
            admit(&request, 0.5) == Admission::Wait
        };
        prop_assert!(!waits(ahead + 1, max_wait_ms) || waits(ahead, max_wait_ms));
        prop_assert!(!waits(ahead, max_wait_ms) || waits(ahead, max_wait_ms + 1));
    }
}

#[test]
fn start_rate_is_estimated_from_recent_starts() {
    let mut start_rate = StartRate::default();
    for at in [0, 100, 200] {
        start_rate.record_start(at);
    }
    assert_eq!(start_rate.interval_ms(300), None);
    start_rate.record_start(300);
    assert_eq!(start_rate.interval_ms(400), Some(100.0));
    // Without further starts the estimated rate falls, and then there is no estimate.
    assert_eq!(start_rate.interval_ms(800), Some(200.0));
    assert_eq!(start_rate.interval_ms(3_000), None);
}
