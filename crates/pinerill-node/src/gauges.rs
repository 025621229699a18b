//! Gauges that are read from the node's state when operators ask for them.

use std::sync::atomic::Ordering;

use pinerill_wire::connection::LinkCounters;
use prometheus::IntCounterVec;

use crate::clock;
use crate::membership::Worker;
use crate::node::Node;

/// Sets the gauges of `node` to what holds now.
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
        take_link(link, &metrics.control_bytes);
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

/// The link counts from its start, as the counters do.
fn take_link(link: &LinkCounters, bytes: &IntCounterVec) {
    let totals = [
        ("out", link.bytes_out.load(Ordering::Relaxed)),
        ("in", link.bytes_in.load(Ordering::Relaxed)),
    ];
    for (direction, total) in totals {
        let counter = bytes.with_label_values(&[direction]);
        counter.inc_by(total.saturating_sub(counter.get()));
    }
}
