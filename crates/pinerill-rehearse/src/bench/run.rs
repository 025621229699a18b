//! Runs the phases one after the other against the same fleet.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{ensure, Context};
use tokio::time::Instant;

use super::batch_load::BatchLoad;
use super::compare::Comparison;
use super::figures::{BenchFigures, MachineFigures, PhaseFigures};
use super::meter::{await_idle, Meter, ProcessUsage};
use super::notes::PhaseNotes;
use super::phase::{Phase, Sender};
use super::BenchArguments;
use crate::check::{check_history, History, JobHistory, LedgerIndex};
use crate::engine::parameters::EngineParameters;
use crate::fleet::launcher::Launcher;
use crate::ledger::unix_us;
use crate::load::content::ContentContext;
use crate::load::dispatcher::{DispatchPolicy, Dispatcher, EngineEntry};
use crate::load::engine_target::EngineTarget;
use crate::load::jobs::{BatchOutcome, BatchQueue, BatchRunners};
use crate::load::online::{self, OnlineTarget};
use crate::load::profile::{load_profile, LoadProfile};
use crate::load::record::OnlineRecord;
use crate::load::schedule::{heaps, online_arrivals, Heap};
use crate::rehearsal::{Progress, Rehearsal, RehearsalOptions};

/// Length of the load before the first phase, so that connections are open
/// and shared prompts are cached.
const WARM_UP: Duration = Duration::from_secs(3);
/// Longest time for one online answer.
const ANSWER_TIME: Duration = Duration::from_secs(40);

/// A fleet and the load that it gets.
struct Bench {
    rehearsal: Rehearsal,
    profile: LoadProfile,
    parameters: EngineParameters,
    length: Duration,
    seed: u64,
    history: History,
}

/// What the batch side of a phase came to.
#[derive(Default)]
struct BatchPart {
    jobs: Vec<JobHistory>,
    kit: BatchOutcome,
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
    let options = RehearsalOptions::default();
    let rehearsal = Rehearsal::start(launcher, preset, &options, &progress).await?;
    let mut bench = Bench {
        rehearsal,
        profile: load_profile(arguments.preset),
        parameters: EngineParameters::default(),
        length: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        history: History::default(),
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
    let verdict = check_history(&bench.history, &ledger);
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
    all.filter(|phase| phases.is_empty() || phases.contains(phase))
        .collect()
}

impl Bench {
    /// Tokens that all engines generate a second with all slots decoding.
    fn nominal_rate(&self) -> f64 {
        self.rehearsal.preset.engines() as f64 * self.parameters.full_decode_rate()
    }

    fn content(&self, tag: &str) -> ContentContext {
        self.rehearsal.engine_content(tag)
    }

    async fn warm_up(&mut self) -> anyhow::Result<()> {
        for (tag, phase) in [("warm-1", Phase::OnlineOnly), ("warm-2", Phase::Direct)] {
            let target = self.online_target(phase);
            let records = self.run_online(target, tag, WARM_UP).await;
            ensure!(!records.is_empty(), "no online request in the warm-up");
        }
        await_idle(&self.rehearsal.standins).await
    }

    async fn run_phase(&mut self, phase: Phase) -> anyhow::Result<PhaseFigures> {
        let usage_before = self.rehearsal.standins.usage().await;
        let processes_before = ProcessUsage::read(&self.rehearsal)?;
        let meter = Meter::start(&self.rehearsal.standins);
        let started_us = unix_us();
        let (online, batch) = self.load(phase).await?;
        let ended_us = unix_us();
        let samples = meter.stop();
        let usage_after = self.rehearsal.standins.usage().await;
        let processes_after = ProcessUsage::read(&self.rehearsal)?;
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
        let figures = PhaseFigures::of(&notes);
        let wrong = &batch.kit.wrong;
        ensure!(wrong.is_empty(), "wrong answers to batch items: {wrong:?}");
        self.history.online.extend(online);
        self.history.jobs.extend(batch.jobs);
        Ok(figures)
    }

