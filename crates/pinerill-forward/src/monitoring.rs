//! Metrics and readiness of a node, and those parts of its known state that are single values.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64};
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::cells::CellId;
use pinerill_process::clock::suspensions;
use pinerill_process::Monitored;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use tokio::sync::Notify;

use crate::cluster::{DirectoryKind, VersionHistoryRead};
use crate::node::Node;

/// Bucket bounds of latency histograms in seconds, from a fast first event to the longest time
/// that callers wait.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0,
];

/// The Prometheus metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounter,
    refusals: IntCounterVec,
    calls: IntCounterVec,
    quota_refusals: IntCounterVec,
    first_event: HistogramVec,
    gap: HistogramVec,
    call_duration: HistogramVec,
    pub(crate) worker_failures: IntCounter,
    pub(crate) worker_refusals: IntCounter,
    pub(crate) health_checks: IntCounter,
    repeated_responses: IntCounter,
    pub(crate) slow_starts: IntCounter,
    items: IntCounterVec,
    pub(crate) items_preempted: IntCounter,
    items_withheld: IntCounter,
    items_withheld_now: IntGauge,
    pub(crate) trial_runs: IntCounter,
    workers_crashed: IntCounterVec,
    pub(crate) runs_crashed: IntCounter,
    suspensions: IntGauge,
    pub(crate) peer_messages_dropped: IntCounter,
    resumptions: IntCounterVec,
    origins_recorded: IntGauge,
    requests_suspected: IntGauge,
    requests_blocked: IntGauge,
    parts_blocked: IntGauge,
    waiting_calls: IntGauge,
    waiting_by_part: IntGaugeVec,
    pub(crate) slots_passed: IntCounter,
    share_rejections: IntCounterVec,
    table_version: IntGauge,
    control_silent_ms: IntGauge,
    directory_age_ms: IntGauge,
    idle_connections: IntGauge,
    worker_pace: GaugeVec,
}

/// Single values that a node knows about the cluster.
#[derive(Debug, Default)]
pub(crate) struct KnownState {
    /// Number of nodes that watch the leader, as reported by the leader; 0 before its first report.
    pub(crate) nodes: AtomicU32,
    /// Number of nodes in this node's cell, as reported by the leader; 0 before its first report.
    pub(crate) cell_nodes: AtomicU32,
    /// Cell of this node; None before the leader's first report.
    pub(crate) cell: Mutex<Option<CellId>>,
    /// Time of the last response of a control machine in milliseconds on the node's clock; 0 before
    /// the first.
    pub(crate) last_control_answer_ms: AtomicU64,
    /// Whether the node must request the full state from the leader, because a source other than
    /// the leader has changed the known workers or control machines, or the machine was suspended.
    pub(crate) needs_full_update: AtomicBool,
    /// What the leader's directories state; those of older builds lack something.
    pub(crate) directory_kind: Mutex<DirectoryKind>,
    /// Notified when `directory_kind` changes.
    pub(crate) directory_kind_changed: Notify,
    /// Whether the leader's history of software versions was read.
    pub(crate) version_history: VersionHistoryRead,
}

