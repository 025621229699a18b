//! Nodes of a zone tell each other what they send to workers.
//!
//! A worker's load report comes with an answer, so that it is old and many nodes
//! have none; and it counts requests, not tokens. So each node tells the others of
//! its zone, by datagrams, how many requests it has at which worker, whenever
//! that changes, and each prompt that takes a while to read. A datagram that is
//! lost costs a worse choice and nothing else.

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
/// Shortest pause between two tellings of counts, for each node that is told:
/// the more there are, the more each has to hear.
const PAUSE_PER_PEER: Duration = Duration::from_micros(1_200);
/// Bounds of that pause.
const SHORTEST_PAUSE: Duration = Duration::from_millis(6);
const LONGEST_PAUSE: Duration = Duration::from_millis(150);
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

/// The other nodes of the zone.
pub(crate) struct Peers {
    socket: UdpSocket,
    addresses: RwLock<Vec<SocketAddr>>,
    /// What is in flight here has changed.
    pub(crate) changed: Notify,
}

impl Peers {
    /// Listens for the others.
    ///
    /// # Errors
    /// When the address can't be had.
    pub(crate) async fn listen(address: SocketAddr) -> io::Result<Self> {
        Ok(Peers {
            socket: UdpSocket::bind(address).await?,
            addresses: RwLock::default(),
            changed: Notify::new(),
        })
    }

    /// Takes in where the others are.
    pub(crate) fn learn(&self, mut addresses: Vec<SocketAddr>) {
        if let Ok(own) = self.socket.local_addr() {
            addresses.retain(|address| *address != own);
        }
        *self.addresses.write() = addresses;
    }

    /// Tells the others of a prompt.
    pub(crate) fn tell_prompt(&self, worker: &str, prefill_ms: f64) {
        if prefill_ms < TOLD_FROM_MS {
            return;
        }
        self.send(&PeerMessage::PromptSent {
            worker: worker.to_owned(),
            prefill_ms,
        });
    }

    fn send(&self, message: &PeerMessage) {
        let datagram = encode(message);
        for address in self.addresses.read().iter() {
            // A socket that is full loses this one, as the network may.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }

    /// Pause between two tellings of counts.
    fn pause(&self) -> Duration {
        let peers = self.addresses.read().len() as u32;
        (PAUSE_PER_PEER * peers).clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
    }
}

/// Tells the others what is in flight here, whenever it changes.
pub(crate) async fn tell(node: Arc<Node>) {
    let mut idle_told = false;
    let mut order = TellingOrder {
        start: rand::random(),
        sequence: 0,
    };
    loop {
        let mut counts = node.with_fleet(|fleet, _| fleet.in_flight());
        counts.truncate(COUNTS_TOLD);
        let idle = counts.is_empty();
        if !(idle && idle_told) {
            order.sequence += 1;
            let message = PeerMessage::InFlight { order, counts };
            node.peers.send(&message);
        }
        idle_told = idle;
        sleep(node.peers.pause()).await;
        // Either something changed or it is time to repeat what was told.
        let _ = timeout(REPEAT_PAUSE, node.peers.changed.notified()).await;
    }
}

/// Takes in what the others tell.
pub(crate) async fn hear(node: Arc<Node>) {
    let mut datagram = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = node.peers.socket.recv_from(&mut datagram).await else {
            continue;
        };
        if !node.peers.addresses.read().contains(&from) {
            continue;
        }
        if let Ok(message) = decode::<PeerMessage>(&datagram[..length]) {
            take_in(&node, from, message);
        }
    }
}

fn take_in(node: &Node, from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::PromptSent { worker, prefill_ms } => node.with_fleet(|fleet, now_ms| {
            fleet.expect_prefill(now_ms, &worker, prefill_ms);
        }),
        PeerMessage::InFlight { order, counts } => {
            node.with_fleet(|fleet, now_ms| fleet.take_peer(now_ms, from, order, counts));
            if node.dispatcher.waiting() > 0 {
                node.dispatcher.changed.notify_one();
            }
        }
    }
}
