//! The fleet of one scenario, its load, and the notes that are checked.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use super::load::{batch_profile, online_profile, preset};
use super::report::{Outcomes, Played};
use crate::check::{
    check_history, Finding, History, JobHistory, LedgerIndex, Run, Verdict, CANCEL_GRACE,
};
use crate::engine::messages::Priority;
use crate::fleet::launcher::Launcher;
use crate::ledger::unix_us;
use crate::load::content::BatchItem;
use crate::load::job_client::{job_lines, JobClient};
use crate::load::online;
use crate::load::profile::OnlineProfile;
use crate::load::record::OnlineRecord;
use crate::load::schedule::online_arrivals;
use crate::rehearsal::{Progress, Rehearsal, RehearsalOptions};

/// Longest time for one online answer.
const ANSWER_TIME: Duration = Duration::from_secs(40);
/// Longest time until a job is acknowledged, and for reading it.
const JOB_CALL_TIME: Duration = Duration::from_secs(30);
/// Longest time until a job has ended: leases of a lost node run out first.
const JOB_TIME: Duration = Duration::from_secs(120);
/// Longest time until a condition holds.
const CONDITION_TIME: Duration = Duration::from_secs(40);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The fleet of one scenario.
pub struct Stage {
    /// The fleet.
    pub rehearsal: Rehearsal,
    /// What is checked at the end.
    pub history: History,
    /// What the scenario itself checked.
    pub findings: Vec<Finding>,
    /// Operators' commands and other operations besides requests and items.
    pub operations: u64,
    /// Progress.
    pub progress: Progress,
    random: Pcg64,
    seed: u64,
    /// Contents of each load differ from those of all others.
    loads_started: usize,
    loads: Vec<JoinHandle<Vec<OnlineRecord>>>,
}

impl Stage {
    /// Starts the fleet.
    ///
    /// # Errors
    /// When it does not get ready.
    pub async fn start(
        launcher: Arc<Launcher>,
        options: &RehearsalOptions,
        seed: u64,
        progress: Progress,
    ) -> anyhow::Result<Self> {
        let rehearsal = Rehearsal::start(launcher, preset(), options, &progress).await?;
        Ok(Self {
            rehearsal,
            history: History::default(),
            findings: Vec::new(),
            operations: 0,
            progress,
            random: Pcg64::seed_from_u64(seed),
            seed,
            loads_started: 0,
            loads: Vec::new(),
        })
    }

    /// Prints a step.
    pub fn step(&self, text: impl AsRef<str>) {
        self.progress.step(text);
    }

    /// Sends online load at all nodes for `length`, in the background.
    pub fn start_online(&mut self, length: Duration) {
        self.start_online_of(online_profile(), length);
    }

    /// The same with a load of another shape.
    pub fn start_online_of(&mut self, profile: OnlineProfile, length: Duration) {
        let number = self.loads_started;
        self.loads_started += 1;
        let seed = self.seed + number as u64;
        let arrivals = online_arrivals(&profile, length, seed);
        let service = self.rehearsal.preset.service;
        let target = Arc::new(self.rehearsal.online_target(service));
        let content = Arc::new(self.rehearsal.engine_content(&format!("online-{number}")));
        let load = online::run(
            target,
            content,
            Arc::new(profile),
            arrivals,
            Instant::now(),
            ANSWER_TIME,
        );
        self.loads.push(tokio::spawn(load));
    }

    /// Waits until all online requests were answered.
    ///
    /// # Errors
    /// When a load panicked.
    pub async fn finish_online(&mut self) -> anyhow::Result<()> {
        for load in self.loads.drain(..) {
            let records = load.await.context("online load")?;
            self.history.online.extend(records);
        }
        Ok(())
    }

    /// Items of a job that nobody has submitted.
    pub fn items(&self, name: &str, count: usize) -> Vec<BatchItem> {
        let content = self.rehearsal.engine_content("batch");
        let profile = batch_profile();
        (0..count)
            .map(|number| content.batch_item(&profile, name, number))
            .collect()
    }

    /// The body of a job with these items.
    pub fn lines(&self, items: &[BatchItem]) -> String {
        job_lines(self.rehearsal.preset.service, items)
    }

    /// The tenant's client.
    pub fn jobs(&self) -> JobClient {
        self.rehearsal.job_client()
    }

