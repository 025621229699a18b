//! Nodes of a zone tell each other which prompts they send where.
//!
//! A worker reads prompts one after the other, and its load report counts
//! requests, not tokens: a prompt of another node that takes half a second to
//! read shows in it like any other. So each node sends a datagram to the others
//! of its zone for each prompt that takes a while. One that is lost costs a
//! worse choice and nothing else.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::RwLock;
use pinerill_calls::message::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::node::Node;

/// Prompts that take less time are not told, milliseconds.
const TOLD_FROM_MS: f64 = 10.0;
/// Longest datagram.
const DATAGRAM_BYTES: usize = 512;

/// A prompt was sent to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct PromptSent {
    worker: String,
    prefill_ms: f64,
}

/// The other nodes of the zone.
pub(crate) struct Peers {
    socket: UdpSocket,
    addresses: RwLock<Vec<SocketAddr>>,
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
    pub(crate) fn tell(&self, worker: &str, prefill_ms: f64) {
        if prefill_ms < TOLD_FROM_MS {
            return;
        }
        let datagram = encode(&PromptSent {
            worker: worker.to_owned(),
            prefill_ms,
        });
        for address in self.addresses.read().iter() {
            // A socket that is full loses this one, as the network may.
            let _ = self.socket.try_send_to(&datagram, *address);
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
        if !node.peers.addresses.read().contains(&from) {
            continue;
        }
        if let Ok(sent) = decode::<PromptSent>(&datagram[..length]) {
            node.with_fleet(|fleet, now_ms| {
                fleet.expect_prefill(now_ms, &sent.worker, sent.prefill_ms);
            });
        }
    }
}
