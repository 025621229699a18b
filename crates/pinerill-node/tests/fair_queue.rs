//! The queue of requests that wait for a place.

use pinerill_node::queue::{Enqueued, FairQueue};
use pinerill_types::TenantName;

const LIMIT: usize = 6;
const PATIENCE_MS: u64 = 1_000;

fn enqueue(queue: &mut FairQueue, tenant: &str, ticket: u64) -> Enqueued {
    queue.enqueue(&TenantName::from(tenant), ticket, LIMIT, PATIENCE_MS)
}

fn pop_all(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(0)).collect()
}

#[test]
fn tenants_take_turns_however_many_each_has() {
    let mut queue = FairQueue::default();
    for ticket in 0..4 {
        assert_eq!(enqueue(&mut queue, "crowd", ticket), Enqueued::Waits);
    }
    enqueue(&mut queue, "single", 10);
    enqueue(&mut queue, "other", 20);
    assert_eq!(pop_all(&mut queue), [0, 20, 10, 1, 2, 3]);
}

#[test]
fn a_full_queue_makes_room_for_a_tenant_below_its_share() {
    let mut queue = FairQueue::default();
    for ticket in 0..6 {
        enqueue(&mut queue, "crowd", ticket);
    }
    assert!(matches!(
        enqueue(&mut queue, "crowd", 6),
        Enqueued::Refused(_)
    ));
    assert_eq!(enqueue(&mut queue, "single", 10), Enqueued::Displaced(5));
    assert_eq!(enqueue(&mut queue, "single", 11), Enqueued::Displaced(4));
    assert_eq!(enqueue(&mut queue, "single", 12), Enqueued::Displaced(3));
    assert!(matches!(
        enqueue(&mut queue, "single", 13),
        Enqueued::Refused(_)
    ));
    assert_eq!(queue.len(), LIMIT);
}

#[test]
fn who_would_wait_too_long_is_refused_at_once_and_told_when_to_come_back() {
    let mut queue = FairQueue::default();
    let crew = TenantName::from("crew");
    let pause_ms = 600;
    for turn in 0..40 {
        queue.enqueue(&crew, 2 * turn, LIMIT, u64::MAX);
        queue.enqueue(&crew, 2 * turn + 1, LIMIT, u64::MAX);
        queue.pop(turn * pause_ms);
    }
    while queue.len() > 2 {
        queue.pop(40 * pause_ms);
    }
    let Enqueued::Refused(wait) = enqueue(&mut queue, "crew", 1_000) else {
        panic!("it would wait three times {pause_ms} ms");
    };
    assert!((PATIENCE_MS + 1..=2_000).contains(&wait), "{wait}");
}

#[test]
fn who_gives_up_leaves_the_queue() {
    let mut queue = FairQueue::default();
    enqueue(&mut queue, "crew", 1);
    enqueue(&mut queue, "crew", 2);
    assert!(queue.remove(&"crew".into(), 1));
    assert!(!queue.remove(&"crew".into(), 1));
    assert_eq!(pop_all(&mut queue), [2]);
    assert!(queue.is_empty());
}
