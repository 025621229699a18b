//! What other nodes say of workers that did not answer them. Pure.
//!
//! A worker that is gone without a word is found out by each node for itself, at the price
//! of a call each. So a node that got no answer tells the others of its zone. That is
//! evidence, not a verdict: a node may be cut off itself. Several must say the same within
//! a moment, and hearsay takes only a part of the workers out.

use std::net::SocketAddr;

/// Nodes that must say the same.
const WITNESSES: usize = 2;
/// How long what a node said counts, milliseconds: about as long as a node avoids a
/// worker that failed it a second time.
const EVIDENCE_LIFE_MS: u64 = 1_000;
/// Part of the workers in question that hearsay may take out; where it names more, rather
/// the network is at fault.
const MOST_PART: f64 = 0.34;

/// What is said of one worker.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    said: Vec<(SocketAddr, u64)>,
}

impl Suspicion {
    /// A node got no answer of the worker.
    pub(super) fn said(&mut self, now_ms: u64, node: SocketAddr) {
        self.said
            .retain(|(other, at_ms)| *other != node && is_fresh(now_ms, *at_ms));
        self.said.push((node, now_ms));
    }

    /// The worker answered this node.
    pub(super) fn clear(&mut self) {
        self.said.clear();
    }

    /// Whether any node got no answer of it a short while ago.
    pub(super) fn is_raised(&self, now_ms: u64) -> bool {
        self.said.iter().any(|(_, at_ms)| is_fresh(now_ms, *at_ms))
    }

    /// Whether enough nodes got no answer of it a short while ago.
    pub(super) fn holds(&self, now_ms: u64) -> bool {
        let fresh = self
            .said
            .iter()
            .filter(|(_, at_ms)| is_fresh(now_ms, *at_ms));
        fresh.count() >= WITNESSES
    }
}

fn is_fresh(now_ms: u64, at_ms: u64) -> bool {
    now_ms <= at_ms + EVIDENCE_LIFE_MS
}

/// Whether hearsay that names so many of the workers in question counts.
pub(super) fn is_credible(suspected: usize, workers: usize) -> bool {
    suspected as f64 <= workers as f64 * MOST_PART
}
