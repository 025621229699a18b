//! Takes in what other nodes tell.

use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_calls::message::decode;

use super::message::{PeerMessage, DATAGRAM_BYTES};
use crate::fleet::{TellingOrder, WorkerCount};
use crate::node::Node;

/// Takes in what the others tell until the node ends.
pub(crate) async fn receive(node: Arc<Node>) {
    let mut datagram = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = node.peers.socket.recv_from(&mut datagram).await else {
            continue;
        };
        let (near, far) = (node.peers.is_near(from), node.peers.is_far_relay(from));
        let bridge = node.peers.is_bridge(from);
        if !near && !far && !bridge {
            continue;
        }
        match decode::<PeerMessage>(&datagram[..length]) {
            Ok(message @ PeerMessage::ZoneInFlight { .. }) if far => {
                node.peers.send_near(&message);
                take_in(&node, from, message);
            }
            Ok(PeerMessage::Crashes(reports)) => {
                let news = node.take_crashes(&reports);
                if near || bridge {
                    node.peers.hand_crashes_on(&news);
                }
                if !near {
                    node.peers.tell_crashes_near(&news);
                }
                node.peers.hand_crashes_to_cells(&news);
            }
            Ok(message) if near => take_in(&node, from, message),
            // A message of another version, or one that only nodes of the zone may send.
            Ok(_) | Err(_) => node.metrics.peer_messages_dropped.inc(),
        }
    }
}

fn take_in(node: &Arc<Node>, from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::PromptSent { worker, prefill_ms } => node.with_fleet(|fleet, now_ms| {
            fleet.expect_prefill_at(now_ms, worker, prefill_ms);
        }),
        PeerMessage::InFlight {
            order,
            counts,
            demand,
        } => {
            let taken =
                node.with_fleet(|fleet, now_ms| fleet.take_peer(now_ms, from, order, counts));
            if taken {
                node.dispatcher
                    .record_peer_demand(node.now_ms(), from, demand);
                look_again(node);
                node.peers.zone_changed.notify_one();
            }
        }
        PeerMessage::ZoneInFlight {
            order,
            zone,
            counts,
        } => take_zone(node, &zone, order, counts),
        PeerMessage::NoAnswer { worker } => {
            node.with_fleet(|fleet, now_ms| fleet.suspect(now_ms, from, worker));
        }
        PeerMessage::Broke { worker } => {
            node.with_fleet(|fleet, now_ms| fleet.broke_for_others(now_ms, worker));
        }
        // Taken in before, since it also comes from relays of other zones.
        PeerMessage::Crashes(_) => {}
        // A place for which no call waits any more is free again for the node that promised it.
        PeerMessage::PlaceFree { worker } => {
            node.dispatcher.grant_promised_slot(node, worker);
        }
    }
}

fn take_zone(node: &Arc<Node>, zone: &str, order: TellingOrder, counts: Vec<WorkerCount>) {
    if zone == node.settings.zone {
        return;
    }
    let taken = node.with_fleet(|fleet, now_ms| fleet.take_zone(now_ms, zone, order, counts));
    if taken {
        look_again(node);
    }
}

/// There may be room for calls that wait here, or items here that can help others.
fn look_again(node: &Node) {
    if node.dispatcher.waiting() > 0 || node.dispatcher.peers_have_waiting_calls(node.now_ms()) {
        node.dispatcher.changed.notify_one();
    }
}
