//! Decides which node of a zone may use a free slot that several nodes see. Pure.
//!
//! While calls wait at many nodes, all of them see a free slot at the same time, and the next
//! broadcast of request counts is milliseconds away. If each node sent a call, all but one would
//! wait in the worker's own queue, where no node can reorder or move them. The slot is therefore
//! assigned to one node by weighted rendezvous hashing of the worker over the nodes that have
//! waiting calls; all nodes compute the same result. If the slot is still free a moment later, that
//! node does not need it, and the next node may use it too.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::fleet::WorkerKey;

/// Time after which one more node may use a slot that stays free, in milliseconds. By then the
/// previous node has broadcast the call that it sent there, if it sent one.
const NEXT_NODE_DELAY_MS: u64 = 15;
/// Time after which an observation of free slots expires, in milliseconds. Each node scans its
/// queue every 15 ms, so a slot that stays free is observed again before that.
const OBSERVATION_TTL_MS: u64 = 40;

/// A node with waiting calls that competes for free slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contender {
    /// Address at which the node receives messages of its peers; identifies the node.
    pub node: SocketAddr,
    /// Number of calls that wait at the node; its weight in the hash.
    pub waiting: u32,
}

/// Returns how many of the `others` that have waiting calls precede `own` in the claim order at
/// `worker`.
pub fn nodes_ahead(own: Contender, others: &[Contender], worker: WorkerKey) -> usize {
    let own_key = claim_key(own, worker);
    others
        .iter()
        .filter(|other| other.waiting > 0 && claim_key(**other, worker) < own_key)
        .count()
}

/// Returns the sort key of a node in a worker's claim order; the lowest key claims first. The
/// probability of being first is proportional to the number of calls that wait at the node.
fn claim_key(contender: Contender, worker: WorkerKey) -> f64 {
    let hash = worker.hash_with_node(contender.node);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / f64::from(contender.waiting.max(1))
}

/// Remembers since when each worker has been observed with free slots.
#[derive(Debug, Default)]
pub struct FreeSlotClaims {
    observations: HashMap<WorkerKey, Observation>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    first_ms: u64,
    last_ms: u64,
}

impl FreeSlotClaims {
    /// Returns whether this node may use one of the `free` slots of a worker when `ahead` other
    /// nodes precede it in the claim order. One more node may for every `NEXT_NODE_DELAY_MS` that
    /// the slots stay free.
    pub fn may_claim(&mut self, now_ms: u64, worker: WorkerKey, free: usize, ahead: usize) -> bool {
        if ahead < free {
            return true;
        }
        let seen = self.observations.entry(worker).or_insert(Observation {
            first_ms: now_ms,
            last_ms: now_ms,
        });
        if now_ms > seen.last_ms + OBSERVATION_TTL_MS {
            seen.first_ms = now_ms;
        }
        seen.last_ms = now_ms;
        let more_nodes = now_ms.saturating_sub(seen.first_ms) / NEXT_NODE_DELAY_MS;
        ahead < free + more_nodes as usize
    }

    /// Removes observations that have expired.
    pub fn remove_stale(&mut self, now_ms: u64) {
        self.observations
            .retain(|_, seen| now_ms <= seen.last_ms + OBSERVATION_TTL_MS);
    }

    /// Discards the observation of a worker after this node used a slot there, so that the delays
    /// start anew for the slots that remain free.
    pub fn record_claim(&mut self, worker: WorkerKey) {
        self.observations.remove(&worker);
    }
}