impl Metrics {
    /// Creates the metrics in a separate registry.
    ///
    /// # Errors
    /// Returns an error if two metrics have the same name.
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
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let worker_pace = GaugeVec::new(
            Opts::new(
                "pinerill_node_worker_pace",
                "Pace of workers out of tolerance, with the samples and age in ms behind it",
            ),
            &["worker", "value"],
        )?;
        registry.register(Box::new(worker_pace.clone()))?;
        Ok(Metrics {
            worker_pace,
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
            call_duration: histogram(
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
            repeated_responses: counter(
                "pinerill_node_repeated_responses_total",
                "Responses of workers that were skipped because they repeated earlier ones",
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
            items_withheld_now: gauge(
                "pinerill_node_items_withheld",
                "Items of jobs that are kept from workers now, since they are known to crash them",
            )?,
            trial_runs: counter(
                "pinerill_node_trial_runs_total",
                "Runs of requests that are known to crash workers, to see whether they do",
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
            resumptions: counters(
                "pinerill_node_resumptions_total",
                "Streams that callers continue, by what is known of the version that began them",
                &["basis"],
            )?,
            origins_recorded: gauge(
                "pinerill_node_stream_origins",
                "Streams that callers may continue whose origin is recorded here",
            )?,
            requests_suspected: gauge(
                "pinerill_node_requests_suspected",
                "Requests under which workers crashed a while ago",
            )?,
            requests_blocked: gauge(
                "pinerill_node_requests_blocked",
                "Requests that are refused, since they are known to crash workers",
            )?,
            parts_blocked: gauge(
                "pinerill_node_prompt_parts_blocked",
                "Parts of prompts whose requests are refused, since they are known to crash workers",
            )?,
            waiting_calls: gauge(
                "pinerill_node_waiting_calls",
                "Calls that wait for a place at a worker",
            )?,
            waiting_by_part: gauges(
                "pinerill_node_waiting_calls_by_part",
                "Calls that wait for a slot, within or over the share of their tenant",
                &["part"],
            )?,
            slots_passed: counter(
                "pinerill_node_slots_passed_total",
                "Released slots that were passed to a node whose first call precedes those here",
            )?,
            share_rejections: counters(
                "pinerill_node_share_rejections_total",
                "Calls rejected while slots are shared among tenants, within or over their share",
                &["part"],
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

    /// Counts a rejected call by the part of the queue that it belongs to.
    pub(crate) fn share_rejected(&self, part: &str) {
        self.share_rejections.with_label_values(&[part]).inc();
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
        let histogram = self.call_duration.with_label_values(&[kind, outcome]);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a stream that a caller continues.
    pub(crate) fn resumption(&self, basis: &str) {
        self.resumptions.with_label_values(&[basis]).inc();
    }

    pub(crate) fn worker_crashed(&self, evidence: &str) {
        self.workers_crashed.with_label_values(&[evidence]).inc();
    }

    /// Replaces the paces of workers by those of workers now out of tolerance.
    fn show_paces(&self, node: &Node) {
        self.worker_pace.reset();
        for known in node.with_fleet(|fleet, _| fleet.unusual_paces()) {
            let worker = node.worker_name(known.worker);
            let set = |label: &str, value: f64| {
                let gauge = self
                    .worker_pace
                    .with_label_values(&[worker.as_str(), label]);
                gauge.set(value);
            };
            set("pace", known.pace);
            set("samples", f64::from(known.samples));
            set("age_ms", known.age_ms as f64);
        }
    }

    pub(crate) fn item_ended(&self, end: &str) {
        self.items.with_label_values(&[end]).inc();
    }

    /// Counts an item as kept from workers until the returned guard is dropped.
    pub(crate) fn count_withheld_item(&self) -> WithheldItem {
        self.items_withheld.inc();
        self.items_withheld_now.inc();
        WithheldItem(self.items_withheld_now.clone())
    }
}

/// Counts an item as kept from workers until it is dropped.
pub(crate) struct WithheldItem(IntGauge);

impl Drop for WithheldItem {
    fn drop(&mut self) {
        self.0.dec();
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
            .parts_blocked
            .set(number(self.blocked_parts().len() as u64));
        metrics
            .origins_recorded
            .set(number(self.resumptions.recorded() as u64));
        metrics
            .requests_suspected
            .set(number(self.suspected_requests() as u64));
        metrics
            .requests_blocked
            .set(number(self.blocked_requests().len() as u64));
        metrics
            .waiting_calls
            .set(number(self.dispatcher.waiting() as u64));
        let (within, over) = self.dispatcher.waiting_by_part(self.now_ms());
        for (part, calls) in [("within", within), ("over", over)] {
            let gauge = metrics.waiting_by_part.with_label_values(&[part]);
            gauge.set(number(calls as u64));
        }
        metrics
            .control_silent_ms
            .set(number(self.control_silent_ms()));
        metrics
            .directory_age_ms
            .set(number(self.directory_age_ms()));
        let repetitions = self.connections().repetitions();
        let counted = metrics.repeated_responses.get();
        metrics
            .repeated_responses
            .inc_by(repetitions.saturating_sub(counted));
        metrics
            .idle_connections
            .set(number(self.connections().len() as u64));
        metrics.show_paces(self);
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
