//! Exchange of load and demand between nodes by datagrams.
//!
//! A worker's load report comes with an answer, so it is old and many nodes have none; and it
//! counts requests, not tokens. Therefore each node broadcasts to the nodes of its zone how many
//! requests it has in flight at each worker and how many calls wait in its queue, whenever that
//! changes, and each prompt with a long prefill.
//!
//! Nodes of other zones are not sent this one by one: that traffic would grow with the square of
//! the fleet, and traffic between zones is expensive. The leader appoints a few relays in each
//! zone. Each relay sums up what its zone has in flight and sends it to one relay of each other
//! zone, which forwards it to its own zone. The relays of a zone use different paths, so that a
//! relay that crashes, freezes or is partitioned only slows the updates down until the leader
//! appoints another.
//!
//! | from | to | what | how often |
//! |---|---|---|---|
//! | node | nodes of its zone | requests in flight, waiting calls ([`message::PeerMessage::InFlight`]) | at each change, at a rate that falls with the number of nodes |
//! | node | nodes of its zone | long prompts, workers that did not answer or closed a connection | each |
//! | node | one node of its zone | a slot that became free | while calls wait at that node |
//! | node | some nodes of its zone, relays | origins of streams, questions about them ([`origins`]) | each |
//! | node | nodes of its zone | paces of workers that it has observed anew ([`paces`]) | once a second |
//! | relay | one relay of each other zone, and from there all its nodes | requests in flight in the zone | every [`broadcast::PAUSE_PER_ZONE`] times the number of other zones, while they change |
//! | node | nodes of its zone | queue, and slots that tenants use ([`message::PeerMessage::Queue`]) | every 50 ms while calls wait, if slots are shared among tenants |
//! | relay | one relay of each other zone, and from there all its nodes | slots that tenants use in the zone | every 250 ms while calls wait in the zone, if slots are shared among tenants |
//! | node | nodes of its zone and, through relays and bridges, all others | crashes of workers under requests ([`crashes`]) | each, and again for some seconds |
//!
//! Zones are those of the node's cell ([`pinerill_calls::cells`]). Messages for all nodes are
//! forwarded to bridge nodes of some other cells, and from there to further cells.
//!
//! A lost datagram can cause a worse choice of a worker and nothing else.

mod broadcast;
mod crashes;
mod message;
mod origins;
mod paces;
mod queue_reports;
mod receive;

use std::io;
use std::net::SocketAddr;

use parking_lot::RwLock;
use pinerill_calls::encoding::{encode_as, Format};
use pinerill_calls::message::Processes;
use pinerill_calls::traffic::{Reach, Traffic};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use self::message::PeerMessage;
use crate::fleet::WorkerKey;

pub(crate) use broadcast::{broadcast_counts, broadcast_zone_counts, promise_time};
pub(crate) use crashes::resend_crash_reports;
pub(crate) use paces::broadcast_paces;
pub(crate) use queue_reports::{broadcast_queue, broadcast_zone_tenants};
pub(crate) use receive::receive;

/// Shortest expected prefill time for which a prompt is broadcast, milliseconds.
const MIN_BROADCAST_PREFILL_MS: f64 = 10.0;

/// Addresses of the other nodes.
#[derive(Debug, Default)]
struct Addresses {
    /// All nodes of this zone except this node.
    zone_peers: Vec<SocketAddr>,
    /// Relays of each other zone, in the same order at all nodes.
    remote_relays: Vec<Vec<SocketAddr>>,
    /// Index of this node among the relays of its zone; `None` if it is not a relay.
    relay_index: Option<usize>,
    /// Relays of this zone except this node.
    own_relays: Vec<SocketAddr>,
    /// Nodes of other cells to which this node is a bridge; empty if it is not a bridge.
    bridges: Vec<SocketAddr>,
}

/// Socket and addresses for messages to other nodes.
pub(crate) struct Peers {
    socket: UdpSocket,
    addresses: RwLock<Addresses>,
    /// Signals that requests in flight or waiting calls of this node have changed.
    changed: Notify,
    /// Signals that requests in flight in this zone have changed.
    zone_changed: Notify,
    /// Counts the datagrams and bytes sent.
    traffic: Traffic,
}

