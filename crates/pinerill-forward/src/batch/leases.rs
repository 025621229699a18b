//! Leases items from the leader and renews the leases of items that this node runs.
//!
//! Started by `run`. One long-polling request at a time both renews the held leases and asks
//! for more items.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::message::{
    CallsRequest, CallsResponse, Format, LeaseRequest, LeaseResponse, ServiceCapacity,
};
use pinerill_process::clock::BootTime;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use super::held::HeldLeases;
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
/// Time since the last renewal after which a request is not given up for a later one, so that items
/// that end in quick succession do not keep the leases from being renewed.
const MAX_UNRENEWED_TIME: Duration = Duration::from_millis(600);

/// Leases and runs items until the node is stopping and holds no more of them.
pub(crate) async fn run(node: Arc<Node>) {
    let (reporter, reported) = mpsc::unbounded_channel();
    let held = Arc::new(HeldLeases::default());
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
        // Later than any request that is still held open.
        number: u64::MAX,
        ..LeaseRequest::default()
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
    let mut number = 0;
    // Whether the leader knows the numbers of requests, so that one may be given up for a later one.
    let mut are_numbers_known = false;
    while !(node.stopping.is_cancelled() && held.is_empty()) {
        let started = BootTime::now();
        let poll_time = match held.is_empty() {
            true => IDLE_LONG_POLL_TIME,
            false => LONG_POLL_TIME,
        };
        number += 1;
        let capacities = startable_items(&node, &held);
        let returned = held.returned();
        let request = CallsRequest::LeaseItems(LeaseRequest {
            node: node.incarnation.clone(),
            zone: node.settings.zone.clone(),
            held: held.items(),
            want: items_wanted(&capacities),
            run_ms: expected_run_ms(&node),
            wait_ms: poll_time.as_millis() as u64,
            services: Some(capacities.clone()),
            returned: returned.clone(),
            number,
        });
        let may_be_given_up = are_numbers_known && held.is_renewed_within(MAX_UNRENEWED_TIME);
        let calling = node
            .cluster
            .call(&request, REQUEST_TIMEOUT + poll_time, poll_time);
        let answer = tokio::select! {
            answer = calling => answer,
            () = wait_for_capacity(&node, &held, &capacities), if may_be_given_up => {
                sleep(MIN_REQUEST_INTERVAL).await;
                continue;
            }
        };
        match answer {
            Ok(answered) => {
                are_numbers_known = answered.format >= Format::SERVICE_CAPACITIES;
                held.forget_returned(&returned);
                if let CallsResponse::Leases(leases) = answered.response {
                    held.mark_renewed(started);
                    node.runs.set_backlog_slack(leases.backlog_slack_ms);
                    apply_leases(&node, &held, &reporter, leases);
                }
                sleep(MIN_REQUEST_INTERVAL).await;
            }
            Err(_) => sleep(FAILED_REQUEST_DELAY).await,
        }
    }
}

/// Waits until items of a service that a request does not state can be started, since another item
/// has ended.
async fn wait_for_capacity(node: &Node, held: &HeldLeases, stated: &[ServiceCapacity]) {
    let is_stated =
        |capacity: &ServiceCapacity| stated.iter().any(|one| one.service == capacity.service);
    loop {
        held.changed.notified().await;
        if !startable_items(node, held).iter().all(is_stated) {
            return;
        }
    }
}

/// Returns the run time that an item rarely exceeds at the workers with free slots for items, in
/// milliseconds; 0 if unknown.
fn expected_run_ms(node: &Node) -> u64 {
    let pace = node.with_fleet(|fleet, now_ms| fleet.batch_pace(now_ms));
    (node.runs.longest_run_ms() as f64 * pace) as u64
}

/// Returns how many items of each service the node can start now, beside those that wait for a slot
/// here. None while it is stopping or has no route table, and none of services whose calls wait.
fn startable_items(node: &Node, held: &HeldLeases) -> Vec<ServiceCapacity> {
    if node.stopping.is_cancelled() || node.table().is_none() {
        return Vec::new();
    }
    let nodes = node.known_state.cell_nodes.load(Ordering::Relaxed).max(1);
    let mut capacities = node.batch_capacities(nodes);
    capacities.retain_mut(|capacity| {
        let waiting = held.waiting(&capacity.service);
        capacity.items = capacity.items.saturating_sub(waiting);
        capacity.items > 0 && !node.has_waiting_calls_of(&capacity.service)
    });
    capacities
}

/// Returns the number of items to request.
fn items_wanted(capacities: &[ServiceCapacity]) -> u32 {
    let items = capacities.iter().map(|capacity| capacity.items);
    items.sum::<u32>().min(MAX_ITEMS_PER_RESPONSE)
}

/// Aborts the items that the leader wants stopped and starts the newly leased ones.
fn apply_leases(
    node: &Arc<Node>,
    held: &Arc<HeldLeases>,
    reporter: &reports::ReportSender,
    leases: LeaseResponse,
) {
    for item in &leases.stop {
        if held.stop(item) {
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
        held.insert(reference, AbortOnDropHandle::new(tokio::spawn(running)));
    }
}
