//! Broadcasts this node's queue and its tenants' use of slots and, if it is a relay, the use in its
//! zone, while calls wait and slots are shared among tenants.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::broadcast::Sequence;
use super::message::PeerMessage;
use crate::dispatch::report_pace::{Occasion, ReportPace, MIN_PAUSE_MS};
use crate::node::Node;

/// Interval between two checks whether a report is due without a notification.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two reports of a zone's tenants to other zones.
const ZONE_PAUSE: Duration = Duration::from_millis(250);

/// Broadcasts this node's queue to the zone whenever a report is due.
pub(crate) async fn broadcast_queue(node: Arc<Node>) {
    let mut sequence = Sequence::new();
    let mut pace = ReportPace::default();
    loop {
        // Continues when a call begins to wait or at the next check.
        let _ = timeout(CHECK_INTERVAL, node.dispatcher.queue_changed.notified()).await;
        if node.shares_slots() {
            report_if_due(&node, &mut pace, &mut sequence);
            sleep(Duration::from_millis(MIN_PAUSE_MS)).await;
        }
    }
}

fn report_if_due(node: &Arc<Node>, pace: &mut ReportPace, sequence: &mut Sequence) {
    let now_ms = node.now_ms();
    let dispatcher = &node.dispatcher;
    let calls_wait = dispatcher.waiting() > 0;
    let peers_wait = dispatcher.peers_have_waiting_calls(now_ms);
    if !calls_wait && !peers_wait && pace.is_idle() {
        return;
    }
    let report = dispatcher.queue_report(node);
    let occasion = Occasion {
        calls_wait,
        uses_slots_wanted_elsewhere: peers_wait && dispatcher.any_slot_in_use(),
        heads: report.services.iter().filter_map(|queue| queue.head),
    };
    if pace.is_due(now_ms, occasion) {
        node.peers.broadcast_to_zone(&PeerMessage::Queue {
            order: sequence.next(),
            report,
        });
    }
}

/// Sends the use of slots by tenants in this zone to relays of other zones, while this node is a
/// relay and calls wait in its zone.
pub(crate) async fn broadcast_zone_tenants(node: Arc<Node>) {
    let mut sequence = Sequence::new();
    loop {
        sleep(ZONE_PAUSE).await;
        if !node.shares_slots() || !node.has_waiting_calls() {
            continue;
        }
        let Some(relays) = node.peers.target_relays() else {
            continue;
        };
        let message = PeerMessage::ZoneTenants {
            order: sequence.next(),
            zone: node.settings.zone.clone(),
            tenants: node.dispatcher.zone_tenants(node.now_ms()),
        };
        node.peers.send_to_other_zones(&message, relays);
    }
}
