//! The figures of a phase and of a run.

use std::collections::HashMap;

use anyhow::Context;
use serde::Serialize;

use super::compare::Comparison;
use super::failures::FailureFigures;
use super::meter::ThroughputSample;
use super::notes::PhaseNotes;
use super::phase::Phase;
use super::quantiles::TailQuantiles;
use super::roles::RoleFigures;
use crate::check::{yield_times, LedgerIndex, Run, RunEnd, Verdict};
use crate::ledger::LedgerLine;
use crate::load::record::{EndCounts, OnlineRecord};
use crate::load::schedule::OnlineKind;

/// Required bound of the time to the first token, microseconds
/// (`docs/REHEARSAL.md`).
pub const LATE_FIRST_TOKEN_US: u64 = 600_000;
/// Required bound of the time between tokens, microseconds
/// (`docs/REHEARSAL.md`).
pub const LATE_GAP_US: u32 = 32_000;
/// Length of a bin of the tail over time, microseconds.
const BIN_US: u64 = 1_000_000;

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct BenchFigures {
    /// Name of the site's preset.
    pub preset: &'static str,
    /// Seed of arrivals and heaps.
    pub seed: u64,
    /// Length of each phase.
    pub seconds: u64,
    /// The machine before the run.
    pub machine: MachineFigures,
    /// Tokens that all engines generate a second with all slots decoding, by
    /// their model.
    pub nominal_tokens_per_second: f64,
    /// One for each phase that ran.
    pub phases: Vec<PhaseFigures>,
    /// What phases say about each other.
    pub comparison: Comparison,
    /// Promises that were checked.
    pub verdict: Verdict,
}

/// The machine before the run.
#[derive(Clone, Debug, Serialize)]
pub struct MachineFigures {
    /// Cores.
    pub cores: usize,
    /// Load average over the minute before the run: what others did.
    pub load_average: f64,
}

impl MachineFigures {
    /// Reads them.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn read() -> anyhow::Result<Self> {
        let text = std::fs::read_to_string("/proc/loadavg").context("reading the load average")?;
        let first = text.split_whitespace().next();
        let load_average = first.and_then(|number| number.parse().ok());
        Ok(Self {
            cores: std::thread::available_parallelism()?.get(),
            load_average: load_average.context("reading the load average")?,
        })
    }
}

/// Figures of one phase.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseFigures {
    /// The phase.
    pub phase: Phase,
    /// Its length until the last online answer, seconds: engines and processes
    /// are measured over it. Rates of requests and items are over the time in
    /// which load was sent.
    pub seconds: f64,
    /// How online requests ended.
    pub online: EndCounts,
    /// Due time to first token of short online requests, milliseconds.
    pub first_token_ms: TailQuantiles,
    /// The same of long ones, milliseconds.
    pub long_first_token_ms: TailQuantiles,
    /// Between deliveries of tokens to callers, milliseconds.
    pub between_tokens_ms: TailQuantiles,
    /// Share of short requests whose first token came within 0.6 s.
    pub first_token_in_bound: f64,
    /// Share of gaps of at most 32 ms.
    pub gaps_in_bound: f64,
    /// First token's p99 of short requests over time, by due time.
    pub first_token_p99_over_time: Vec<TimedTail>,
    /// Online tokens delivered a second.
    pub online_tokens_per_second: f64,
    /// Batch items completed a second.
    pub batch_items_per_second: f64,
    /// Answer tokens of completed batch items a second.
    pub batch_tokens_per_second: f64,
    /// Prompt tokens prefilled a second for online requests.
    pub online_prefill_tokens_per_second: f64,
    /// Share of the phase in which engines worked, mean over engines.
    pub busy_share: f64,
    /// Tokens generated over what full slots would have generated.
    pub capacity_share: f64,
    /// Arrival to start of online requests that found batch running at their
    /// engine, milliseconds.
    pub yield_ms: TailQuantiles,
    /// Tokens generated in runs that were cancelled or lost, and tokens
    /// prefilled again.
    pub wasted_tokens: u64,
    /// Runs beyond the first of the same content.
    pub retries: u64,
    /// What pinerill's processes used.
    pub processes: ProcessFigures,
    /// Throughput over time.
    pub samples: Vec<ThroughputSample>,
    /// What failures cost, when things failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failures: Option<FailureFigures>,
    /// What roles did, in the comparison of roles.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roles: Option<RoleFigures>,
}

/// A tail at one time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TimedTail {
    /// Start of the bin, seconds since the phase's start.
    pub at_seconds: f64,
    /// 99 of 100 in the bin are at most this, milliseconds.
    pub p99_ms: f64,
}

