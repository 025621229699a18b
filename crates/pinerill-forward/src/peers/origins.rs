//! Sends origins of streams to the nodes that are asked for them, and the questions.
//!
//! A record goes to a few nodes of the zone, selected by a hash of the stream, and, if several
//! versions are listed, through a relay to a relay of each other zone, since callers may continue
//! their streams in other zones. A question goes to the nodes of the zone that come first by the
//! same hash, and to the relays of the zone, which keep the records of other zones.

use std::net::SocketAddr;

use super::message::PeerMessage;
use super::Peers;
use crate::fleet::hash_with_node;
use crate::resumption::origins::{OriginRecord, StreamKey};
use crate::resumption::{OriginQuery, OriginReply};

/// Number of other nodes of the zone that keep a record, in addition to the node that served the
/// stream. The record is lost only if all of them end at the same time.
const HOLDERS: usize = 3;
/// Number of nodes of the zone that are asked: the holders and, if it comes before one of them by
/// the hash, the node that served the stream.
const ASKED_HOLDERS: usize = HOLDERS + 1;

impl Peers {
    /// Sends a record to the nodes that keep it. `crosses_zones` says whether other zones need it.
    pub(crate) fn share_origin(&self, record: &OriginRecord, crosses_zones: bool) {
        let zone_peers = self.zone_peers();
        let holders = first_by_hash(record.stream, zone_peers, HOLDERS);
        self.send_in_zone(&PeerMessage::StreamOrigin(*record), holders);
        if !crosses_zones {
            return;
        }
        if self.target_relays().is_some() {
            self.forward_origin(record);
            return;
        }
        let relay = first_by_hash(record.stream, self.own_relays(), 1);
        self.send_in_zone(&PeerMessage::OriginForRelays(*record), relay);
    }

    /// Sends a record to a relay of each other zone, if this node is a relay.
    pub(super) fn forward_origin(&self, record: &OriginRecord) {
        if let Some(relays) = self.target_relays() {
            self.send_to_other_zones(&PeerMessage::StreamOrigin(*record), relays);
        }
    }

    /// Sends a question to the nodes that may have the record, and returns their number.
    pub(crate) fn ask_for_origin(&self, query: &OriginQuery) -> usize {
        let zone_peers = self.zone_peers();
        let mut asked = match query.stream {
            Some(stream) => first_by_hash(stream, zone_peers, ASKED_HOLDERS),
            None => zone_peers.into_iter().take(ASKED_HOLDERS).collect(),
        };
        for relay in self.own_relays() {
            if !asked.contains(&relay) {
                asked.push(relay);
            }
        }
        self.send_in_zone(
            &PeerMessage::OriginQuery(query.clone()),
            asked.iter().copied(),
        );
        asked.len()
    }

    /// Answers a question of a node of this zone.
    pub(crate) fn reply_to_origin_query(&self, to: SocketAddr, reply: OriginReply) {
        self.send_in_zone(&PeerMessage::OriginReply(reply), [to]);
    }
}

/// Returns up to `count` of the addresses, those with the smallest hashes with the stream. The
/// others keep their order if one is added or removed.
fn first_by_hash(
    stream: StreamKey,
    mut addresses: Vec<SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    addresses.sort_unstable_by_key(|address| hash_with_node(stream.short(), *address));
    addresses.truncate(count);
    addresses
}
