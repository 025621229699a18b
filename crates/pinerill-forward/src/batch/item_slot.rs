//! Waits for a slot at a worker that may run or continue an item.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::BootTime;
use tokio::time::sleep;

use super::held::HeldLeases;
use super::item::SLOT_RETRY_INTERVAL;
use super::running::ActiveItem;
use crate::fleet::{ItemTime, PlacementRequest};
use crate::node::{Node, OccupiedSlot};

/// Time after which an item that has no events yet and finds no free slot is released:
/// another zone may have free slots.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits for a worker with a free slot while the lease is confirmed and no calls of the item's service
/// wait. Returns None after `SLOT_WAIT_TIMEOUT` if no event of the item has arrived; otherwise keeps waiting.
pub(super) async fn wait_for_slot(
    node: &Arc<Node>,
    held: &HeldLeases,
    running: &mut ActiveItem,
) -> Option<OccupiedSlot> {
    let began = BootTime::now();
    let _waiting = held.count_waiting(&running.service);
    while running.last_event.is_some() || began.elapsed() < SLOT_WAIT_TIMEOUT {
        begin_again_if_software_gone(node, running);
        if held.is_renewed() && !node.has_waiting_calls_of(&running.service) {
            let wanted = PlacementRequest {
                service: &running.service,
                prompt: &running.prompt,
                except: &running.avoid,
                software: running.software,
                runs_once: false,
                homes: &running.homes,
            };
            if let Some(chosen) = node.choose_for_item(&wanted, item_time(node, running)) {
                return Some(node.occupy_slot(&chosen, &running.prompt));
            }
        }
        running.avoid.clear();
        sleep(SLOT_RETRY_INTERVAL).await;
    }
    None
}

/// Makes an item begin again if no worker is left that may continue its text. Its text is not
/// completed by another software version.
fn begin_again_if_software_gone(node: &Node, running: &mut ActiveItem) {
    let lacking =
        node.with_fleet(|fleet, _| fleet.lacks_software(&running.service, running.software));
    if !lacking {
        return;
    }
    log::info!(
        event = "item_begins_again", id = running.leased.id.as_str(), last:? = running.last_event;
        "no worker has the software version of its text"
    );
    running.begin_again();
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