/// What processes used in a phase.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcessFigures {
    /// Cores that all nodes used.
    pub node_cores: f64,
    /// Processor time of nodes for each online request, microseconds; only of
    /// meaning without batch.
    pub node_us_per_request: f64,
    /// Processor time of nodes for each token that an engine generated,
    /// microseconds.
    pub node_us_per_token: f64,
    /// Resident memory of the largest node at the end, bytes.
    pub largest_node_bytes: u64,
    /// Cores that all control machines used.
    pub control_cores: f64,
    /// Cores that all stand-in workers used.
    pub worker_cores: f64,
}

impl PhaseFigures {
    /// Works the figures of a phase out.
    pub fn of(notes: &PhaseNotes<'_>) -> Self {
        let seconds = notes.seconds();
        let window = notes.window.as_secs_f64();
        let short = || {
            notes
                .online
                .iter()
                .filter(|one| one.kind == OnlineKind::Short)
        };
        let long = notes
            .online
            .iter()
            .filter(|one| one.kind == OnlineKind::Long);
        let gaps = || {
            notes
                .online
                .iter()
                .flat_map(|one| one.gaps_us.iter().copied())
        };
        let first_tokens = || short().filter_map(|one| one.first_token_us);
        let delivered: u64 = notes.online.iter().map(|one| u64::from(one.tokens)).sum();
        let items = notes.completed_items();
        let lines = notes.lines();
        let runs = PhaseRuns::of(&lines);
        Self {
            phase: notes.phase,
            seconds,
            online: EndCounts::of(short(), LATE_FIRST_TOKEN_US),
            first_token_ms: TailQuantiles::of_microseconds(first_tokens()),
            long_first_token_ms: TailQuantiles::of_microseconds(
                long.filter_map(|one| one.first_token_us),
            ),
            between_tokens_ms: TailQuantiles::of_microseconds(gaps().map(u64::from)),
            first_token_in_bound: share(first_tokens().map(|one| one <= LATE_FIRST_TOKEN_US)),
            gaps_in_bound: share(gaps().map(|gap| gap <= LATE_GAP_US)),
            first_token_p99_over_time: tail_over_time(short(), notes.started_us),
            online_tokens_per_second: delivered as f64 / window,
            batch_items_per_second: items as f64 / window,
            batch_tokens_per_second: (items * u64::from(notes.batch_answer_tokens)) as f64 / window,
            online_prefill_tokens_per_second: notes.online_prefill() / window,
            busy_share: notes.busy_share(),
            capacity_share: notes.generated() / seconds / notes.nominal_tokens_per_second,
            yield_ms: TailQuantiles::of_microseconds(yield_times(&lines)),
            wasted_tokens: runs.wasted_tokens,
            retries: runs.retries + notes.retries_by_kit,
            processes: notes.process_figures(),
            samples: notes.samples.clone(),
            failures: None,
            roles: None,
        }
    }
}

/// What the runs of a phase say about waste.
struct PhaseRuns {
    wasted_tokens: u64,
    retries: u64,
}

impl PhaseRuns {
    fn of(lines: &[LedgerLine]) -> Self {
        let index = LedgerIndex::new(lines);
        let mut wasted_tokens = 0;
        let mut runs_of: HashMap<&str, u64> = HashMap::new();
        for (content, run) in index.all() {
            wasted_tokens += wasted(run);
            *runs_of.entry(content).or_default() += 1;
        }
        Self {
            wasted_tokens,
            retries: runs_of.values().map(|runs| runs - 1).sum(),
        }
    }
}

/// Tokens of a run that nobody got, or that were computed again.
fn wasted(run: &Run) -> u64 {
    let recomputed = u64::from(run.recomputed_tokens);
    match run.end {
        Some(RunEnd::Cancelled) => recomputed + u64::from(run.generated - run.continue_from),
        Some(RunEnd::Finished) | None => recomputed,
    }
}

/// Share of those that hold; 1 when there are none.
fn share(holds: impl Iterator<Item = bool>) -> f64 {
    let (mut all, mut good) = (0_u64, 0_u64);
    for one in holds {
        all += 1;
        good += u64::from(one);
    }
    match all {
        0 => 1.0,
        _ => good as f64 / all as f64,
    }
}

fn tail_over_time<'a>(
    records: impl Iterator<Item = &'a OnlineRecord>,
    started_us: u64,
) -> Vec<TimedTail> {
    let mut bins: Vec<Vec<u64>> = Vec::new();
    for record in records {
        let Some(time) = record.first_token_us else {
            continue;
        };
        let bin = (record.due_us.saturating_sub(started_us) / BIN_US) as usize;
        if bins.len() <= bin {
            bins.resize(bin + 1, Vec::new());
        }
        bins[bin].push(time);
    }
    let bins = bins.into_iter().enumerate();
    bins.filter(|(_, times)| !times.is_empty())
        .map(|(bin, times)| TimedTail {
            at_seconds: bin as f64 * BIN_US as f64 / 1e6,
            p99_ms: TailQuantiles::of_microseconds(times).p99,
        })
        .collect()
}
