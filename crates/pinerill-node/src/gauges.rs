//! Updates the gauges that are computed from the node's state each time the metrics are
//! exported or logged.

use std::sync::atomic::Ordering;

use pinerill_wire::connection::LinkCounters;
use prometheus::IntCounterVec;

use crate::clock;
use crate::membership::Worker;
use crate::node::Node;

/// Updates the lease, worker and control-link metrics of `node` from its current state.
pub fn refresh(node: &Node) {
    let metrics = &node.metrics;
    let now_ms = clock::now_ms();
    let left_ms = node.configuration.lease_left_ms(now_ms);
    metrics.lease_left_ms.set(left_ms as i64);
    let view = node.fleet.view();
    for state in ["reporting", "silent", "leaving"] {
        let workers = view.workers.values();
        let count = workers
            .filter(|one| state_of(&one.worker, now_ms) == state)
            .count();
        metrics
            .workers
            .with_label_values(&[state])
            .set(count as i64);
    }
    if let Some(link) = &node.link {
        update_link_counters(link, &metrics.control_bytes);
    }
}

fn state_of(worker: &Worker, now_ms: u64) -> &'static str {
    let health = worker.health.lock();
    if health.is_leaving() {
        return "leaving";
    }
    let reports = health.incarnation().is_some() && !health.is_suspected(now_ms);
    if reports {
        "reporting"
    } else {
        "silent"
    }
}

/// Raises the exported byte counters to the totals of the link. Both start at 0 with
/// the process, so the difference is the increment.
fn update_link_counters(link: &LinkCounters, bytes: &IntCounterVec) {
    let totals = [
        ("out", link.bytes_out.load(Ordering::Relaxed)),
        ("in", link.bytes_in.load(Ordering::Relaxed)),
    ];
    for (direction, total) in totals {
        let counter = bytes.with_label_values(&[direction]);
        counter.inc_by(total.saturating_sub(counter.get()));
    }
}
