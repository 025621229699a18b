//! Takes items from the leader and renews what runs.

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

/// How long the leader may hold an answer; leases are renewed at this pace.
const HOLD: Duration = Duration::from_millis(500);
/// The same while nothing is held that could be renewed: items that wait wake a node at once, and
/// all nodes of the fleet ask.
const IDLE_HOLD: Duration = Duration::from_millis(1_000);
/// How long the node asks around.
const ASK_TIME: Duration = Duration::from_millis(1_000);
/// How long the node asks around as it stops.
const GIVE_BACK_TIME: Duration = Duration::from_millis(400);
/// Pause after no control machine answered.
const LOST_PAUSE: Duration = Duration::from_millis(100);
/// Shortest pause between two requests: items that end together are renewed
/// and replaced together.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);
/// Items that one answer brings at most: those that begin together read their
/// prompts together.
const TAKEN_AT_ONCE: u32 = 4;
/// Without a renewal for this long nothing is sent to a worker any more: the
/// job may have been ended, or the item be another node's.
const RENEWAL_LIFE: Duration = Duration::from_millis(1_800);

/// What the node holds.
pub(super) struct Held {
    tasks: Mutex<HashMap<ItemRef, AbortOnDropHandle<()>>>,
    renewed: Mutex<Option<BootTime>>,
    /// Something ended, so that there may be room.
    pub(super) changed: Notify,
}

impl Held {
    /// Whether the leader confirmed what is held a short while ago.
    pub(super) fn is_renewed(&self) -> bool {
        let renewed = *self.renewed.lock();
        renewed.is_some_and(|at| at.elapsed() < RENEWAL_LIFE)
    }

    /// An item's end is recorded.
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

/// Runs items; ends once the node stops and nothing is held any more.
pub(crate) async fn run(node: Arc<Node>) {
    let (reporter, reported) = mpsc::unbounded_channel();
    let held = Arc::new(Held {
        tasks: Mutex::default(),
        renewed: Mutex::new(None),
        changed: Notify::new(),
    });
    let reporting = reports::run(node.clone(), held.clone(), reported);
    let leasing = lease(node, held, reporter);
    tokio::join!(reporting, leasing);
}

/// Tells the leader that nothing is held here any more, so that others need not
/// wait for the leases to run out.
pub(crate) async fn give_back(node: &Node) {
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
        .call(&request, GIVE_BACK_TIME, Duration::ZERO)
        .await
    {
        log::warn!(event = "items_not_given_back", reason = failure.message.as_str(); "");
    }
}

async fn lease(node: Arc<Node>, held: Arc<Held>, reporter: reports::Reporter) {
    while !(node.stopping.is_cancelled() && held.is_empty()) {
        let started = BootTime::now();
        let hold = match held.is_empty() {
            true => IDLE_HOLD,
            false => HOLD,
        };
        let request = CallsRequest::LeaseItems(LeaseRequest {
            node: node.incarnation.clone(),
            zone: node.settings.zone.clone(),
            held: held.items(),
            want: wanted(&node),
            run_ms: node.runs.longest_ms(),
            wait_ms: hold.as_millis() as u64,
        });
        let answer = node.cluster.call(&request, ASK_TIME + hold, hold).await;
        match answer {
            Ok(answered) => {
                if let CallsResponse::Leases(leases) = answered.response {
                    *held.renewed.lock() = Some(started);
                    node.runs.take_backlog(leases.backlog_slack_ms);
                    take_in(&node, &held, &reporter, leases);
                }
                sleep(REQUEST_PAUSE).await;
            }
            Err(_) => sleep(LOST_PAUSE).await,
        }
    }
}

/// Items that the node would take now; none while it stops.
fn wanted(node: &Node) -> u32 {
    if node.stopping.is_cancelled() || node.table().is_none() || node.calls_wait() {
        return 0;
    }
    let nodes = node.known_state.cell_nodes.load(Ordering::Relaxed).max(1);
    node.batch_capacity(nodes).items.min(TAKEN_AT_ONCE)
}

fn take_in(
    node: &Arc<Node>,
    held: &Arc<Held>,
    reporter: &reports::Reporter,
    leases: LeaseResponse,
) {
    let mut tasks = held.tasks.lock();
    for item in &leases.stop {
        // Dropping the task closes its connection to the worker.
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
