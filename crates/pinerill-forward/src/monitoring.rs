//! Metrics and readiness of a node.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64};
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::cells::CellId;
use pinerill_process::clock::suspensions;
use pinerill_process::Monitored;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use tokio::sync::Notify;

use crate::node::Node;

/// Bounds of latency histograms, seconds: from a fast first event to the
/// longest that callers wait.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0,
];

/// What a node counts and measures.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounter,
    refusals: IntCounterVec,
    calls: IntCounterVec,
    quota_refusals: IntCounterVec,
    first_event: HistogramVec,
    gap: HistogramVec,
    whole: HistogramVec,
    pub(crate) worker_failures: IntCounter,
    pub(crate) worker_refusals: IntCounter,
    pub(crate) health_checks: IntCounter,
    pub(crate) slow_starts: IntCounter,
    items: IntCounterVec,
    pub(crate) items_preempted: IntCounter,
    pub(crate) items_withheld: IntCounter,
    workers_crashed: IntCounterVec,
    pub(crate) runs_crashed: IntCounter,
    suspensions: IntGauge,
    pub(crate) peer_messages_dropped: IntCounter,
    requests_suspected: IntGauge,
    requests_blocked: IntGauge,
    waiting_calls: IntGauge,
    table_version: IntGauge,
    control_silent_ms: IntGauge,
    directory_age_ms: IntGauge,
    idle_connections: IntGauge,
}

/// Beliefs of a node that are single numbers.
#[derive(Debug, Default)]
pub(crate) struct KnownState {
    /// Nodes that watch, as the leader tells.
    pub(crate) nodes: AtomicU32,
    /// Nodes of this one's cell, as the leader tells.
    pub(crate) cell_nodes: AtomicU32,
    /// The cell that this node is in; none before the leader told.
    pub(crate) cell: Mutex<Option<CellId>>,
    /// When a control machine last answered, on the node's clock.
    pub(crate) last_control_answer_ms: AtomicU64,
    /// Something else than the leader has said since which workers or control machines
    /// there are, so that the leader must tell all of it again.
    pub(crate) needs_full_update: AtomicBool,
    /// The leader answers and does not tell how old its directory is: it is of an older build.
    pub(crate) undated: AtomicBool,
    /// It was just found that it does not.
    pub(crate) undated_detected: Notify,
}

