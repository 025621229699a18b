//! Two failures at once, and the same failure twice in a row.

use std::collections::HashSet;
use std::time::Duration;

use anyhow::{bail, Context};
use async_trait::async_trait;
use pinerill_wire::message::ReplicaRecord;
use tokio::time::{sleep, Instant};

use super::control::{
    await_all_reachable, change_without, check_no_revert, check_online_served, restart,
};
use super::workers::worker_named;
use crate::check::Indeterminate;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::process::Signal;

/// Items of each job.
const ITEMS: usize = 160;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// How often both fail.
const ROUNDS: usize = 2;
/// Bounds of the moment of the second failure after the first.
const EARLIEST: Duration = Duration::from_millis(50);
const LATEST: Duration = Duration::from_millis(600);
/// Longest time until another machine leads.
const ELECTION_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// A worker is killed with items in flight while the meta leader is frozen;
/// twice in a row.
pub struct WorkerKilledLeaderFrozen;

#[async_trait]
impl Scenario for WorkerKilledLeaderFrozen {
    fn name(&self) -> &'static str {
        "worker-killed-leader-frozen"
    }

    fn what(&self) -> &'static str {
        "a worker killed with items in flight while the meta leader is frozen, twice in a row"
    }

    fn defect(&self) -> Option<&'static str> {
        Some("batch-lost-run-counts-as-not-run=return")
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        stage.start_online(LOAD_TIME);
        for round in 0..ROUNDS {
            stage.submit(&format!("together-{round}"), ITEMS).await?;
            fail_together(stage, round).await?;
        }
        check_no_revert(stage).await
    }
}

async fn fail_together(stage: &mut Stage, round: usize) -> anyhow::Result<()> {
    let worker = await_once_only_run(stage).await?;
    let leader = stage.rehearsal.fleet.meta_leader().await?;
    let frozen = stage.rehearsal.fleet.control_named(&leader.name)?;
    stage.step(format!("freezing {}", leader.name));
    signal_control(stage, frozen, Signal::Stop)?;
    stage.pause(EARLIEST, LATEST).await;
    stage.step(format!("killing {worker}"));
    let index = worker_named(stage, &worker);
    let workers = &mut stage.rehearsal.standins.workers;
    workers[index].process.signal(Signal::Kill)?;
    change_without(stage, &format!("while-both-are-away-{round}")).await?;
    let launcher = &stage.rehearsal.launcher;
    let standins = &mut stage.rehearsal.standins;
    standins.workers[index].restart(launcher)?;
    standins.await_worker(index).await?;
    stage.step(format!("{worker} is back, {} goes on", leader.name));
    signal_control(stage, frozen, Signal::Continue)
}

/// Waits until an item runs that must not be repeated; returns its worker.
async fn await_once_only_run(stage: &Stage) -> anyhow::Result<String> {
    let items = stage.history.jobs.iter().flat_map(|job| job.items.iter());
    let once_only: HashSet<&str> = items
        .filter(|item| item.at_most_once)
        .map(|item| item.content.as_str())
        .collect();
    let end = Instant::now() + ELECTION_TIME;
    while Instant::now() < end {
        let ledger = stage.ledger()?;
        let mut open = ledger
            .all()
            .filter(|(content, run)| run.end.is_none() && once_only.contains(*content));
        if let Some((_, run)) = open.next() {
            return Ok(run.worker().to_owned());
        }
        sleep(LOOK_PAUSE).await;
    }
    bail!("no item that must not be repeated ran within {ELECTION_TIME:?}")
}

fn signal_control(stage: &mut Stage, index: usize, signal: Signal) -> anyhow::Result<()> {
    let controls = &mut stage.rehearsal.fleet.controls;
    controls[index].process.signal(signal)
}

/// The meta leader is killed, and so is its successor as soon as it leads.
pub struct LeaderKilledTwice;

#[async_trait]
impl Scenario for LeaderKilledTwice {
    fn name(&self) -> &'static str {
        "leader-killed-twice"
    }

    fn what(&self) -> &'static str {
        "the meta leader killed (kill -9), its successor too as soon as it leads, under load"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        stage.submit("killed-twice", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        let first = stage.rehearsal.fleet.meta_leader().await?;
        let first_index = kill(stage, &first)?;
        let second = await_successor(stage, &first).await?;
        let second_index = kill(stage, &second)?;
        change_without(stage, "two-are-away").await?;
        stage.rehearsal.fleet.restart_control(first_index).await?;
        restart(stage, second_index).await?;
        await_all_reachable(stage).await?;
        check_no_revert(stage).await?;
        check_online_served(stage).await
    }
}

fn kill(stage: &mut Stage, machine: &ReplicaRecord) -> anyhow::Result<usize> {
    let index = stage.rehearsal.fleet.control_named(&machine.name)?;
    stage.step(format!("killing {}", machine.name));
    signal_control(stage, index, Signal::Kill)?;
    Ok(index)
}

async fn await_successor(stage: &Stage, former: &ReplicaRecord) -> anyhow::Result<ReplicaRecord> {
    let end = Instant::now() + ELECTION_TIME;
    loop {
        let leader = stage.rehearsal.fleet.meta_leader().await;
        match leader {
            Ok(leader) if leader.replica != former.replica => return Ok(leader),
            Ok(_) if Instant::now() >= end => bail!("{} has no successor", former.name),
            Err(error) if Instant::now() >= end => {
                return Err(error).with_context(|| format!("the successor of {}", former.name))
            }
            _ => sleep(LOOK_PAUSE).await,
        }
    }
}
