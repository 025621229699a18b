//! Counters, metrics and readiness of a node.

use std::fmt::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use pinerill_process::Monitored;

use crate::node::Node;

/// A count that only grows.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a node counts.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) requests: Counter,
    pub(crate) refusals: Counter,
    pub(crate) worker_failures: Counter,
    pub(crate) worker_refusals: Counter,
    pub(crate) items_completed: Counter,
    pub(crate) items_failed: Counter,
    /// Nodes that watch, as the leader tells.
    pub(crate) nodes: AtomicU32,
    /// When a control machine last answered, on the node's clock.
    pub(crate) control_heard_ms: AtomicU64,
}

impl Monitored for Node {
    fn metrics_text(&self) -> Result<String, String> {
        let counters = &self.counters;
        let heard_ms = counters.control_heard_ms.load(Ordering::Relaxed);
        let version = self.table().map_or(0, |index| index.table().version);
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "pinerill_node_{name} {value}");
        };
        line("requests_total", counters.requests.value());
        line("refusals_total", counters.refusals.value());
        line("worker_failures_total", counters.worker_failures.value());
        line("worker_refusals_total", counters.worker_refusals.value());
        line("items_completed_total", counters.items_completed.value());
        line("items_failed_total", counters.items_failed.value());
        line("nodes", u64::from(counters.nodes.load(Ordering::Relaxed)));
        line("control_silent_ms", self.now_ms().saturating_sub(heard_ms));
        line("table_version", version);
        Ok(text)
    }

    fn unready_reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.table().is_none() {
            reasons.push("no route table yet".to_owned());
        }
        if self.with_fleet(|fleet, _| fleet.is_empty()) {
            reasons.push("no workers are known".to_owned());
        }
        if self.stopping.is_cancelled() {
            reasons.push("stopping".to_owned());
        }
        reasons
    }
}
