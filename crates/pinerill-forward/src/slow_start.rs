//! Borrows permits for requests to workers that are still cold from the leader.
//!
//! [`crate::fleet`] knows which workers are cold and where requests may go; here one task asks
//! for permits while there are such workers and calls that could use them.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::message::{CallsRequest, CallsResponse, ColdWorker, SlowStartRequest};
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::node::Node;

/// Longest time that one ask takes: a permit holds only for as long from the ask on.
const ASK_TIME: Duration = Duration::from_millis(300);
/// Pause between two asks.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks whether a worker is cold, unless there is news.
const IDLE_LOOK_PAUSE: Duration = Duration::from_millis(1_000);
/// Workers that one ask names at most: a permit holds for a moment, and what this node doesn't
/// use others can't.
const ASKED_AT_ONCE: usize = 8;

/// What is to be asked for.
#[derive(Default)]
pub(crate) struct SlowStartDemand {
    /// Calls that came since the last ask.
    calls: AtomicU32,
    /// Workers may have become cold.
    news: Notify,
}

impl SlowStartDemand {
    /// A call wants a place.
    pub(crate) fn call_came(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Workers may have become cold.
    pub(crate) fn notify_cold_workers(&self) {
        self.news.notify_one();
    }
}

/// Borrows permits until the node ends.
pub(crate) async fn borrow(node: Arc<Node>) {
    let desk = &node.slow_starts;
    loop {
        let cold = node.with_fleet(|fleet, now_ms| fleet.cold_workers(now_ms));
        if cold.is_empty() {
            // Either there is news or it is time to look again.
            let _ = timeout(IDLE_LOOK_PAUSE, desk.news.notified()).await;
            continue;
        }
        let came = desk.calls.swap(0, Ordering::Relaxed) as usize;
        let calls = (came + node.dispatcher.waiting()).min(ASKED_AT_ONCE);
        if calls > 0 {
            let drawn = cold.choose_multiple(&mut rand::thread_rng(), calls);
            ask(&node, drawn.cloned().collect()).await;
        }
        sleep(ASK_PAUSE).await;
    }
}

async fn ask(node: &Node, workers: Vec<ColdWorker>) {
    let asked = workers.len();
    let request = CallsRequest::BorrowSlowStarts(SlowStartRequest {
        node: node.start.clone(),
        workers,
    });
    let asked_ms = node.now_ms();
    match node.cluster.call(&request, ASK_TIME, Duration::ZERO).await {
        Ok(answered) => {
            if let CallsResponse::SlowStarts(lent) = answered.response {
                node.metrics.slow_starts.inc_by(lent.len() as u64);
                node.with_fleet(|fleet, _| fleet.give_permits(asked_ms, &lent));
                node.dispatcher.changed.notify_one();
            }
        }
        Err(failure) => log::info!(
            event = "slow_starts_not_borrowed", workers = asked,
            reason = failure.message.as_str(); ""
        ),
    }
}
