//! What the other nodes of the zone have in flight, as they tell.
//!
//! A node tells whole counts, never differences, so that a message that is lost
//! is made good by the next one. What a silent node told fades all at once.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_calls::directory::WorkerId;
use serde::{Deserialize, Serialize};

use super::Fleet;

/// Time after which what a silent node told counts no more, milliseconds.
const PEER_LIFE_MS: u64 = 1_500;

/// Requests of a node at one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// The worker.
    pub worker: WorkerId,
    /// Requests of the node there.
    pub requests: u32,
}

/// Which of two messages of a peer is the newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TellingOrder {
    /// Number drawn at the peer's start.
    pub start: u64,
    /// Grows with each message of that start.
    pub sequence: u64,
}

impl TellingOrder {
    /// Whether this one comes after a message that was taken in before. Another
    /// start of the peer always does.
    fn follows(self, earlier: TellingOrder) -> bool {
        self.start != earlier.start || self.sequence > earlier.sequence
    }
}

/// What each peer told last.
#[derive(Debug, Default)]
pub(super) struct PeerBook {
    told: HashMap<SocketAddr, Told>,
}

#[derive(Debug)]
struct Told {
    order: TellingOrder,
    at_ms: u64,
    counts: Vec<WorkerCount>,
}

impl Fleet {
    /// Requests of this node, by worker.
    pub fn in_flight(&self) -> Vec<WorkerCount> {
        let busy = self.workers.iter().filter(|(_, one)| one.in_flight > 0);
        busy.map(|(id, one)| WorkerCount {
            worker: id.clone(),
            requests: one.in_flight,
        })
        .collect()
    }

    /// Takes in what a peer has in flight, unless something newer came before.
    pub fn take_peer(
        &mut self,
        now_ms: u64,
        peer: SocketAddr,
        order: TellingOrder,
        counts: Vec<WorkerCount>,
    ) {
        let earlier = self.peers.told.get(&peer);
        if earlier.is_some_and(|told| !order.follows(told.order)) {
            return;
        }
        let told = Told {
            order,
            at_ms: now_ms,
            counts,
        };
        if let Some(earlier) = self.peers.told.remove(&peer) {
            self.count_peer(&earlier.counts, false);
        }
        self.count_peer(&told.counts, true);
        self.peers.told.insert(peer, told);
    }

    /// A node of another zone told what it has in flight.
    pub fn heard_far(&mut self, now_ms: u64) {
        self.far_heard_ms = Some(now_ms);
    }

    /// Whether nodes of other zones tell what they have in flight.
    pub(super) fn hears_far(&self, now_ms: u64) -> bool {
        self.far_heard_ms
            .is_some_and(|at| now_ms <= at + PEER_LIFE_MS)
    }

    /// Forgets what peers told that have been silent since.
    pub fn forget_silent_peers(&mut self, now_ms: u64) {
        let told = self.peers.told.iter();
        let silent: Vec<SocketAddr> = told
            .filter(|(_, told)| told.is_old(now_ms))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            if let Some(told) = self.peers.told.remove(&peer) {
                self.count_peer(&told.counts, false);
            }
        }
    }

    /// Counts afresh after the directory has changed.
    pub(super) fn recount_peers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.peers_in_flight = 0;
        }
        let counts: Vec<WorkerCount> = self
            .peers
            .told
            .values()
            .flat_map(|told| told.counts.iter().cloned())
            .collect();
        self.count_peer(&counts, true);
    }

    fn count_peer(&mut self, counts: &[WorkerCount], added: bool) {
        for count in counts {
            let Some(worker) = self.workers.get_mut(&count.worker) else {
                continue;
            };
            let known = worker.peers_in_flight;
            worker.peers_in_flight = match added {
                true => known.saturating_add(count.requests),
                false => known.saturating_sub(count.requests),
            };
        }
    }
}

impl Told {
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms > self.at_ms + PEER_LIFE_MS
    }
}
