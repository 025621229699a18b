//! One barrier confirms many watches, and only those that came before it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use pinerill_control::server::Confirmations;
use tokio::sync::Notify;

/// Barriers that end when they are let go.
#[derive(Default)]
struct Barriers {
    begun: AtomicU64,
    fails: AtomicBool,
    let_go: Notify,
    has_begun: Notify,
}

fn start(confirmations: &Arc<Confirmations>, barriers: &Arc<Barriers>) {
    let confirmations = confirmations.clone();
    let barriers = barriers.clone();
    tokio::spawn(async move {
        let barrier = || async {
            barriers.begun.fetch_add(1, Ordering::SeqCst);
            barriers.has_begun.notify_one();
            barriers.let_go.notified().await;
            !barriers.fails.load(Ordering::SeqCst)
        };
        confirmations.run(barrier).await;
    });
}

#[tokio::test]
async fn a_watch_that_arrives_during_a_barrier_waits_for_the_next_one() {
    let confirmations = Arc::new(Confirmations::default());
    let barriers = Arc::new(Barriers::default());
    start(&confirmations, &barriers);
    let early = confirmations.ask();
    barriers.has_begun.notified().await;
    let late = confirmations.ask();
    barriers.let_go.notify_one();
    confirmations.confirmed(early).await;
    assert!(!confirmations.is_confirmed(late));
    barriers.has_begun.notified().await;
    barriers.let_go.notify_one();
    confirmations.confirmed(late).await;
}

#[tokio::test]
async fn a_thousand_watches_share_one_barrier() {
    let confirmations = Arc::new(Confirmations::default());
    let barriers = Arc::new(Barriers::default());
    let tickets: Vec<_> = (0..1_000).map(|_| confirmations.ask()).collect();
    start(&confirmations, &barriers);
    barriers.let_go.notify_one();
    for ticket in tickets {
        confirmations.confirmed(ticket).await;
    }
    assert_eq!(barriers.begun.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_failed_barrier_confirms_nothing_and_is_tried_again() {
    let confirmations = Arc::new(Confirmations::default());
    let barriers = Arc::new(Barriers::default());
    barriers.fails.store(true, Ordering::SeqCst);
    start(&confirmations, &barriers);
    let ticket = confirmations.ask();
    barriers.has_begun.notified().await;
    barriers.let_go.notify_one();
    // The next one begins only after this one has failed.
    barriers.has_begun.notified().await;
    assert!(!confirmations.is_confirmed(ticket));
    barriers.fails.store(false, Ordering::SeqCst);
    barriers.let_go.notify_one();
    confirmations.confirmed(ticket).await;
}
