//! What other nodes say of workers that did not answer them. Pure.
//!
//! A worker that is gone without a word is found out by each node for itself, at the price
//! of a call each. So a node that got no answer tells the others of its zone. That is
//! evidence, not a verdict: a node may be cut off itself. Several must say the same within
//! a moment, and hearsay takes only a part of the workers out.

use std::net::SocketAddr;

/// Nodes that must say the same.
const MIN_REPORTERS: usize = 2;
/// How long what a node said counts, milliseconds: about as long as a node avoids a
/// worker that failed it a second time.
const SUSPICION_REPORT_LIFETIME_MS: u64 = 1_000;
/// Part of the workers in question that hearsay may take out; where it names more, rather
/// the network is at fault.
const MAX_SUSPECTED_FRACTION: f64 = 0.34;

/// What is said of one worker.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    reports: Vec<(SocketAddr, u64)>,
}

impl Suspicion {
    /// A node got no answer of the worker.
    pub(super) fn record(&mut self, now_ms: u64, node: SocketAddr) {
        self.reports
            .retain(|(other, reported_ms)| *other != node && is_fresh(now_ms, *reported_ms));
        self.reports.push((node, now_ms));
    }

    /// The worker answered this node.
    pub(super) fn clear(&mut self) {
        self.reports.clear();
    }

    /// Whether any node got no answer of it a short while ago.
    pub(super) fn has_report(&self, now_ms: u64) -> bool {
        self.reports
            .iter()
            .any(|(_, reported_ms)| is_fresh(now_ms, *reported_ms))
    }

    /// Whether enough nodes got no answer of it a short while ago.
    pub(super) fn is_corroborated(&self, now_ms: u64) -> bool {
        let fresh = self
            .reports
            .iter()
            .filter(|(_, reported_ms)| is_fresh(now_ms, *reported_ms));
        fresh.count() >= MIN_REPORTERS
    }
}

fn is_fresh(now_ms: u64, reported_ms: u64) -> bool {
    now_ms <= reported_ms + SUSPICION_REPORT_LIFETIME_MS
}

/// Whether hearsay that names so many of the workers in question counts.
pub(super) fn is_credible(suspected: usize, workers: usize) -> bool {
    suspected as f64 <= workers as f64 * MAX_SUSPECTED_FRACTION
}