impl Metrics {
    /// Metrics in a registry of their own.
    ///
    /// # Errors
    /// When two have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Metrics {
            requests: counter("pinerill_node_requests_total", "Callers' requests")?,
            refusals: counters(
                "pinerill_node_refusals_total",
                "Answers of this node's own that refuse, by status",
                &["status"],
            )?,
            quota_refusals: counters(
                "pinerill_node_quota_refusals_total",
                "Calls that had no token of their tenant's limit, by reason",
                &["reason"],
            )?,
            calls: counters(
                "pinerill_node_calls_total",
                "Forwarded calls that ended, by kind of route and outcome",
                &["kind", "outcome"],
            )?,
            first_event: histogram(
                "pinerill_node_first_event_seconds",
                "Time from a call's arrival to its first event",
                &["kind"],
            )?,
            gap: histogram(
                "pinerill_node_event_gap_seconds",
                "Time between two events of a call",
                &["kind"],
            )?,
            whole: histogram(
                "pinerill_node_call_seconds",
                "Time from a call's arrival to its end, by outcome",
                &["kind", "outcome"],
            )?,
            worker_failures: counter(
                "pinerill_node_worker_failures_total",
                "Attempts at workers that were not reached, broke off or were silent",
            )?,
            worker_refusals: counter(
                "pinerill_node_worker_refusals_total",
                "Attempts at workers that had no room",
            )?,
            health_checks: counter(
                "pinerill_node_health_checks_total",
                "Health checks of workers whose confirmation had run out",
            )?,
            slow_starts: counter(
                "pinerill_node_slow_starts_total",
                "Permits borrowed for requests to workers that were still cold",
            )?,
            items: counters(
                "pinerill_node_items_total",
                "Items of jobs that ended here, by end",
                &["end"],
            )?,
            items_preempted: counter(
                "pinerill_node_items_gave_way_total",
                "Runs of items that ended for a call that waited",
            )?,
            items_withheld: counter(
                "pinerill_node_items_withheld_total",
                "Items of jobs that are kept from workers, since they are known to crash them",
            )?,
            workers_crashed: counters(
                "pinerill_node_workers_crashed_total",
                "Workers that crashed while requests of this node ran there, by what shows it",
                &["evidence"],
            )?,
            runs_crashed: counter(
                "pinerill_node_runs_crashed_total",
                "Runs of requests that ended with a crash of their worker",
            )?,
            suspensions: gauge(
                "pinerill_node_suspensions",
                "Times that the machine was suspended and woke again",
            )?,
            peer_messages_dropped: counter(
                "pinerill_node_peer_messages_dropped_total",
                "Datagrams of other nodes that could not be read or were not theirs to send",
            )?,
            requests_suspected: gauge(
                "pinerill_node_requests_suspected",
                "Requests under which workers crashed a while ago",
            )?,
            requests_blocked: gauge(
                "pinerill_node_requests_blocked",
                "Requests that are refused, since they are known to crash workers",
            )?,
            waiting_calls: gauge(
                "pinerill_node_waiting_calls",
                "Calls that wait for a place at a worker",
            )?,
            table_version: gauge("pinerill_node_table_version", "Route table in force")?,
            control_silent_ms: gauge(
                "pinerill_node_control_silent_ms",
                "Time since a control machine answered",
            )?,
            directory_age_ms: gauge(
                "pinerill_node_directory_age_ms",
                "Age of the reading of the platform list that the directory goes by",
            )?,
            idle_connections: gauge(
                "pinerill_node_idle_connections",
                "Connections to workers that wait for a request",
            )?,
            registry,
        })
    }

    pub(crate) fn refused(&self, status: u16) {
        self.refusals
            .with_label_values(&[&status.to_string()])
            .inc();
    }

    pub(crate) fn quota_refused(&self, reason: &str) {
        self.quota_refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn first_event(&self, kind: &str, time: Duration) {
        let histogram = self.first_event.with_label_values(&[kind]);
        histogram.observe(time.as_secs_f64());
    }

    pub(crate) fn gap(&self, kind: &str, time: Duration) {
        self.gap
            .with_label_values(&[kind])
            .observe(time.as_secs_f64());
    }

    pub(crate) fn call_ended(&self, kind: &str, outcome: &str, time: Duration) {
        self.calls.with_label_values(&[kind, outcome]).inc();
        let histogram = self.whole.with_label_values(&[kind, outcome]);
        histogram.observe(time.as_secs_f64());
    }

    pub(crate) fn worker_crashed(&self, evidence: &str) {
        self.workers_crashed.with_label_values(&[evidence]).inc();
    }

    pub(crate) fn item_ended(&self, end: &str) {
        self.items.with_label_values(&[end]).inc();
    }
}

impl Monitored for Node {
    fn metrics_text(&self) -> Result<String, String> {
        let metrics = &self.metrics;
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let version = self.table().map_or(0, |index| index.table().version);
        metrics.table_version.set(number(version));
        metrics.suspensions.set(number(suspensions()));
        metrics
            .requests_suspected
            .set(number(self.suspected_requests() as u64));
        metrics
            .requests_blocked
            .set(number(self.blocked_requests().len() as u64));
        metrics
            .waiting_calls
            .set(number(self.dispatcher.waiting() as u64));
        metrics
            .control_silent_ms
            .set(number(self.control_silent_ms()));
        metrics
            .directory_age_ms
            .set(number(self.directory_age_ms()));
        metrics
            .idle_connections
            .set(number(self.connections().len() as u64));
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&metrics.registry.gather(), &mut text)
            .map_err(|error| error.to_string())?;
        text.extend(self.peers.traffic().metrics_text("pinerill_node").bytes());
        String::from_utf8(text).map_err(|error| error.to_string())
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
