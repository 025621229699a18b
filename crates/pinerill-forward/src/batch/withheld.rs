//! Items that are blocked for crashing workers: they wait for the end of the block, or for a trial run.

use std::time::Duration;

use pinerill_process::clock::BootTime;
use tokio::time::sleep;

use super::running::ActiveItem;
use crate::crash::suspect::Suspect;
use crate::crash::trials::TrialRunner;
use crate::node::Node;

/// Interval between two checks of whether a withheld item may run.
const BLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a slot after which an item that is due for a trial run claims it all the same, so that
/// it is released like others without a slot.
const MAX_SLOTLESS_TIME: Duration = Duration::from_secs(1);

/// Waits until an item that is blocked for crashing workers is no longer blocked or is due for
/// a trial run. The item stays leased to this node until the leader stops it: a crash is not a
/// failure response, so the item may be declared dead only after its due time.
pub(super) async fn withhold(node: &Node, running: &ActiveItem, suspect: Suspect) {
    let _withheld = node.metrics.count_withheld_item();
    log::warn!(
        event = "item_withheld", id = running.leased.id.as_str(),
        request:% = running.identity.fingerprint(), reason:% = suspect,
        attempts = running.attempts, last:? = running.last_event, trials = running.trials; ""
    );
    let since = BootTime::now();
    let mut due_since = None;
    while node.is_blocked(&running.identity) {
        if is_trial_due(node, running) {
            let due_since = *due_since.get_or_insert_with(BootTime::now);
            if has_slot(node, running) || due_since.elapsed() >= MAX_SLOTLESS_TIME {
                break;
            }
        }
        sleep(BLOCK_CHECK_INTERVAL).await;
    }
    log::info!(
        event = "item_goes_on", id = running.leased.id.as_str(), withheld_for:% = suspect,
        is_blocked = node.is_blocked(&running.identity),
        waited_ms = since.elapsed().as_millis() as u64; ""
    );
}

fn is_trial_due(node: &Node, running: &ActiveItem) -> bool {
    let withheld_for = node.withheld_for(TrialRunner::Item, &running.identity);
    withheld_for.is_none()
}

/// Returns whether a worker has a slot for the item that no call waits for.
fn has_slot(node: &Node, running: &ActiveItem) -> bool {
    let service = &running.service;
    !node.has_waiting_calls_of(service)
        && node.with_fleet(|fleet, now_ms| fleet.has_batch_slot(now_ms, service))
}

/// Counts and logs a trial run.
pub(super) fn record_trial(node: &Node, running: &mut ActiveItem, worker: &str) {
    running.trials += 1;
    node.metrics.trial_runs.inc();
    log::warn!(
        event = "trial_begins", id = running.leased.id.as_str(), worker,
        request:% = running.identity.fingerprint(), trials = running.trials; ""
    );
}
