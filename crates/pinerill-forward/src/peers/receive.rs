//! Receives the messages of other nodes and applies them to this node's state.

use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_calls::encoding::{decode_as, Format};

use super::crashes::NewsSource;
use super::message::{PeerMessage, DATAGRAM_BYTES};
use crate::fleet::{ReportOrder, WorkerCount};
use crate::node::Node;

/// Receives and applies messages of other nodes until this node ends. Ignores senders that are
/// neither a node of the zone, a relay of another zone nor a bridge to another cell.
pub(crate) async fn receive(node: Arc<Node>) {
    let mut datagram = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = node.peers.socket.recv_from(&mut datagram).await else {
            continue;
        };
        let (from_zone, from_relay) = (
            node.peers.is_zone_peer(from),
            node.peers.is_remote_relay(from),
        );
        let from_bridge = node.peers.is_bridge(from);
        if !from_zone && !from_relay && !from_bridge {
            continue;
        }
        let source = NewsSource {
            is_zone_peer: from_zone,
            is_bridge: from_bridge,
        };
        match decode_as::<PeerMessage>(Format::DATAGRAMS, &datagram[..length]) {
            Ok(message @ (PeerMessage::ZoneInFlight { .. } | PeerMessage::ZoneTenants { .. }))
                if from_relay =>
            {
                node.peers.broadcast_to_zone(&message);
                apply(&node, from, message);
            }
            Ok(PeerMessage::Crashes(reports)) => {
                let changed = node.merge_crash_reports(&reports);
                node.peers.forward_crashes(source, &changed);
            }
            Ok(PeerMessage::PartCrashes(reports)) => {
                let changed = node.merge_part_reports(&reports);
                node.peers.forward_crashes(source, &changed);
            }
            Ok(PeerMessage::Trials(notices)) => {
                let received = node.record_trials(&notices);
                node.peers.forward_crashes(source, &received.new);
                node.peers.send_trials(from, from_zone, received.later);
            }
            Ok(PeerMessage::StreamOrigin(record)) if from_zone || from_relay => {
                node.keep_origin(&record);
            }
            Ok(message) if from_zone => apply(&node, from, message),
            // The message is of another version, or only nodes of the zone may send it.
            Ok(_) | Err(_) => node.metrics.peer_messages_dropped.inc(),
        }
    }
}

fn apply(node: &Arc<Node>, from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::PromptSent { worker, prefill_ms } => node.with_fleet(|fleet, now_ms| {
            fleet.expect_prefill_at(now_ms, worker, prefill_ms);
        }),
        PeerMessage::InFlight {
            order,
            counts,
            demand,
        } => {
            let taken = node
                .with_fleet(|fleet, now_ms| fleet.record_peer_counts(now_ms, from, order, counts));
            if taken {
                node.dispatcher
                    .record_peer_demand(node.now_ms(), from, demand);
                wake_dispatcher(node);
                node.peers.zone_changed.notify_one();
            }
        }
        PeerMessage::ZoneInFlight {
            order,
            zone,
            counts,
        } => apply_zone_counts(node, &zone, order, counts),
        PeerMessage::NoAnswer { worker } => {
            node.with_fleet(|fleet, now_ms| fleet.record_suspicion(now_ms, from, worker));
        }
        PeerMessage::Broke { worker } => {
            node.with_fleet(|fleet, now_ms| fleet.record_peer_connection_loss(now_ms, worker));
        }
        // Handled in `receive`, since relays of other zones or bridges send these too.
        PeerMessage::Crashes(_)
        | PeerMessage::PartCrashes(_)
        | PeerMessage::Trials(_)
        | PeerMessage::StreamOrigin(_) => {}
        PeerMessage::OriginForRelays(record) => {
            node.keep_origin(&record);
            node.peers.forward_origin(&record);
        }
        PeerMessage::OriginQuery(query) => node.answer_origin_query(from, &query),
        PeerMessage::OriginReply(reply) => node.take_origin_reply(&reply),
        PeerMessage::Queue { order, report } => {
            let now_ms = node.now_ms();
            node.dispatcher
                .record_queue_report(now_ms, from, order, report);
        }
        PeerMessage::ZoneTenants {
            order,
            zone,
            tenants,
        } => {
            if zone != node.settings.zone {
                let now_ms = node.now_ms();
                node.dispatcher
                    .record_zone_tenants(now_ms, &zone, order, tenants);
            }
        }
        PeerMessage::Paces { order, paces } => {
            node.with_fleet(|fleet, now_ms| {
                fleet.record_peer_paces(now_ms, from, order, &paces);
            });
        }
        // Not in use.
        PeerMessage::Returning(_) => {}
        // Nothing else is needed if no call waits any more: the promising node counts the slot as
        // free again once the promise expires.
        PeerMessage::SlotFree { worker } => {
            node.dispatcher.grant_promised_slot(node, worker);
        }
    }
}

fn apply_zone_counts(node: &Arc<Node>, zone: &str, order: ReportOrder, counts: Vec<WorkerCount>) {
    if zone == node.settings.zone {
        return;
    }
    let taken =
        node.with_fleet(|fleet, now_ms| fleet.record_zone_counts(now_ms, zone, order, counts));
    if taken {
        wake_dispatcher(node);
    }
}

/// Wakes the dispatcher if calls wait here, for which there may be a slot now, or at other nodes,
/// for which items of this node can yield their slots.
fn wake_dispatcher(node: &Node) {
    if node.dispatcher.waiting() > 0 || node.dispatcher.peers_have_waiting_calls(node.now_ms()) {
        node.dispatcher.changed.notify_one();
    }
}
