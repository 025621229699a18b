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

async fn fail_workers(
    launcher: &Launcher,
    standins: &mut StandIns,
    plan: FailurePlan,
    start: Instant,
) -> anyhow::Result<(Vec<Injected>, LostUsage)> {
    let mut lost = LostUsage::default();
    let killed = kill_worker(launcher, standins, plan.killed, start, &mut lost).await?;
    let left = let_worker_leave(launcher, standins, plan.leaving, start, &mut lost).await?;
    Ok((vec![killed, left], lost))
}

async fn kill_worker(
    launcher: &Launcher,
    standins: &mut StandIns,
    failure: PlannedFailure,
    start: Instant,
    lost: &mut LostUsage,
) -> anyhow::Result<Injected> {
    let index = failure.subject;
    sleep_until(start + failure.at).await;
    note_lost(standins, index, lost).await?;
    let at_us = unix_us();
    standins.workers[index].process.signal(Signal::Kill)?;
    sleep(failure.lasts).await;
    standins.workers[index].restart(launcher)?;
    standins.await_worker(index).await?;
    Ok(Injected {
        kind: failure.kind,
        subject: standins.workers[index].place.name.clone(),
        at_us,
        healed_us: unix_us(),
        sign_us: at_us,
    })
}

/// The list says that it leaves; only its replacement stops the process.
async fn let_worker_leave(
    launcher: &Launcher,
    standins: &mut StandIns,
    failure: PlannedFailure,
    start: Instant,
    lost: &mut LostUsage,
) -> anyhow::Result<Injected> {
    let index = failure.subject;
    sleep_until(start + failure.at).await;
    let worker = &standins.workers[index];
    standins.list_worker(worker, MachineState::Leaving).await?;
    let at_us = unix_us();
    sleep(failure.lasts).await;
    note_lost(standins, index, lost).await?;
    standins.workers[index].process.stop(WORKER_STOP).await?;
    let healed_us = unix_us();
    standins.workers[index].restart(launcher)?;
    standins.await_worker(index).await?;
    let worker = &standins.workers[index];
    standins.list_worker(worker, MachineState::Live).await?;
    Ok(Injected {
        kind: failure.kind,
        subject: worker.place.name.clone(),
        at_us,
        healed_us,
        sign_us: at_us + PLATFORM_LAG.as_micros() as u64,
    })
}

async fn note_lost(standins: &StandIns, index: usize, lost: &mut LostUsage) -> anyhow::Result<()> {
    let usage = standins.usage_of(index).await;
    crate::fleet::standins::add_usage(&mut lost.engines, &usage);
    let process = standins.workers[index].process.id();
    lost.processes.workers.add(&Usage::of_process(process)?);
    Ok(())
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
