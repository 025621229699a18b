//! Disks that are lost after writes were acknowledged.

use std::time::Duration;

use anyhow::Context;
use async_trait::async_trait;
use pinerill_wire::message::ReplicaRecord;

use super::control::{await_all_reachable, change_without};
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::pinerill::cluster_status;
use crate::fleet::process::Signal;
use crate::rehearsal::bundles::next_version;

/// Items of each job.
const ITEMS: usize = 120;
/// Items of a job that runs during a whole repair.
const MANY_ITEMS: usize = 300;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// A disk is lost and replaced; right after the repair a second machine is
/// lost with its disk.
pub struct DisksLost;

#[async_trait]
impl Scenario for DisksLost {
    fn name(&self) -> &'static str {
        "disks-lost"
    }

    fn what(&self) -> &'static str {
        "a leader's disk deleted, cluster replace, a second machine and disk lost at once"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.submit("before", ITEMS).await?;
        let leader = stage.rehearsal.fleet.meta_leader().await?;
        let first = stage.rehearsal.fleet.control_named(&leader.name)?;
        stage.step(format!("{} and its disk are lost", leader.name));
        lose(stage, first)?;
        stage.submit("while-lost", ITEMS).await?;
        replace(stage, first, &leader).await?;
        let second = (first + 1) % stage.rehearsal.fleet.controls.len();
        let record = record_of(stage, second).await?;
        stage.step(format!("{} and its disk are lost right after", record.name));
        lose(stage, second)?;
        check_nothing_forgotten(stage).await?;
        replace(stage, second, &record).await?;
        check_nothing_forgotten(stage).await?;
        await_all_reachable(stage).await
    }
}

/// A disk is lost and replaced during a job; right after the repair two other
/// machines are killed, so that the new one is needed for a majority.
pub struct LossAfterReplace;

#[async_trait]
impl Scenario for LossAfterReplace {
    fn name(&self) -> &'static str {
        "loss-after-replace"
    }

    fn what(&self) -> &'static str {
        "a disk lost and replaced during a job, two other machines killed at once after it"
    }

    fn defect(&self) -> Option<&'static str> {
        Some("replace-counts-as-done=return")
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        stage.submit("during", MANY_ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        let leader = stage.rehearsal.fleet.meta_leader().await?;
        let lost = stage.rehearsal.fleet.control_named(&leader.name)?;
        stage.step(format!("{} and its disk are lost", leader.name));
        lose(stage, lost)?;
        replace(stage, lost, &leader).await?;
        let count = stage.rehearsal.fleet.controls.len();
        let start = stage.pick(count - 1);
        let others: Vec<usize> = (0..2)
            .map(|turn| (lost + 1 + (start + turn) % (count - 1)) % count)
            .collect();
        for index in &others {
            stage.step(format!("killing control-{}", index + 1));
            let controls = &mut stage.rehearsal.fleet.controls;
            controls[*index].process.signal(Signal::Kill)?;
        }
        change_without(stage, "right-after").await?;
        for index in others {
            stage.rehearsal.fleet.restart_control(index).await?;
        }
        await_all_reachable(stage).await?;
        check_nothing_forgotten(stage).await
    }
}

/// Kills a control machine and deletes its folder.
fn lose(stage: &mut Stage, index: usize) -> anyhow::Result<()> {
    let control = &mut stage.rehearsal.fleet.controls[index];
    control.process.signal(Signal::Kill)?;
    let folder = &control.settings.data_folder;
    // Its files may still be open for a moment; the folder is gone at once.
    std::fs::remove_dir_all(folder).with_context(|| format!("deleting {}", folder.display()))
}

/// Starts the machine with an empty folder and puts it in the lost one's place.
async fn replace(stage: &mut Stage, index: usize, lost: &ReplicaRecord) -> anyhow::Result<()> {
    let fleet = &mut stage.rehearsal.fleet;
    fleet.restart_control(index).await?;
    fleet.await_control(index).await?;
    let new = fleet.await_new_identity(&lost.name, lost.replica).await?;
    let (lost, new) = (format!("{:016x}", lost.replica), format!("{new:016x}"));
    stage.step(format!("cluster replace --lost {lost} --new {new}"));
    let arguments = ["cluster", "replace", "--lost", &lost, "--new", &new];
    let output = stage.rehearsal.operators.succeed(&arguments).await?;
    stage.operations += 1;
    let last = output.lines().last().unwrap_or_default();
    stage.step(format!("it says: {last}"));
    Ok(())
}

async fn record_of(stage: &Stage, index: usize) -> anyhow::Result<ReplicaRecord> {
    let fleet = &stage.rehearsal.fleet;
    let name = fleet.controls[index].process.name();
    let status = cluster_status(&*fleet.client()?).await?;
    let records = status.replicas.into_iter();
    let mut found = records.filter(|record| record.name == name && record.reachable);
    found
        .next()
        .with_context(|| format!("{name} is not in the cluster's status"))
}

/// All that was acknowledged is there, and the cluster takes more.
async fn check_nothing_forgotten(stage: &mut Stage) -> anyhow::Result<()> {
    stage.read_jobs().await?;
    let in_force = stage.rehearsal.operators.show().await?;
    let wanted = stage.rehearsal.bundle.version;
    let detail = format!("version {} instead of {wanted}", in_force.version);
    let same = in_force == stage.rehearsal.bundle;
    stage.expect("bundle is not forgotten", same, "bundle show", detail);
    let bundle = next_version(&stage.rehearsal.bundle);
    stage.rehearsal.roll_out(bundle).await?;
    stage.operations += 2;
    stage.submit(&format!("after-{wanted}"), ITEMS).await?;
    Ok(())
}
