//! Collects reports from other nodes about workers that did not answer them.
//!
//! Without these reports, each node would detect a silently failed worker on its own, at the cost
//! of one call each. A node that got no answer therefore notifies the other nodes of its zone. Such
//! a report is evidence, not proof, because the reporting node may itself be cut off. Several nodes
//! must report the same worker within a short time, and reports can exclude only a fraction of the
//! workers. The module does no I/O and reads no clock.

use std::net::SocketAddr;

/// Number of distinct nodes that must report a worker before it is suspected.
const MIN_REPORTERS: usize = 2;
/// Time in milliseconds for which a report counts. It is about as long as a node avoids a worker
/// that failed it twice.
const SUSPICION_REPORT_LIFETIME_MS: u64 = 1_000;
/// Largest fraction of the workers under consideration that reports can exclude. If more are
/// suspected, a network fault is the likelier cause.
const MAX_SUSPECTED_FRACTION: f64 = 0.34;

/// Failure reports about one worker: the reporting node, and when its report arrived.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    reports: Vec<(SocketAddr, u64)>,
}

impl Suspicion {
    /// Records that `node` got no answer from the worker, replacing that node's earlier report.
    pub(super) fn record(&mut self, now_ms: u64, node: SocketAddr) {
        self.reports
            .retain(|(other, reported_ms)| *other != node && is_fresh(now_ms, *reported_ms));
        self.reports.push((node, now_ms));
    }

    /// Discards all reports, because the worker has answered this node.
    pub(super) fn clear(&mut self) {
        self.reports.clear();
    }

    /// Returns whether at least one unexpired report exists.
    pub(super) fn has_report(&self, now_ms: u64) -> bool {
        self.reports
            .iter()
            .any(|(_, reported_ms)| is_fresh(now_ms, *reported_ms))
    }

    /// Returns whether unexpired reports from at least [`MIN_REPORTERS`] nodes exist.
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

/// Returns whether reports are credible, given how many of the workers under consideration are
/// suspected.
pub(super) fn is_credible(suspected: usize, workers: usize) -> bool {
    suspected as f64 <= workers as f64 * MAX_SUSPECTED_FRACTION
}
