//! Nodes tell each other what they send to workers.
//!
//! A worker's load report comes with an answer, so that it is old and many nodes
//! have none; and it counts requests, not tokens. So each node tells the others, by
//! datagrams, how many requests it has at which worker, whenever that changes, and
//! those of its zone each prompt that takes a while to read. Nodes of other zones
//! are told at a slower pace: they seldom send there, and bytes between zones are
//! dear. A datagram that is lost costs a worse choice and nothing else.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use pinerill_calls::message::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::fleet::{TellingOrder, WorkerCount};
use crate::node::Node;

/// Prompts that take less time are not told, milliseconds.
const TOLD_FROM_MS: f64 = 10.0;
/// Longest datagram.
const DATAGRAM_BYTES: usize = 1_400;
/// Workers that one message tells of at most; what a node has at others is not
/// told.
const COUNTS_TOLD: usize = 60;
/// Shortest pause between two tellings of counts, for each node of the zone that is
/// told: the more there are, the more each has to hear. With 20 nodes and 30 workers
/// a zone, the share of calls in time is 0.88 at 1.2 ms a node and 0.92 at 0.3 ms (means
/// of two days with faults, two seeds each).
const PAUSE_PER_PEER: Duration = Duration::from_micros(300);
/// The same for nodes of other zones: a node sends at most 200 such messages a second,
/// however large the fleet is.
const PAUSE_PER_FAR_PEER: Duration = Duration::from_micros(5_000);
/// Bounds of the pause within a zone.
const SHORTEST_PAUSE: Duration = Duration::from_millis(6);
const LONGEST_PAUSE: Duration = Duration::from_millis(150);
/// From this pause on nothing is told to other zones: what is older than a second
/// and a half counts no more there.
const USELESS_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a change is held back while calls wait here: a place that becomes free is
/// taken again at once by one of them, and a peer that was told of it in between would
/// take it too.
const GATHER_PAUSE: Duration = Duration::from_millis(2);
/// Counts are told again after this time though nothing changed, since a
/// datagram may have been lost.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// What one node tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum PeerMessage {
    /// A prompt was sent to a worker.
    PromptSent {
        /// The worker.
        worker: String,
        /// Time that reading it is expected to take, milliseconds.
        prefill_ms: f64,
    },
    /// All that the node has in flight.
    InFlight {
        /// Which message of the node it is.
        order: TellingOrder,
        /// By worker.
        counts: Vec<WorkerCount>,
    },
}

/// Which other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Those of this zone.
    Near,
    /// Those of other zones.
    Far,
}

/// Other nodes that are told of the same things.
#[derive(Default)]
struct Group {
    addresses: RwLock<Vec<SocketAddr>>,
    /// What is in flight here has changed.
    changed: Notify,
}

/// The other nodes.
pub(crate) struct Peers {
    socket: UdpSocket,
    near: Group,
    far: Group,
}

impl Peers {
    /// Listens for the others.
    ///
    /// # Errors
    /// When the address can't be had.
    pub(crate) async fn listen(address: SocketAddr) -> io::Result<Self> {
        Ok(Peers {
            socket: UdpSocket::bind(address).await?,
            near: Group::default(),
            far: Group::default(),
        })
    }

    /// Takes in where the others are.
    pub(crate) fn learn(&self, mut near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        if let Ok(own) = self.socket.local_addr() {
            near.retain(|address| *address != own);
        }
        *self.near.addresses.write() = near;
        *self.far.addresses.write() = far;
    }

    /// What is in flight here has changed.
    pub(crate) fn changed(&self) {
        self.near.changed.notify_one();
        self.far.changed.notify_one();
    }

    fn group(&self, reach: Reach) -> &Group {
        match reach {
            Reach::Near => &self.near,
            Reach::Far => &self.far,
        }
    }

    /// Where a peer is; none if it is no peer.
    fn reach_of(&self, peer: SocketAddr) -> Option<Reach> {
        [Reach::Near, Reach::Far]
            .into_iter()
            .find(|reach| self.group(*reach).addresses.read().contains(&peer))
    }

    /// Tells the others of a prompt.
    pub(crate) fn tell_prompt(&self, worker: &str, prefill_ms: f64) {
        if prefill_ms < TOLD_FROM_MS {
            return;
        }
        let message = PeerMessage::PromptSent {
            worker: worker.to_owned(),
            prefill_ms,
        };
        self.send(Reach::Near, &message);
    }

    fn send(&self, reach: Reach, message: &PeerMessage) {
        let datagram = encode(message);
        for address in self.group(reach).addresses.read().iter() {
            // A socket that is full loses this one, as the network may.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }

    /// Pause between two tellings of counts.
    fn pause(&self, reach: Reach) -> Duration {
        let peers = self.group(reach).addresses.read().len() as u32;
        match reach {
            Reach::Near => (PAUSE_PER_PEER * peers).clamp(SHORTEST_PAUSE, LONGEST_PAUSE),
            Reach::Far => (PAUSE_PER_FAR_PEER * peers).max(SHORTEST_PAUSE),
        }
    }
}

/// Tells others what is in flight here, whenever it changes.
pub(crate) async fn tell(node: Arc<Node>, reach: Reach) {
    let mut idle_told = false;
    let mut order = TellingOrder {
        start: rand::random(),
        sequence: 0,
    };
    loop {
        let mut counts = node.with_fleet(|fleet, _| fleet.in_flight());
        counts.truncate(COUNTS_TOLD);
        let idle = counts.is_empty();
        let pause = node.peers.pause(reach);
        let useful = reach == Reach::Near || pause < USELESS_PAUSE;
        if useful && !(idle && idle_told) {
            order.sequence += 1;
            let message = PeerMessage::InFlight { order, counts };
            node.peers.send(reach, &message);
        }
        idle_told = idle;
        sleep(pause).await;
        // Either something changed or it is time to repeat what was told.
        let _ = timeout(REPEAT_PAUSE, node.peers.group(reach).changed.notified()).await;
        if node.dispatcher.waiting() > 0 {
            sleep(GATHER_PAUSE).await;
        }
    }
}

/// Takes in what the others tell.
pub(crate) async fn hear(node: Arc<Node>) {
    let mut datagram = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = node.peers.socket.recv_from(&mut datagram).await else {
            continue;
        };
        let Some(reach) = node.peers.reach_of(from) else {
            continue;
        };
        if let Ok(message) = decode::<PeerMessage>(&datagram[..length]) {
            take_in(&node, from, reach, message);
        }
    }
}

fn take_in(node: &Node, from: SocketAddr, reach: Reach, message: PeerMessage) {
    match message {
        PeerMessage::PromptSent { worker, prefill_ms } => node.with_fleet(|fleet, now_ms| {
            fleet.expect_prefill(now_ms, &worker, prefill_ms);
        }),
        PeerMessage::InFlight { order, counts } => {
            node.with_fleet(|fleet, now_ms| {
                fleet.take_peer(now_ms, from, order, counts);
                if reach == Reach::Far {
                    fleet.heard_far(now_ms);
                }
            });
            if node.dispatcher.waiting() > 0 {
                node.dispatcher.changed.notify_one();
            }
        }
    }
}
