//! Prometheus metrics of the node, exported in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::engine::{AnswerReader, Progress};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.6, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// All metrics of the node, held in one registry.
#[derive(Debug)]
#[allow(missing_docs)]
pub struct Metrics {
    registry: Registry,
    /// Online requests by outcome: `completed`, a failure code, or `caller_gone`.
    pub requests: IntCounterVec,
    /// Online requests by target: `engine` or `script`.
    pub targets: IntCounterVec,
    pub retries: IntCounter,
    pub retries_denied: IntCounter,
    pub resumes: IntCounter,
    pub continuations: IntCounter,
    pub frames_foreign: IntCounter,
    pub frames_late: IntCounter,
    pub digest_mismatches: IntCounter,
    pub engine_cancels: IntCounter,
    pub tokens: IntCounterVec,
    pub in_flight: IntGauge,
    pub queued: IntGauge,
    /// Time to the first token as observed by the node, in seconds, by service.
    pub first_token: HistogramVec,
    /// Submitted batch jobs by outcome: `accepted` or a failure code.
    pub jobs: IntCounterVec,
    pub batch_leased: IntCounter,
    /// Time from the detection of online work to the engine's confirmation that a
    /// batch item is paused, in seconds.
    pub batch_yield_seconds: Histogram,
    /// Batch attempts by the verdict of the job group on their report.
    pub batch_items: IntCounterVec,
    pub batch_running: IntGauge,
    pub batch_paused: IntGauge,
    pub batch_window: IntGauge,
    pub batch_yields: IntCounter,
    pub batch_moves: IntCounter,
    pub preemptions: IntCounter,
    pub leases_lost: IntCounter,
    pub watch_failures: IntCounter,
    pub bundle_version: IntGauge,
    pub leaving_signs: IntCounter,
    pub connect_failures: IntCounter,
    /// Bytes sent to (`out`) and received from (`in`) control machines.
    pub control_bytes: IntCounterVec,
    /// Workers in use by state: `reporting`, `silent` or `leaving`.
    pub workers: IntGaugeVec,
    /// Remaining time of the configuration lease, in milliseconds.
    pub lease_left_ms: IntGauge,
    pub prefix_hints: IntCounter,
}

struct Builder(Registry);

impl Builder {
    fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let counter = IntCounter::new(format!("pinerill_node_{name}"), help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(format!("pinerill_node_{name}"), help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn counters(&self, name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
        let options = Opts::new(format!("pinerill_node_{name}"), help);
        let counters = IntCounterVec::new(options, &[label])?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn gauges(&self, name: &str, help: &str, label: &str) -> prometheus::Result<IntGaugeVec> {
        let options = Opts::new(format!("pinerill_node_{name}"), help);
        let gauges = IntGaugeVec::new(options, &[label])?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    fn latency(&self, name: &str, help: &str, label: &str) -> prometheus::Result<HistogramVec> {
        let options = HistogramOpts::new(format!("pinerill_node_{name}"), help)
            .buckets(LATENCY_BOUNDS.to_vec());
        let histogram = HistogramVec::new(options, &[label])?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}

impl Builder {
    fn yield_time(&self) -> prometheus::Result<Histogram> {
        let name = "pinerill_node_batch_yield_seconds";
        let options = HistogramOpts::new(name, "From a sign of online work to a paused item")
            .buckets(LATENCY_BOUNDS.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Returns an error if a metric is invalid or its name is registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let build = Builder(Registry::new());
        Ok(Self {
            requests: build.counters("requests_total", "Online requests by end", "end")?,
            targets: build.counters("targets_total", "Online requests by target", "target")?,
            retries: build.counter("retries_total", "Online attempts after the first")?,
            retries_denied: build.counter("retries_denied_total", "Retries over the budget")?,
            resumes: build.counter("resumes_total", "Streams resumed at the same engine")?,
            continuations: build.counter("continuations_total", "Streams continued elsewhere")?,
            frames_foreign: build
                .counter("frames_foreign_total", "Frames of other requests, dropped")?,
            frames_late: build.counter("frames_late_total", "Frames already delivered, dropped")?,
            digest_mismatches: build.counter(
                "digest_mismatches_total",
                "Answers whose digest did not fit",
            )?,
            engine_cancels: build.counter("engine_cancels_total", "Cancels sent to engines")?,
            tokens: build.counters("tokens_total", "Tokens received by priority", "priority")?,
            in_flight: build.gauge("requests_in_flight", "Online requests in flight")?,
            queued: build.gauge("requests_queued", "Online requests that wait for a place")?,
            first_token: build.latency("first_token_seconds", "Time to first token", "service")?,
            jobs: build.counters("jobs_total", "Submitted batch jobs by end", "end")?,
            batch_leased: build.counter("batch_leased_total", "Batch items leased")?,
            batch_yield_seconds: build.yield_time()?,
            batch_items: build.counters(
                "batch_items_total",
                "Batch attempts by the verdict on their report",
                "end",
            )?,
            batch_running: build.gauge("batch_running", "Batch items that run")?,
            batch_paused: build.gauge("batch_paused", "Batch items that are paused")?,
            batch_window: build.gauge("batch_window", "Batch items allowed at driven engines")?,
            batch_yields: build.counter("batch_yields_total", "Pauses for online requests")?,
            batch_moves: build.counter("batch_moves_total", "Items moved to another engine")?,
            preemptions: build.counter("preemptions_total", "Preemptions reported by engines")?,
            leases_lost: build.counter("leases_lost_total", "Leases that ended elsewhere")?,
            watch_failures: build.counter("watch_failures_total", "Watches that failed")?,
            bundle_version: build.gauge("bundle_version", "Version of the bundle in force")?,
            leaving_signs: build.counter("leaving_signs_total", "First signs of leaving")?,
            connect_failures: build
                .counter("connect_failures_total", "Engine connections that failed")?,
            control_bytes: build.counters(
                "control_bytes_total",
                "Bytes to and from control machines",
                "direction",
            )?,
            workers: build.gauges("workers", "Workers in use by state", "state")?,
            lease_left_ms: build.gauge(
                "configuration_lease_left_milliseconds",
                "Time that the configuration lease still lasts",
            )?,
            prefix_hints: build
                .counter("prefix_hints_total", "Requests placed by a cached prefix")?,
            registry: build.0,
        })
    }

    /// Adds the frames that `reader` dropped since the last call, and a digest mismatch if
    /// `progress` reports one.
    pub fn count_reading(&self, reader: &mut AnswerReader, progress: &Progress) {
        let dropped = reader.take_dropped();
        self.frames_foreign.inc_by(dropped.foreign);
        self.frames_late.inc_by(dropped.late);
        if *progress == Progress::WrongDigest {
            self.digest_mismatches.inc();
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns the error of the text encoder.
    pub fn text(&self) -> prometheus::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }

    /// Formats all counters and gauges that are not 0 as one log line of pairs such as
    /// `requests_total{completed}=3`. Histograms are omitted.
    pub fn line(&self) -> String {
        let mut parts = Vec::new();
        for family in self.registry.gather() {
            let name = family
                .name()
                .trim_start_matches("pinerill_node_")
                .to_owned();
            for metric in family.get_metric() {
                let value = metric.get_counter().get_value() + metric.get_gauge().get_value();
                if value == 0.0 {
                    continue;
                }
                let labels: Vec<&str> = metric.get_label().iter().map(|one| one.value()).collect();
                let label = if labels.is_empty() {
                    String::new()
                } else {
                    format!("{{{}}}", labels.join(","))
                };
                parts.push(format!("{name}{label}={value}"));
            }
        }
        parts.join(" ")
    }
}
