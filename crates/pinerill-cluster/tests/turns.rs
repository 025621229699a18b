//! Requests of a whole fleet at once hold up nothing else.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use pinerill_cluster::turns::{RequestLimiter, MAX_REQUESTS_PER_TURN};
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::yield_now;

/// Requests that are worked on between two turns of another task at most, if so many come at
/// once.
fn most_between_two_turns(requests: usize, in_turn: bool) -> usize {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    let worked = Arc::new(AtomicUsize::new(0));
    let (news, heard) = watch::channel(false);
    let turns = Arc::new(RequestLimiter::default());
    runtime.block_on(async {
        for _ in 0..requests {
            let (turns, worked, mut heard) = (turns.clone(), worked.clone(), heard.clone());
            tokio::spawn(async move {
                heard.changed().await.expect("news");
                let _turn = match in_turn {
                    true => turns.acquire().await,
                    false => None,
                };
                worked.fetch_add(1, Ordering::Relaxed);
            });
        }
        let heartbeat = tokio::spawn(async move {
            let mut before = 0;
            let mut most = 0;
            while before < requests {
                yield_now().await;
                let now = worked.load(Ordering::Relaxed);
                most = most.max(now - before);
                before = now;
            }
            most
        });
        yield_now().await;
        news.send(true).expect("requests wait");
        heartbeat.await.expect("it ends")
    })
}

#[test]
fn whatever_the_size_of_the_fleet_few_requests_go_before_another_task() {
    for requests in [100, 1_000, 2_000, 4_000] {
        let most = most_between_two_turns(requests, true);
        assert!(most <= 2 * MAX_REQUESTS_PER_TURN, "{most} of {requests}");
    }
}

/// Why there are turns: without them a heartbeat waits behind all requests.
#[test]
fn without_turns_all_of_them_go_first() {
    let most = most_between_two_turns(1_000, false);
    assert!(most >= 900, "{most} of 1,000");
}
