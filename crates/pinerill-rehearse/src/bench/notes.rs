//! What is noted of a phase while it runs, and the sums over it.

use std::time::Duration;

use super::figures::ProcessFigures;
use super::meter::{ProcessUsage, ThroughputSample};
use super::phase::Phase;
use crate::engine::messages::{EngineUsage, Priority};
use crate::ledger::{LedgerEvent, LedgerLine};
use crate::load::record::{OnlineEnd, OnlineRecord};

/// What was noted of a phase.
pub struct PhaseNotes<'a> {
    /// The phase.
    pub phase: Phase,
    /// Online requests.
    pub online: &'a [OnlineRecord],
    /// Items that the kit's dispatcher completed.
    pub batch_completed_by_kit: u64,
    /// Items that the kit's dispatcher sent again.
    pub retries_by_kit: u64,
    /// Length of a batch answer.
    pub batch_answer_tokens: u32,
    /// Time in which load was sent.
    pub window: Duration,
    /// Start, Unix microseconds.
    pub started_us: u64,
    /// End, Unix microseconds.
    pub ended_us: u64,
    /// Engines at the start.
    pub usage_before: EngineUsage,
    /// Engines at the end.
    pub usage_after: EngineUsage,
    /// Processes at the start.
    pub processes_before: ProcessUsage,
    /// Processes at the end.
    pub processes_after: ProcessUsage,
    /// Throughput over time.
    pub samples: Vec<ThroughputSample>,
    /// All ledger lines of the run so far.
    pub ledger: Vec<LedgerLine>,
    /// Number of engines.
    pub engines: usize,
    /// What all engines generate with full slots.
    pub nominal_tokens_per_second: f64,
}

impl PhaseNotes<'_> {
    pub(super) fn seconds(&self) -> f64 {
        (self.ended_us - self.started_us) as f64 / 1e6
    }

    /// Ledger lines of the phase.
    pub(super) fn lines(&self) -> Vec<LedgerLine> {
        let inside = |line: &&LedgerLine| {
            line.arrived_us >= self.started_us && line.time_us <= self.ended_us
        };
        self.ledger.iter().filter(inside).cloned().collect()
    }

    /// Batch items that completed while load was sent.
    pub(super) fn completed_items(&self) -> u64 {
        if self.batch_completed_by_kit > 0 {
            return self.batch_completed_by_kit;
        }
        let end_us = self.started_us + self.window.as_micros() as u64;
        let lines = self.ledger.iter().filter(|line| {
            line.priority == Priority::Batch
                && line.event == LedgerEvent::Finished
                && (self.started_us..=end_us).contains(&line.time_us)
        });
        lines.count() as u64
    }

    pub(super) fn generated(&self) -> f64 {
        let generated =
            |usage: &EngineUsage| usage.online.generated_tokens + usage.batch.generated_tokens;
        (generated(&self.usage_after) - generated(&self.usage_before)) as f64
    }

    pub(super) fn online_prefill(&self) -> f64 {
        let (after, before) = (&self.usage_after.online, &self.usage_before.online);
        (after.prefill_tokens - before.prefill_tokens) as f64
    }

    pub(super) fn busy_share(&self) -> f64 {
        let busy = (self.usage_after.busy_us - self.usage_before.busy_us) as f64 / 1e6;
        busy / self.seconds() / self.engines as f64
    }

    pub(super) fn process_figures(&self) -> ProcessFigures {
        let (before, after) = (&self.processes_before, &self.processes_after);
        let seconds = self.seconds();
        let node_us = (after.nodes.cpu_seconds - before.nodes.cpu_seconds) * 1e6;
        let completed = self
            .online
            .iter()
            .filter(|one| one.end == OnlineEnd::Completed);
        ProcessFigures {
            node_cores: after.nodes.cores_since(&before.nodes, seconds),
            node_us_per_request: per(node_us, completed.count() as f64),
            node_us_per_token: per(node_us, self.generated()),
            largest_node_bytes: after.largest_node_bytes,
            control_cores: after.controls.cores_since(&before.controls, seconds),
            worker_cores: after.workers.cores_since(&before.workers, seconds),
        }
    }
}

fn per(amount: f64, count: f64) -> f64 {
    match count > 0.0 {
        true => amount / count,
        false => 0.0,
    }
}
