//! Brings the planned failures about in a running fleet.

use std::time::Duration;

use anyhow::Context;
use tokio::time::{sleep, sleep_until, Instant};

use super::plan::{FailureKind, FailurePlan, PlannedFailure};
use crate::bench::meter::ProcessUsage;
use crate::check::{KilledWorker, LeavingWorker};
use crate::engine::messages::EngineUsage;
use crate::fleet::launcher::Launcher;
use crate::fleet::pinerill::{PinerillFleet, ZoneCut};
use crate::fleet::process::Signal;
use crate::fleet::standins::StandIns;
use crate::ledger::unix_us;
use crate::rehearsal::Rehearsal;
use crate::scale::usage::Usage;
use crate::standin::platform::MachineState;

/// Lag of the platform list, as the stand-in has it by default.
const PLATFORM_LAG: Duration = Duration::from_secs(1);
/// Longest planned stop of a worker.
const WORKER_STOP: Duration = Duration::from_secs(30);

/// A failure that was brought about.
#[derive(Clone, Debug)]
pub struct Injected {
    /// What failed.
    pub kind: FailureKind,
    /// Name of the worker, node or zone.
    pub subject: String,
    /// When, Unix time in microseconds.
    pub at_us: u64,
    /// When it was healed or replaced, Unix time in microseconds.
    pub healed_us: u64,
    /// When it could be seen first, Unix time in microseconds: a leaving
    /// worker on the platform list, which lags.
    pub sign_us: u64,
}

impl Injected {
    /// The killed worker as the checks want it.
    pub fn killed(&self) -> Option<KilledWorker> {
        (self.kind == FailureKind::WorkerKilled).then(|| KilledWorker {
            worker: self.subject.clone(),
            at_us: self.at_us,
        })
    }

    /// The leaving worker as the checks want it.
    pub fn leaving(&self) -> Option<LeavingWorker> {
        (self.kind == FailureKind::WorkerLeaving).then(|| LeavingWorker {
            worker: self.subject.clone(),
            sign_us: self.sign_us,
            back_us: Some(self.healed_us),
        })
    }
}

/// What processes that ended had done until then; they start again from zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostUsage {
    /// Work of their engines.
    pub engines: EngineUsage,
    /// What the processes had used.
    pub processes: ProcessUsage,
}

/// Brings all failures about and heals them; returns when all are healed.
///
/// # Errors
/// When a process does not end or start as it should.
pub async fn inject(
    rehearsal: &mut Rehearsal,
    plan: FailurePlan,
    start: Instant,
) -> anyhow::Result<(Vec<Injected>, LostUsage)> {
    let zone = rehearsal.preset.zones[plan.cut.subject];
    let relays = rehearsal.fleet.relays.as_ref();
    let relays = relays.context("this fleet has no relays between zones")?;
    let cut = cut_zone(relays.zone_cut(zone), plan.cut, zone, start);
    let workers = fail_workers(&rehearsal.launcher, &mut rehearsal.standins, plan, start);
    let stopped = stop_node(&mut rehearsal.fleet, plan.stopped, start);
    let (workers, stopped, cut) = tokio::join!(workers, stopped, cut);
    let (mut injected, mut lost) = workers.context("failing workers")?;
    let (stopped, node_usage) = stopped.context("stopping a node")?;
    injected.extend([stopped, cut.context("cutting a zone off")?]);
    lost.processes.nodes = node_usage;
    Ok((injected, lost))
}

/// The stand-ins while their workers fail, and what failing cost them.
struct FailingWorkers<'a> {
    launcher: &'a Launcher,
    standins: &'a mut StandIns,
    start: Instant,
    lost: LostUsage,
}

impl FailingWorkers<'_> {
    async fn kill(&mut self, failure: PlannedFailure) -> anyhow::Result<Injected> {
        let index = failure.subject;
        sleep_until(self.start + failure.at).await;
        self.note_lost(index).await?;
        let at_us = unix_us();
        self.standins.workers[index].process.signal(Signal::Kill)?;
        sleep(failure.lasts).await;
        self.restart(index).await?;
        Ok(Injected {
            kind: failure.kind,
            subject: self.standins.workers[index].place.name.clone(),
            at_us,
            healed_us: unix_us(),
            sign_us: at_us,
        })
    }

    /// The list says that it leaves; only its replacement stops the process.
    async fn let_leave(&mut self, failure: PlannedFailure) -> anyhow::Result<Injected> {
        let index = failure.subject;
        sleep_until(self.start + failure.at).await;
        self.list(index, MachineState::Leaving).await?;
        let at_us = unix_us();
        sleep(failure.lasts).await;
        self.note_lost(index).await?;
        let worker = &mut self.standins.workers[index];
        worker.process.stop(WORKER_STOP).await?;
        let healed_us = unix_us();
        self.restart(index).await?;
        self.list(index, MachineState::Live).await?;
        Ok(Injected {
            kind: failure.kind,
            subject: self.standins.workers[index].place.name.clone(),
            at_us,
            healed_us,
            sign_us: at_us + PLATFORM_LAG.as_micros() as u64,
        })
    }

    /// Starts the worker's replacement and waits until it is ready.
    async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        self.standins.workers[index].restart(self.launcher)?;
        self.standins.await_worker(index).await
    }

    async fn list(&self, index: usize, state: MachineState) -> anyhow::Result<()> {
        let worker = &self.standins.workers[index];
        self.standins.list_worker(worker, state).await
    }

    async fn note_lost(&mut self, index: usize) -> anyhow::Result<()> {
        let usage = self.standins.usage_of(index).await;
        crate::fleet::standins::add_usage(&mut self.lost.engines, &usage);
        let process = self.standins.workers[index].process.id();
        self.lost
            .processes
            .workers
            .add(&Usage::of_process(process)?);
        Ok(())
    }
}

async fn fail_workers(
    launcher: &Launcher,
    standins: &mut StandIns,
    plan: FailurePlan,
    start: Instant,
) -> anyhow::Result<(Vec<Injected>, LostUsage)> {
    let mut workers = FailingWorkers {
        launcher,
        standins,
        start,
        lost: LostUsage::default(),
    };
    let killed = workers.kill(plan.killed).await?;
    let left = workers.let_leave(plan.leaving).await?;
    Ok((vec![killed, left], workers.lost))
}

async fn stop_node(
    fleet: &mut PinerillFleet,
    failure: PlannedFailure,
    start: Instant,
) -> anyhow::Result<(Injected, Usage)> {
    let index = failure.subject;
    sleep_until(start + failure.at).await;
    let usage = Usage::of_process(fleet.nodes[index].process.id())?;
    let at_us = unix_us();
    fleet.stop_node(index).await?;
    fleet.restart_node(index).await?;
    fleet.await_nodes().await?;
    let injected = Injected {
        kind: failure.kind,
        subject: fleet.nodes[index].settings.name.to_string(),
        at_us,
        healed_us: unix_us(),
        sign_us: at_us,
    };
    Ok((injected, usage))
}

async fn cut_zone(
    cut: ZoneCut,
    failure: PlannedFailure,
    zone: &str,
    start: Instant,
) -> anyhow::Result<Injected> {
    sleep_until(start + failure.at).await;
    let at_us = unix_us();
    cut.begin().await?;
    sleep(failure.lasts).await;
    cut.end().await?;
    Ok(Injected {
        kind: failure.kind,
        subject: zone.to_owned(),
        at_us,
        healed_us: unix_us(),
        sign_us: at_us,
    })
}
