//! Tests of the queue of requests that wait for an engine slot.

use pinerill_node::queue::{EnqueueOutcome, FairQueue};
use pinerill_types::TenantName;

const LIMIT: usize = 6;
const MAX_WAIT_MS: u64 = 1_000;

fn enqueue(queue: &mut FairQueue, tenant: &str, ticket: u64) -> EnqueueOutcome {
    queue.enqueue(&TenantName::from(tenant), ticket, LIMIT, MAX_WAIT_MS)
}

fn pop_all(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(0)).collect()
}

#[test]
fn tenants_are_served_round_robin_regardless_of_their_queue_lengths() {
    let mut queue = FairQueue::default();
    for ticket in 0..4 {
        assert_eq!(enqueue(&mut queue, "crowd", ticket), EnqueueOutcome::Queued);
    }
    enqueue(&mut queue, "single", 10);
    enqueue(&mut queue, "other", 20);
    assert_eq!(pop_all(&mut queue), [0, 20, 10, 1, 2, 3]);
}

#[test]
fn a_full_queue_displaces_requests_for_a_tenant_below_its_share() {
    let mut queue = FairQueue::default();
    for ticket in 0..6 {
        enqueue(&mut queue, "crowd", ticket);
    }
    assert!(matches!(
        enqueue(&mut queue, "crowd", 6),
        EnqueueOutcome::Rejected(_)
    ));
    assert_eq!(
        enqueue(&mut queue, "single", 10),
        EnqueueOutcome::Displaced(5)
    );
    assert_eq!(
        enqueue(&mut queue, "single", 11),
        EnqueueOutcome::Displaced(4)
    );
    assert_eq!(
        enqueue(&mut queue, "single", 12),
        EnqueueOutcome::Displaced(3)
    );
    assert!(matches!(
        enqueue(&mut queue, "single", 13),
        EnqueueOutcome::Rejected(_)
    ));
    assert_eq!(queue.len(), LIMIT);
}

#[test]
fn a_request_that_would_wait_too_long_is_rejected_with_its_expected_wait() {
    let mut queue = FairQueue::default();
    let crew = TenantName::from("crew");
    let interval_ms = 600;
    for turn in 0..40 {
        queue.enqueue(&crew, 2 * turn, LIMIT, u64::MAX);
        queue.enqueue(&crew, 2 * turn + 1, LIMIT, u64::MAX);
        queue.pop(turn * interval_ms);
    }
    while queue.len() > 2 {
        queue.pop(40 * interval_ms);
    }
    let EnqueueOutcome::Rejected(wait) = enqueue(&mut queue, "crew", 1_000) else {
        panic!("the request was queued with an expected wait of 3 times {interval_ms} ms");
    };
    assert!((MAX_WAIT_MS + 1..=2_000).contains(&wait), "{wait}");
}

#[test]
fn a_removed_request_is_never_popped() {
    let mut queue = FairQueue::default();
    enqueue(&mut queue, "crew", 1);
    enqueue(&mut queue, "crew", 2);
    assert!(queue.remove(&"crew".into(), 1));
    assert!(!queue.remove(&"crew".into(), 1));
    assert_eq!(pop_all(&mut queue), [2]);
    assert!(queue.is_empty());
}