impl Peers {
    /// Binds the socket for messages of other nodes.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub(crate) async fn listen(address: SocketAddr) -> io::Result<Self> {
        Ok(Peers {
            socket: UdpSocket::bind(address).await?,
            addresses: RwLock::default(),
            changed: Notify::new(),
            zone_changed: Notify::new(),
            traffic: Traffic::default(),
        })
    }

    /// Replaces the addresses of the other nodes. `zone` is the zone of this node.
    pub(crate) fn update_addresses(&self, zone: &str, processes: &Processes) {
        let own = self.socket.local_addr().ok();
        let mut zone_peers = processes.peers.clone();
        zone_peers.retain(|address| Some(*address) != own);
        let relays = &processes.relays;
        let own_relays = relays.iter().find(|one| one.zone == zone);
        let relay_index = own_relays.and_then(|one| {
            let mut relay_addresses = one.addresses.iter();
            relay_addresses.position(|address| Some(*address) == own)
        });
        let mut own_relays = own_relays.map_or_else(Vec::new, |one| one.addresses.clone());
        own_relays.retain(|address| Some(*address) != own);
        let remote = relays.iter().filter(|one| one.zone != zone);
        *self.addresses.write() = Addresses {
            zone_peers,
            remote_relays: remote.map(|one| one.addresses.clone()).collect(),
            relay_index,
            own_relays,
            bridges: processes.bridges.clone(),
        };
    }

    /// Signals that requests in flight or waiting calls of this node have changed, so that they are
    /// broadcast.
    pub(crate) fn notify_changed(&self) {
        self.changed.notify_one();
        self.zone_changed.notify_one();
    }

    /// Broadcasts to the zone that a prompt was sent to a worker, unless its expected prefill time
    /// is short. The time is in milliseconds.
    pub(crate) fn broadcast_prompt(&self, worker: &str, prefill_ms: f64) {
        if prefill_ms < MIN_BROADCAST_PREFILL_MS {
            return;
        }
        self.broadcast_to_zone(&PeerMessage::PromptSent {
            worker: WorkerKey::from_id(worker),
            prefill_ms,
        });
    }

    /// Broadcasts to the zone that a worker did not answer.
    pub(crate) fn broadcast_no_answer(&self, worker: &str) {
        self.broadcast_to_zone(&PeerMessage::NoAnswer {
            worker: WorkerKey::from_id(worker),
        });
    }

    /// Broadcasts to the zone that a worker closed a connection on which it had a request.
    pub(crate) fn broadcast_connection_loss(&self, worker: &str) {
        self.broadcast_to_zone(&PeerMessage::Broke {
            worker: WorkerKey::from_id(worker),
        });
    }

    /// Tells a node of this zone that a free slot at a worker is reserved for it.
    pub(crate) fn send_promise(&self, to: SocketAddr, worker: WorkerKey) {
        self.send(&PeerMessage::SlotFree { worker }, Reach::SameZone, [to]);
    }

    fn broadcast_to_zone(&self, message: &PeerMessage) {
        let zone_peers = &self.addresses.read().zone_peers;
        self.send(message, Reach::SameZone, zone_peers.iter().copied());
    }

    fn send_in_zone(&self, message: &PeerMessage, to: impl IntoIterator<Item = SocketAddr>) {
        self.send(message, Reach::SameZone, to);
    }

    /// Sends a message to nodes of other zones or cells.
    fn send_to_other_zones(&self, message: &PeerMessage, to: Vec<SocketAddr>) {
        self.send(message, Reach::OtherZone, to);
    }

    fn send(&self, message: &PeerMessage, reach: Reach, to: impl IntoIterator<Item = SocketAddr>) {
        let datagram = encode_as(Format::DATAGRAMS, message);
        let mut sent = 0;
        for address in to {
            // The datagram is dropped if the socket's buffer is full, as the network may do too.
            sent += usize::from(self.socket.try_send_to(&datagram, address).is_ok());
        }
        self.traffic
            .record_sent(message.purpose(), reach, sent, datagram.len());
    }

    /// Returns the datagrams and bytes sent, by kind of message.
    pub(crate) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the relays to which this node sends the counts of its zone: of each other zone the
    /// one with the same index, or the last one. `None` if this node is not a relay.
    fn target_relays(&self) -> Option<Vec<SocketAddr>> {
        let addresses = self.addresses.read();
        let index = addresses.relay_index?;
        let remote = addresses.remote_relays.iter();
        let targets = remote.filter_map(|zone| zone.get(index).or(zone.last()).copied());
        Some(targets.collect())
    }

    /// Returns all relays of other zones; `None` if this node is not a relay.
    fn all_remote_relays(&self) -> Option<Vec<SocketAddr>> {
        let addresses = self.addresses.read();
        addresses.relay_index?;
        Some(addresses.remote_relays.concat())
    }

    /// Returns the other relays of this zone.
    fn own_relays(&self) -> Vec<SocketAddr> {
        self.addresses.read().own_relays.clone()
    }

    /// Returns the nodes of other cells to which this node forwards messages for all nodes.
    fn bridges(&self) -> Vec<SocketAddr> {
        self.addresses.read().bridges.clone()
    }

    fn is_bridge(&self, address: SocketAddr) -> bool {
        self.addresses.read().bridges.contains(&address)
    }

    /// Returns the other nodes of this zone.
    fn zone_peers(&self) -> Vec<SocketAddr> {
        self.addresses.read().zone_peers.clone()
    }

    fn zone_peer_count(&self) -> usize {
        self.addresses.read().zone_peers.len()
    }

    fn is_zone_peer(&self, address: SocketAddr) -> bool {
        self.addresses.read().zone_peers.contains(&address)
    }

    fn is_remote_relay(&self, address: SocketAddr) -> bool {
        let addresses = self.addresses.read();
        addresses
            .remote_relays
            .iter()
            .any(|zone| zone.contains(&address))
    }
}
