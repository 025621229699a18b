//! Control machines that stop, die or freeze.

use std::time::Duration;

use anyhow::{bail, Context};
use async_trait::async_trait;
use pinerill_types::bundle::Bundle;
use tokio::time::{sleep, Instant};

use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::pinerill::cluster_status;
use crate::fleet::process::Signal;
use crate::load::record::OnlineEnd;
use crate::rehearsal::bundles::next_version;

/// Items of each job.
const ITEMS: usize = 160;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Bounds of the moment of failure after the first item runs.
const EARLIEST: Duration = Duration::from_millis(100);
const LATEST: Duration = Duration::from_millis(900);
/// Longest time until another machine leads.
const ELECTION_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// The meta leader is stopped in a planned way under load.
pub struct ControlStopped;

#[async_trait]
impl Scenario for ControlStopped {
    fn name(&self) -> &'static str {
        "control-stopped"
    }

    fn what(&self) -> &'static str {
        "the meta leader stopped (SIGTERM) under load, a bundle, started again"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let leader = begin(stage, "control-stopped").await?;
        stage.step(format!("stopping control-{}", leader + 1));
        stage.rehearsal.fleet.stop_control(leader).await?;
        change_without(stage, "after-stop").await?;
        restart(stage, leader).await?;
        check_online_served(stage).await
    }
}

/// The meta leader is killed under load.
pub struct LeaderKilled;

#[async_trait]
impl Scenario for LeaderKilled {
    fn name(&self) -> &'static str {
        "leader-killed"
    }

    fn what(&self) -> &'static str {
        "the meta leader killed (kill -9) under load, a bundle, started again"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let leader = begin(stage, "leader-killed").await?;
        stage.step(format!("killing control-{}", leader + 1));
        let controls = &mut stage.rehearsal.fleet.controls;
        controls[leader].process.signal(Signal::Kill)?;
        change_without(stage, "after-kill").await?;
        restart(stage, leader).await?;
        check_online_served(stage).await
    }
}

/// The meta leader is frozen, another takes over, and it wakes again.
pub struct LeaderFrozen;

#[async_trait]
impl Scenario for LeaderFrozen {
    fn name(&self) -> &'static str {
        "leader-frozen"
    }

    fn what(&self) -> &'static str {
        "the meta leader frozen (SIGSTOP) until two bundles went by, then continued"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let leader = begin(stage, "leader-frozen").await?;
        stage.step(format!("freezing control-{}", leader + 1));
        let controls = &mut stage.rehearsal.fleet.controls;
        controls[leader].process.signal(Signal::Stop)?;
        change_without(stage, "while-frozen").await?;
        change_without(stage, "while-frozen-again").await?;
        stage.step("it goes on");
        let controls = &mut stage.rehearsal.fleet.controls;
        controls[leader].process.signal(Signal::Continue)?;
        check_no_revert(stage).await?;
        check_online_served(stage).await
    }
}

/// Starts load and a job; returns the index of the meta leader, at a moment
/// that the seed says.
async fn begin(stage: &mut Stage, name: &str) -> anyhow::Result<usize> {
    stage.start_online(LOAD_TIME);
    stage.submit(name, ITEMS).await?;
    stage.await_batch_run(|_| true).await?;
    stage.pause(EARLIEST, LATEST).await;
    let leader = stage.rehearsal.fleet.meta_leader().await?;
    stage.rehearsal.fleet.control_named(&leader.name)
}

/// Rolls out a bundle and submits a job while a machine is away.
pub(super) async fn change_without(stage: &mut Stage, name: &str) -> anyhow::Result<()> {
    let bundle = next_version(&stage.rehearsal.bundle);
    let started = Instant::now();
    roll_out_patiently(stage, &bundle).await?;
    let seconds = started.elapsed().as_secs_f64();
    stage.step(format!(
        "bundle {} is in force on all nodes ({seconds:.1} s)",
        bundle.version
    ));
    stage.operations += 1;
    stage.submit(name, ITEMS).await?;
    Ok(())
}

/// Rolls out, again when an answer was lost or there was no leader yet.
async fn roll_out_patiently(stage: &mut Stage, bundle: &Bundle) -> anyhow::Result<()> {
    let end = Instant::now() + ELECTION_TIME;
    loop {
        match stage.rehearsal.roll_out(bundle.clone()).await {
            Ok(()) => return Ok(()),
            Err(error) if Instant::now() >= end => {
                return Err(error).context("rolling out while a control machine is away")
            }
            Err(_) => sleep(LOOK_PAUSE).await,
        }
    }
}

pub(super) async fn restart(stage: &mut Stage, index: usize) -> anyhow::Result<()> {
    let fleet = &mut stage.rehearsal.fleet;
    fleet.restart_control(index).await?;
    fleet.await_control(index).await?;
    await_all_reachable(stage).await
}

/// Waits until all control machines are reachable.
pub(super) async fn await_all_reachable(stage: &Stage) -> anyhow::Result<()> {
    let client = stage.rehearsal.fleet.client()?;
    let wanted = stage.rehearsal.fleet.controls.len();
    let end = Instant::now() + ELECTION_TIME;
    while Instant::now() < end {
        let status = cluster_status(&client).await?;
        let reachable = status.replicas.iter().filter(|one| one.reachable);
        if reachable.count() >= wanted {
            return Ok(());
        }
        sleep(LOOK_PAUSE).await;
    }
    bail!("not all {wanted} control machines are reachable after {ELECTION_TIME:?}")
}

/// No node ever goes back, and what is in force stays so. Nodes are asked
/// themselves: what `bundle status` says of them is a control machine's soft
/// state, which lags at one that was frozen.
pub(super) async fn check_no_revert(stage: &mut Stage) -> anyhow::Result<()> {
    const LOOKS: usize = 20;
    let version = stage.rehearsal.bundle.version;
    for _ in 0..LOOKS {
        let status = stage.rehearsal.operators.status().await?;
        stage.operations += 1;
        let detail = format!("version {} after {version} was in force", status.version);
        let kept = status.version >= version;
        stage.expect("no bundle reverts", kept, "bundle status", detail);
        let nodes = stage.rehearsal.fleet.node_versions().await?;
        let kept = nodes.iter().all(|node| *node >= version);
        let detail = format!("versions {nodes:?} after {version} was in force");
        stage.expect("no bundle reverts", kept, "nodes", detail);
        sleep(LOOK_PAUSE).await;
    }
    Ok(())
}

/// No online request goes through a control machine.
pub(super) async fn check_online_served(stage: &mut Stage) -> anyhow::Result<()> {
    stage.finish_online().await?;
    for record in stage.history.online.clone() {
        let served = record.end == OnlineEnd::Completed;
        let detail = format!("{:?}", record.end);
        stage.expect("online goes on", served, &record.request_id, detail);
    }
    Ok(())
}
