//! Runs the phases one after the other against the same fleet.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{ensure, Context};
use pinerill_types::bundle::WorkPlacement;
use tokio::time::Instant;

use super::compare::Comparison;
use super::failures::{cut_requests, FailureFigures, FailureNotes, Injected};
use super::figures::{BenchFigures, MachineFigures, PhaseFigures};
use super::loading::Sent;
use super::meter::{await_idle, Meter, ProcessUsage};
use super::notes::PhaseNotes;
use super::phase::Phase;
use super::roles::{split_placement, take_roles, RoleFigures};
use super::BenchArguments;
use crate::check::{check_history, History, Indeterminate, LedgerIndex, Verdict};
use crate::engine::parameters::EngineParameters;
use crate::fleet::launcher::Launcher;
use crate::fleet::standins::add_usage;
use crate::ledger::unix_us;
use crate::load::content::ContentContext;
use crate::load::profile::{load_profile, LoadProfile};
use crate::rehearsal::{Progress, Rehearsal, RehearsalOptions};

/// Length of the load before the first phase, so that connections are open
/// and shared prompts are cached.
const WARM_UP: Duration = Duration::from_secs(3);

/// A fleet and the load that it gets.
pub(super) struct Bench {
    pub(super) rehearsal: Rehearsal,
    pub(super) profile: LoadProfile,
    pub(super) parameters: EngineParameters,
    pub(super) length: Duration,
    pub(super) seed: u64,
    /// Long prompts a second when roles are compared.
    pub(super) long_per_second: f64,
    /// Roles of the engines when they are split.
    split: WorkPlacement,
    /// Of the phases in which nothing fails.
    history: History,
    /// Of the phase with failures.
    failed_history: History,
    /// Checks of single phases.
    verdict: Verdict,
}

/// Runs all phases that were asked for.
///
/// # Errors
/// When a step fails.
pub async fn run(
    launcher: Arc<Launcher>,
    arguments: &BenchArguments,
) -> anyhow::Result<BenchFigures> {
    let progress = Progress::start();
    let machine = MachineFigures::read()?;
    let preset = arguments.preset.preset();
    let engines = preset.engines();
    let options = RehearsalOptions::default();
    let rehearsal = Rehearsal::start(launcher, preset, &options, &progress).await?;
    let mut bench = Bench {
        rehearsal,
        profile: load_profile(arguments.preset),
        parameters: EngineParameters::default(),
        length: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        long_per_second: arguments.long_per_second,
        split: split_placement(engines, arguments.prefill_percent),
        history: History::default(),
        failed_history: History {
            indeterminate: Indeterminate::Allowed,
            ..History::default()
        },
        verdict: Verdict::default(),
    };
    progress.step("warming up");
    bench.warm_up().await?;
    let mut phases = Vec::new();
    for phase in chosen(&arguments.phases) {
        let seconds = arguments.seconds;
        progress.step(format!("phase {} ({seconds} s)", phase.name()));
        let figures = bench.run_phase(phase).await;
        phases.push(figures.with_context(|| format!("phase {}", phase.name()))?);
    }
    progress.step("planned stop, then checks");
    bench.rehearsal.stop().await.context("planned stop")?;
    let ledger = LedgerIndex::new(&bench.rehearsal.standins.ledger()?);
    let mut verdict = check_history(&bench.history, &ledger);
    verdict.add(check_history(&bench.failed_history, &ledger));
    verdict.add(bench.verdict.clone());
    Ok(BenchFigures {
        preset: bench.rehearsal.preset.name,
        seed: arguments.seed,
        seconds: arguments.seconds,
        machine,
        nominal_tokens_per_second: bench.nominal_rate(),
        comparison: Comparison::of(&phases, bench.nominal_rate(), &bench.parameters),
        phases,
        verdict,
    })
}

fn chosen(phases: &[Phase]) -> Vec<Phase> {
    let all = Phase::ALL.into_iter();
    let wanted = |phase: &Phase| match phases.is_empty() {
        true => phase.runs_by_default(),
        false => phases.contains(phase),
    };
    all.filter(wanted).collect()
}