    /// Sends the load of a phase for its length.
    async fn load(&self, phase: Phase) -> anyhow::Result<(Vec<OnlineRecord>, BatchPart)> {
        let online = async {
            match phase.has_online() {
                true => {
                    let target = self.online_target(phase);
                    self.run_online(target, phase.name(), self.length).await
                }
                false => Vec::new(),
            }
        };
        let batch = async {
            match (phase.has_batch(), self.sender(phase)) {
                (false, _) => Ok(BatchPart::default()),
                (true, Sender::Pinerill) => self.submit_jobs(phase).await,
                (true, Sender::Kit(policy)) => Ok(self.dispatch_items(phase, policy).await),
            }
        };
        let (online, batch) = tokio::join!(online, batch);
        Ok((online, batch?))
    }

    async fn run_online(
        &self,
        target: Arc<dyn OnlineTarget>,
        tag: &str,
        length: Duration,
    ) -> Vec<OnlineRecord> {
        let profile = Arc::new(self.profile.online.clone());
        let arrivals = online_arrivals(&profile, length, self.seed);
        let content = Arc::new(self.content(tag));
        let start = Instant::now();
        online::run(target, content, profile, arrivals, start, ANSWER_TIME).await
    }

    fn sender(&self, phase: Phase) -> Sender {
        phase.sender(self.rehearsal.preset.engines())
    }

    fn online_target(&self, phase: Phase) -> Arc<dyn OnlineTarget> {
        match self.sender(phase) {
            Sender::Pinerill => {
                let service = self.rehearsal.preset.service;
                Arc::new(self.rehearsal.online_target(service))
            }
            Sender::Kit(policy) => self.engine_target(policy),
        }
    }

    fn engine_target(&self, policy: DispatchPolicy) -> Arc<EngineTarget> {
        let workers = &self.rehearsal.standins.workers;
        let engines = workers.iter().flat_map(|worker| {
            let numbers = 0..worker.place.engines;
            numbers.map(|number| EngineEntry::new(worker.address, number))
        });
        Arc::new(EngineTarget {
            client: self.rehearsal.client().clone(),
            dispatcher: Arc::new(Dispatcher::new(engines.collect(), policy)),
            adapter: String::new(),
            model: self.rehearsal.preset.model.to_owned(),
        })
    }

    fn heaps(&self) -> Vec<Heap> {
        let rate = self.nominal_rate();
        heaps(&self.profile.batch, self.length, rate, self.seed)
    }

    fn batch_load(&self, phase: Phase) -> Arc<BatchLoad> {
        Arc::new(BatchLoad {
            client: self.rehearsal.job_client(),
            content: self.content(phase.name()),
            profile: self.profile.batch.clone(),
        })
    }

    async fn submit_jobs(&self, phase: Phase) -> anyhow::Result<BatchPart> {
        let start = Instant::now();
        let load = self.batch_load(phase);
        let jobs = load.run(self.heaps(), start, start + self.length).await?;
        Ok(BatchPart {
            jobs,
            ..BatchPart::default()
        })
    }

    /// Sends items by the kit's own dispatcher: as many at each engine as it
    /// has slots, since the kit knows no better window.
    async fn dispatch_items(&self, phase: Phase, policy: DispatchPolicy) -> BatchPart {
        let target = self.engine_target(policy);
        let queue = Arc::new(BatchQueue::default());
        let runners = BatchRunners::start(&target, &queue, self.parameters.slots as usize);
        let content = self.content(phase.name());
        let start = Instant::now();
        for (number, heap) in self.heaps().into_iter().enumerate() {
            tokio::time::sleep_until(start + heap.at).await;
            let name = format!("heap-{number}");
            let items = 0..heap.jobs.iter().sum::<usize>();
            let items = items.map(|item| content.batch_item(&self.profile.batch, &name, item));
            queue.add(items.collect());
        }
        tokio::time::sleep_until(start + self.length).await;
        let kit = queue.outcome();
        runners.stop().await;
        BatchPart {
            kit,
            ..BatchPart::default()
        }
    }

    async fn finish_batch(&self, phase: Phase, mut batch: BatchPart) -> anyhow::Result<BatchPart> {
        self.batch_load(phase).finish(&mut batch.jobs).await?;
        Ok(batch)
    }
}
