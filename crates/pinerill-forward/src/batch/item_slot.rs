//! Waits for a slot at a worker that may run or continue an item.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::directory::WorkerId;
use pinerill_process::clock::BootTime;
use tokio::time::sleep;

use super::held::HeldLeases;
use super::item::SLOT_RETRY_INTERVAL;
use super::running::ActiveItem;
use super::stall::StallCause;
use crate::fleet::{ItemTime, PlacementRequest};
use crate::node::{Node, OccupiedSlot};

/// Time after which an item that has no events yet and finds no free slot is released:
/// another zone may have free slots.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits for a worker with a free slot while the lease is confirmed and no calls of the item's service
/// wait. Returns None after `SLOT_WAIT_TIMEOUT` if no event of the item has arrived. Otherwise returns
/// None once the item has stalled: it begins again, at whichever service and node it is leased to next.
pub(super) async fn wait_for_slot(
    node: &Arc<Node>,
    held: &HeldLeases,
    running: &mut ActiveItem,
) -> Option<OccupiedSlot> {
    let began = BootTime::now();
    let _waiting = held.count_waiting(&running.service);
    while running.last_event.is_some() || began.elapsed() < SLOT_WAIT_TIMEOUT {
        if is_software_gone(node, running) {
            running.begin_again("no worker has the software version of its text");
        }
        let cause = stall_cause(node, held, running);
        if has_stalled(node, running, cause) {
            running.begin_again("no worker has continued it for too long");
            return None;
        }
        if cause == StallCause::Workers {
            let wanted = placement(running, &running.avoid);
            if let Some(chosen) = node.choose_for_item(&wanted, item_time(node, running)) {
                return Some(node.occupy_slot(&chosen, &running.prompt));
            }
        }
        running.avoid.clear();
        sleep(SLOT_RETRY_INTERVAL).await;
    }
    None
}

/// Returns whether workers of the service are left, but none that may continue the item's text.
fn is_software_gone(node: &Node, running: &ActiveItem) -> bool {
    node.with_fleet(|fleet, _| fleet.lacks_software(&running.service, running.software))
}

/// Returns what the item waits for if it finds no slot now. Calls matter only where workers exist: those
/// of a service without workers may come for ever.
fn stall_cause(node: &Node, held: &HeldLeases, running: &ActiveItem) -> StallCause {
    if !held.is_renewed() {
        return StallCause::GivesWay;
    }
    if !node.with_fleet(|fleet, _| fleet.has_permitted_worker(&placement(running, &[]))) {
        return StallCause::NoWorker;
    }
    match node.has_waiting_calls_of(&running.service) {
        true => StallCause::GivesWay,
        false => StallCause::Workers,
    }
}

fn has_stalled(node: &Node, running: &mut ActiveItem, cause: StallCause) -> bool {
    let (last_event, time_run) = (running.last_event, running.time_run);
    running
        .stall
        .observe(node.now_ms(), last_event, cause, time_run)
}

fn placement<'a>(running: &'a ActiveItem, except: &'a [WorkerId]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &running.service,
        prompt: &running.prompt,
        except,
        software: running.software,
        runs_once: false,
        homes: &running.homes,
    }
}

/// Returns the remaining run time of an item and the time until it is due; `None` before a first item
/// has completed on this node.
fn item_time(node: &Node, running: &ActiveItem) -> Option<ItemTime> {
    let whole_ms = Some(node.runs.longest_run_ms()).filter(|ms| *ms > 0)? as f64;
    let ran_ms = running.time_run.as_secs_f64() * 1_000.0;
    Some(ItemTime {
        remaining_ms: (whole_ms - ran_ms).max(0.0),
        until_due_ms: running.due_ms as f64 - node.now_ms() as f64,
    })
}
