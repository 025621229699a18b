//! Sends the load of each phase.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::time::Instant;

use super::batch_load::BatchLoad;
use super::failures::{inject, plan_failures, FleetSize, Injected, LostUsage};
use super::phase::{Phase, Sender};
use super::run::Bench;
use crate::check::JobHistory;
use crate::load::dispatcher::{DispatchPolicy, Dispatcher, EngineEntry};
use crate::load::engine_target::EngineTarget;
use crate::load::jobs::{BatchOutcome, BatchQueue, BatchRunners};
use crate::load::online::{self, OnlineTarget};
use crate::load::profile::OnlineProfile;
use crate::load::record::OnlineRecord;
use crate::load::schedule::{heaps, online_arrivals, Heap};

/// Longest time for one online answer.
const ANSWER_TIME: Duration = Duration::from_secs(40);

/// What a phase sent, and what became of it.
pub(super) struct Sent {
    /// Online requests.
    pub(super) online: Vec<OnlineRecord>,
    /// Batch.
    pub(super) batch: BatchPart,
    /// What failed meanwhile.
    pub(super) injected: Vec<Injected>,
    /// What processes that ended had done.
    pub(super) lost: LostUsage,
}

/// What the batch side of a phase came to.
#[derive(Default)]
pub(super) struct BatchPart {
    /// Jobs through pinerill.
    pub(super) jobs: Vec<JobHistory>,
    /// Items that the kit sent itself.
    pub(super) kit: BatchOutcome,
}

impl Bench {
    /// Sends the load of a phase for its length.
    pub(super) async fn load(&mut self, phase: Phase) -> anyhow::Result<Sent> {
        if phase.has_failures() {
            return self.load_with_failures(phase).await;
        }
        let start = Instant::now();
        let online = async {
            match phase.has_online() {
                true => {
                    let target = self.online_target(phase);
                    let run = self.run_online(target, phase, phase.name(), self.length, start);
                    run.await
                }
                false => Vec::new(),
            }
        };
        let batch = async {
            match (phase.has_batch(), self.sender(phase)) {
                (false, _) => Ok(BatchPart::default()),
                (true, Sender::Pinerill) => self.submit_jobs(phase, start).await,
                (true, Sender::Kit(policy)) => Ok(self.dispatch_items(phase, policy).await),
            }
        };
        let (online, batch) = tokio::join!(online, batch);
        Ok(Sent {
            online,
            batch: batch?,
            injected: Vec::new(),
            lost: LostUsage::default(),
        })
    }

    /// The load of `mixed` behind a load balancer, while things fail.
    async fn load_with_failures(&mut self, phase: Phase) -> anyhow::Result<Sent> {
        let start = Instant::now();
        let service = self.rehearsal.preset.service;
        let target = Arc::new(self.rehearsal.balanced_target(service));
        let online = self.run_online(target, phase, phase.name(), self.length, start);
        let batch = self.submit_jobs(phase, start);
        let size = FleetSize {
            workers: self.rehearsal.preset.workers.len(),
            zones: self.rehearsal.preset.zones.len(),
        };
        let plan = plan_failures(size, self.length, self.seed);
        let failures = inject(&mut self.rehearsal, plan, start);
        let (online, batch, failures) = tokio::join!(online, batch, failures);
        let (injected, lost) = failures.context("bringing failures about")?;
        Ok(Sent {
            online,
            batch: batch?,
            injected,
            lost,
        })
    }

    pub(super) fn run_online(
        &self,
        target: Arc<dyn OnlineTarget>,
        phase: Phase,
        tag: &str,
        length: Duration,
        start: Instant,
    ) -> impl Future<Output = Vec<OnlineRecord>> + 'static {
        let profile = Arc::new(self.online_profile(phase));
        let arrivals = online_arrivals(&profile, length, self.seed);
        let content = Arc::new(self.content(tag));
        online::run(target, content, profile, arrivals, start, ANSWER_TIME)
    }

    /// The preset's load, with many long prompts when roles are compared.
    fn online_profile(&self, phase: Phase) -> OnlineProfile {
        let mut profile = self.profile.online.clone();
        if phase.has_long_prompts() {
            profile.long_per_second = self.long_per_second;
        }
        profile
    }

    fn sender(&self, phase: Phase) -> Sender {
        phase.sender(self.rehearsal.preset.engines())
    }

    pub(super) fn online_target(&self, phase: Phase) -> Arc<dyn OnlineTarget> {
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

    fn submit_jobs(
        &self,
        phase: Phase,
        start: Instant,
    ) -> impl Future<Output = anyhow::Result<BatchPart>> + 'static {
        let load = self.batch_load(phase);
        let heaps = self.heaps();
        let end = start + self.length;
        async move {
            let jobs = load.run(heaps, start, end).await?;
            Ok(BatchPart {
                jobs,
                ..BatchPart::default()
            })
        }
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

    pub(super) async fn finish_batch(
        &self,
        phase: Phase,
        mut batch: BatchPart,
    ) -> anyhow::Result<BatchPart> {
        self.batch_load(phase).finish(&mut batch.jobs).await?;
        Ok(batch)
    }
}