impl Bench {
    /// Tokens that all engines generate a second with all slots decoding.
    pub(super) fn nominal_rate(&self) -> f64 {
        self.rehearsal.preset.engines() as f64 * self.parameters.full_decode_rate()
    }

    pub(super) fn content(&self, tag: &str) -> ContentContext {
        self.rehearsal.engine_content(tag)
    }

    async fn warm_up(&mut self) -> anyhow::Result<()> {
        for (tag, phase) in [("warm-1", Phase::OnlineOnly), ("warm-2", Phase::Direct)] {
            let target = self.online_target(phase);
            let run = self.run_online(target, phase, tag, WARM_UP, Instant::now());
            let records = run.await;
            ensure!(!records.is_empty(), "no online request in the warm-up");
        }
        await_idle(&self.rehearsal.standins).await
    }

    /// Runs a phase with the engines in its roles.
    async fn run_phase(&mut self, phase: Phase) -> anyhow::Result<PhaseFigures> {
        if phase != Phase::LongSplit {
            return self.measure_phase(phase).await;
        }
        take_roles(&mut self.rehearsal, self.split).await?;
        let figures = self.measure_phase(phase).await;
        take_roles(&mut self.rehearsal, WorkPlacement::default()).await?;
        figures
    }

    async fn measure_phase(&mut self, phase: Phase) -> anyhow::Result<PhaseFigures> {
        let usage_before = self.rehearsal.standins.usage().await;
        let processes_before = ProcessUsage::read(&self.rehearsal)?;
        let meter = Meter::start(&self.rehearsal.standins);
        let started_us = unix_us();
        let Sent {
            online,
            batch,
            injected,
            lost,
        } = self.load(phase).await?;
        let ended_us = unix_us();
        let samples = meter.stop();
        let mut usage_after = self.rehearsal.standins.usage().await;
        add_usage(&mut usage_after, &lost.engines);
        let mut processes_after = ProcessUsage::read(&self.rehearsal)?;
        processes_after.add_ended(&lost.processes);
        let batch = self.finish_batch(phase, batch).await?;
        await_idle(&self.rehearsal.standins).await?;
        let notes = PhaseNotes {
            phase,
            online: &online,
            batch_completed_by_kit: batch.kit.completed,
            retries_by_kit: batch.kit.retries,
            batch_answer_tokens: self.profile.batch.answer_tokens,
            window: self.length,
            started_us,
            ended_us,
            usage_before,
            usage_after,
            processes_before,
            processes_after,
            samples,
            ledger: self.rehearsal.standins.ledger()?,
            engines: self.rehearsal.preset.engines(),
            nominal_tokens_per_second: self.nominal_rate(),
        };
        let mut figures = PhaseFigures::of(&notes);
        if phase.has_long_prompts() {
            let prefill = match phase == Phase::LongSplit {
                true => self.split.prefill,
                false => 0,
            };
            figures.roles = Some(RoleFigures::of_phase(prefill, &notes));
        }
        let wrong = &batch.kit.wrong;
        ensure!(wrong.is_empty(), "wrong answers to batch items: {wrong:?}");
        if phase.has_failures() {
            let ledger = LedgerIndex::new(&notes.ledger);
            let notes = FailureNotes {
                online: &online,
                ledger: &ledger,
                injected: &injected,
                started_us,
            };
            figures.failures = Some(FailureFigures::of(&notes));
            self.verdict.findings.push(cut_requests(&notes));
        }
        let history = match phase.has_failures() {
            true => &mut self.failed_history,
            false => &mut self.history,
        };
        let leaving = injected.iter().filter_map(Injected::leaving);
        history.leaving.extend(leaving);
        history
            .killed
            .extend(injected.iter().filter_map(Injected::killed));
        history.online.extend(online);
        history.jobs.extend(batch.jobs);
        Ok(figures)
    }
}
