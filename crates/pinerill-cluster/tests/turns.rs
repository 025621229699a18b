//! Guards against requests of a whole fleet that arrive at once and delay other tasks.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use pinerill_cluster::turns::{RequestLimiter, MAX_REQUESTS_PER_TURN};
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::yield_now;

/// Returns the largest number of requests that run between two turns of another task if
/// `requests` of them arrive at once.
fn max_requests_between_turns(requests: usize, is_limited: bool) -> usize {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    let processed = Arc::new(AtomicUsize::new(0));
    let (trigger, triggered) = watch::channel(false);
    let limiter = Arc::new(RequestLimiter::default());
    runtime.block_on(async {
        for _ in 0..requests {
            let (limiter, processed, mut triggered) =
                (limiter.clone(), processed.clone(), triggered.clone());
            tokio::spawn(async move {
                triggered.changed().await.expect("news");
                let _permit = match is_limited {
                    true => limiter.acquire().await,
                    false => None,
                };
                processed.fetch_add(1, Ordering::Relaxed);
            });
        }
        let heartbeat = tokio::spawn(async move {
            let mut before = 0;
            let mut most = 0;
            while before < requests {
                yield_now().await;
                let now = processed.load(Ordering::Relaxed);
                most = most.max(now - before);
                before = now;
            }
            most
        });
        yield_now().await;
        trigger.send(true).expect("requests wait for the trigger");
        heartbeat.await.expect("the heartbeat task ends")
    })
}

#[test]
fn few_requests_run_before_another_task_at_any_fleet_size() {
    for requests in [100, 1_000, 2_000, 4_000] {
        let most = max_requests_between_turns(requests, true);
        assert!(most <= 2 * MAX_REQUESTS_PER_TURN, "{most} of {requests}");
    }
}

/// Shows why the limiter is needed: without it, a heartbeat waits behind all requests.
#[test]
fn without_the_limiter_all_requests_run_before_another_task() {
    let most = max_requests_between_turns(1_000, false);
    assert!(most >= 900, "{most} of 1,000");
}
