//! Borrows permits from the leader for requests to cold workers, which have started recently and
//! accept only a limited request rate.
//!
//! [`crate::fleet`] knows which workers are cold and where requests may go. The task in this module
//! borrows permits while there are such workers and calls that could use them.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::message::{CallsRequest, CallsResponse, ColdWorker, SlowStartRequest};
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::node::Node;

/// Timeout of a borrow request. A permit is valid only for this long, counted from the request.
const BORROW_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two borrow requests.
const BORROW_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two checks for cold workers if there is no notification.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of workers in one borrow request. Permits expire quickly, and a permit that this
/// node does not use is not available to other nodes.
const MAX_WORKERS_PER_REQUEST: usize = 8;

/// Demand for permits at this node.
#[derive(Default)]
pub(crate) struct SlowStartDemand {
    /// Number of calls that arrived since the last borrow request.
    calls: AtomicU32,
    /// Notified when workers may have become cold.
    cold_workers_changed: Notify,
}

impl SlowStartDemand {
    /// Counts a call that needs a slot.
    pub(crate) fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Wakes the borrowing task because workers may have become cold.
    pub(crate) fn notify_cold_workers(&self) {
        self.cold_workers_changed.notify_one();
    }
}

/// Borrows permits until the node stops.
pub(crate) async fn borrow(node: Arc<Node>) {
    let demand = &node.slow_starts;
    loop {
        let cold = node.with_fleet(|fleet, now_ms| fleet.cold_workers(now_ms));
        if cold.is_empty() {
            // Wakes up on a notification or after the check interval.
            let _ = timeout(IDLE_CHECK_INTERVAL, demand.cold_workers_changed.notified()).await;
            continue;
        }
        let new_calls = demand.calls.swap(0, Ordering::Relaxed) as usize;
        let calls = (new_calls + node.dispatcher.waiting()).min(MAX_WORKERS_PER_REQUEST);
        if calls > 0 {
            let chosen = cold.choose_multiple(&mut rand::thread_rng(), calls);
            borrow_permits(&node, chosen.cloned().collect()).await;
        }
        sleep(BORROW_INTERVAL).await;
    }
}

async fn borrow_permits(node: &Node, workers: Vec<ColdWorker>) {
    let count = workers.len();
    let request = CallsRequest::BorrowSlowStarts(SlowStartRequest {
        node: node.incarnation.clone(),
        workers,
    });
    let sent_ms = node.now_ms();
    match node
        .cluster
        .call(&request, BORROW_TIMEOUT, Duration::ZERO)
        .await
    {
        Ok(reply) => {
            if let CallsResponse::SlowStarts(permits) = reply.response {
                node.metrics.slow_starts.inc_by(permits.len() as u64);
                node.with_fleet(|fleet, _| fleet.add_permits(sent_ms, &permits));
                node.dispatcher.changed.notify_one();
            }
        }
        Err(failure) => log::info!(
            event = "slow_starts_not_borrowed", workers = count,
            reason = failure.message.as_str(); ""
        ),
    }
}
