//! Leases items from the leader and renews the leases of items that this node runs.
//!
//! Started by `run`. One long-polling request at a time both renews the held leases and asks
//! for more items.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::job::ItemRef;
use pinerill_calls::message::{CallsRequest, CallsResponse, LeaseRequest, LeaseResponse};
use pinerill_process::clock::BootTime;
use tokio::sync::{mpsc, Notify};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use super::{item, reports};
use crate::node::Node;

/// Longest time that the leader may delay a response; also the interval of lease renewals.
const LONG_POLL_TIME: Duration = Duration::from_millis(500);
/// Longest delay of a response while this node holds no leases. It is longer because nothing
/// needs renewal, queued items wake a node at once, and all nodes of the fleet poll.
const IDLE_LONG_POLL_TIME: Duration = Duration::from_millis(1_000);
/// Time to find a control machine that responds, in addition to the long-poll time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit of the request that releases all leases when the node stops.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next request after one that failed.
const FAILED_REQUEST_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay between a response and the next request, so that items that end at about the
/// same time are replaced by one request.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of items leased per response: items that start together process their prompts
/// at the same time.
const MAX_ITEMS_PER_RESPONSE: u32 = 4;
/// Time without a renewal after which no item is sent to a worker: the job may have ended, or
/// the item may be leased to another node.
const RENEWAL_TTL: Duration = Duration::from_millis(1_800);

/// The items leased to this node, with the tasks that run them.
pub(super) struct HeldLeases {
    tasks: Mutex<HashMap<ItemRef, AbortOnDropHandle<()>>>,
    /// Start of the last request whose leases the leader confirmed; None before the first.
    renewed_at: Mutex<Option<BootTime>>,
    /// Notified when an item is released, which may have freed a slot.
    pub(super) changed: Notify,
}

impl HeldLeases {
    /// Returns whether the leader confirmed the leases within `RENEWAL_TTL`.
    pub(super) fn is_renewed(&self) -> bool {
        let renewed_at = *self.renewed_at.lock();
        renewed_at.is_some_and(|at| at.elapsed() < RENEWAL_TTL)
    }

    /// Removes an item and aborts its task: its result is recorded, or it is returned unfinished.
    pub(super) fn release(&self, item: &ItemRef) {
        self.tasks.lock().remove(item);
        self.changed.notify_one();
    }

    fn is_empty(&self) -> bool {
        self.tasks.lock().is_empty()
    }

    fn items(&self) -> Vec<ItemRef> {
        self.tasks.lock().keys().cloned().collect()
    }
}

/// Leases and runs items until the node is stopping and holds no more of them.
pub(crate) async fn run(node: Arc<Node>) {
    let (reporter, reported) = mpsc::unbounded_channel();
    let held = Arc::new(HeldLeases {
        tasks: Mutex::default(),
        renewed_at: Mutex::new(None),
        changed: Notify::new(),
    });
    let reporting = reports::run(node.clone(), held.clone(), reported);
    let leasing = lease_items(node, held, reporter);
    tokio::join!(reporting, leasing);
}

/// Informs the leader that this node holds no leases, so that other nodes can lease its items
/// before the leases expire. A failure is logged and otherwise ignored.
pub(crate) async fn release_all(node: &Node) {
    let request = CallsRequest::LeaseItems(LeaseRequest {
        node: node.incarnation.clone(),
        zone: node.settings.zone.clone(),
        held: Vec::new(),
        want: 0,
        run_ms: 0,
        wait_ms: 0,
    });
    if let Err(failure) = node
        .cluster
        .call(&request, RELEASE_TIMEOUT, Duration::ZERO)
        .await
    {
        log::warn!(event = "items_not_given_back", reason = failure.message.as_str(); "");
    }
}

/// Renews the leases and requests more items until the node is stopping and holds none.
async fn lease_items(node: Arc<Node>, held: Arc<HeldLeases>, reporter: reports::ReportSender) {
    while !(node.stopping.is_cancelled() && held.is_empty()) {
        let started = BootTime::now();
        let poll_time = match held.is_empty() {
            true => IDLE_LONG_POLL_TIME,
            false => LONG_POLL_TIME,
        };
        let request = CallsRequest::LeaseItems(LeaseRequest {
            node: node.incarnation.clone(),
            zone: node.settings.zone.clone(),
            held: held.items(),
            want: items_wanted(&node),
            run_ms: expected_run_ms(&node),
            wait_ms: poll_time.as_millis() as u64,
        });
        let answer = node
            .cluster
            .call(&request, REQUEST_TIMEOUT + poll_time, poll_time)
            .await;
        match answer {
            Ok(answered) => {
                if let CallsResponse::Leases(leases) = answered.response {
                    *held.renewed_at.lock() = Some(started);
                    node.runs.set_backlog_slack(leases.backlog_slack_ms);
                    apply_leases(&node, &held, &reporter, leases);
                }
                sleep(MIN_REQUEST_INTERVAL).await;
            }
            Err(_) => sleep(FAILED_REQUEST_DELAY).await,
        }
    }
}

/// Returns the run time that an item rarely exceeds at the workers with free slots for items, in
/// milliseconds; 0 if unknown.
fn expected_run_ms(node: &Node) -> u64 {
    let pace = node.with_fleet(|fleet, now_ms| fleet.batch_pace(now_ms));
    (node.runs.longest_run_ms() as f64 * pace) as u64
}

/// Returns the number of items to request now; 0 while the node is stopping, has no route table
/// or has calls waiting.
fn items_wanted(node: &Node) -> u32 {
    if node.stopping.is_cancelled() || node.table().is_none() || node.has_waiting_calls() {
        return 0;
    }
    let nodes = node.known_state.cell_nodes.load(Ordering::Relaxed).max(1);
    node.batch_capacity(nodes).items.min(MAX_ITEMS_PER_RESPONSE)
}

/// Aborts the items that the leader wants stopped and starts the newly leased ones.
fn apply_leases(
    node: &Arc<Node>,
    held: &Arc<HeldLeases>,
    reporter: &reports::ReportSender,
    leases: LeaseResponse,
) {
    let mut tasks = held.tasks.lock();
    for item in &leases.stop {
        // Dropping the handle aborts the task and closes its connection to the worker.
        if tasks.remove(item).is_some() {
            log::info!(event = "item_stopped", job:% = item.job, index = item.index; "");
        }
    }
    for leased in leases.leased {
        let reference = leased.item.clone();
        log::info!(
            event = "item_taken", id = leased.id.as_str(), job:% = reference.job,
            index = reference.index, due_in_ms = leased.due_in_ms; ""
        );
        let running = item::run(node.clone(), held.clone(), leased, reporter.clone());
        tasks.insert(reference, AbortOnDropHandle::new(tokio::spawn(running)));
    }
}