    /// Submits a job until it is acknowledged. Returns its identifier.
    ///
    /// # Errors
    /// When it is refused or not acknowledged in time.
    pub async fn submit(&mut self, name: &str, count: usize) -> anyhow::Result<String> {
        let items = self.items(name, count);
        let lines = self.lines(&items);
        let client = self.jobs();
        let view = client
            .submit_until_acknowledged(name, &lines, JOB_CALL_TIME)
            .await?;
        let mut job = JobHistory::new(name, &items);
        job.id = Some(view.id.clone());
        self.history.jobs.push(job);
        Ok(view.id)
    }

    /// Waits until all jobs have ended and reads their results.
    ///
    /// # Errors
    /// When one does not end or can't be read in time.
    pub async fn finish_jobs(&mut self) -> anyhow::Result<()> {
        let client = self.jobs();
        for job in &mut self.history.jobs {
            let Some(id) = &job.id else {
                continue;
            };
            let view = client.await_end(id, JOB_TIME).await?;
            job.state = Some(view.state);
            job.readings.push(client.output(id, JOB_CALL_TIME).await?);
        }
        Ok(())
    }

    /// Reads what results there are of all jobs.
    ///
    /// # Errors
    /// When they can't be read in time.
    pub async fn read_jobs(&mut self) -> anyhow::Result<()> {
        let client = self.jobs();
        for job in &mut self.history.jobs {
            if let Some(id) = &job.id {
                job.readings.push(client.output(id, JOB_CALL_TIME).await?);
            }
        }
        Ok(())
    }

    /// Sleeps between `shortest` and `longest`, as the seed says.
    pub async fn pause(&mut self, shortest: Duration, longest: Duration) {
        let time = self.random.gen_range(shortest..=longest);
        sleep(time).await;
    }

    /// A number below `count`, as the seed says.
    pub fn pick(&mut self, count: usize) -> usize {
        self.random.gen_range(0..count)
    }

    /// What ran so far.
    ///
    /// # Errors
    /// When a ledger can't be read.
    pub fn ledger(&self) -> anyhow::Result<LedgerIndex> {
        Ok(LedgerIndex::new(&self.rehearsal.standins.ledger()?))
    }

    /// Waits until some batch run that has not ended fulfils `wanted`.
    ///
    /// # Errors
    /// When none does in time.
    pub async fn await_batch_run(&self, wanted: impl Fn(&Run) -> bool) -> anyhow::Result<Run> {
        let end = Instant::now() + CONDITION_TIME;
        while Instant::now() < end {
            let ledger = self.ledger()?;
            let mut open = ledger.all().filter(|(_, run)| {
                run.end.is_none() && run.priority == Priority::Batch && wanted(run)
            });
            if let Some((_, run)) = open.next() {
                return Ok(run.clone());
            }
            sleep(LOOK_PAUSE).await;
        }
        bail!("no batch item ran within {CONDITION_TIME:?}")
    }

    /// Notes that the scenario checked something itself.
    pub fn expect(&mut self, check: &'static str, holds: bool, subject: &str, detail: String) {
        let known = self.findings.iter().position(|one| one.check == check);
        let index = known.unwrap_or_else(|| {
            self.findings.push(Finding::new(check));
            self.findings.len() - 1
        });
        let finding = &mut self.findings[index];
        finding.checked += 1;
        if !holds {
            finding.violate(subject, detail);
        }
    }

    /// Waits for all load, stops everything in a planned way and checks.
    ///
    /// # Errors
    /// When something does not end in time.
    pub async fn end(mut self) -> anyhow::Result<Played> {
        self.finish_online().await?;
        self.finish_jobs().await?;
        self.await_cancel_grace().await;
        self.step("planned stop, then checks");
        self.rehearsal.stop().await.context("planned stop")?;
        let mut verdict = check_history(&self.history, &self.ledger()?);
        verdict.add(Verdict::new(self.findings));
        let items = self.history.jobs.iter().map(|job| job.items.len() as u64);
        let requests = self.history.online.len() as u64;
        Ok(Played {
            operations: self.operations + requests + items.sum::<u64>(),
            outcomes: Outcomes::of(&self.history),
            verdict,
        })
    }

    /// What starts after a cancel would show only after the grace time.
    async fn await_cancel_grace(&self) {
        let cancels = self.history.jobs.iter().filter_map(|job| job.cancel);
        let Some(last) = cancels.map(|cancel| cancel.answered_us).max() else {
            return;
        };
        let due = last + 2 * CANCEL_GRACE.as_micros() as u64;
        sleep(Duration::from_micros(due.saturating_sub(unix_us()))).await;
    }
}
