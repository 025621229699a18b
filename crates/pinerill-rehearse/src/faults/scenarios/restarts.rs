//! All control machines die at once.

use std::time::Duration;

use anyhow::{bail, Context};
use async_trait::async_trait;
use pinerill_wire::api::ControlApi;
use pinerill_wire::message::{ProposalAnswer, ProposeBundle, Request, Response, META_GROUP};

use super::control::await_all_reachable;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::process::Signal;
use crate::rehearsal::bundles::next_version;
use crate::rehearsal::JOB_GROUPS;

/// Items of each job.
const ITEMS: usize = 120;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// How often all die after a bundle and after a job.
const ROUNDS: usize = 2;
/// Longest time for one question.
const CALL_TIME: Duration = Duration::from_secs(20);

/// All control machines are killed right after something was acknowledged.
pub struct AllControlsKilled;

#[async_trait]
impl Scenario for AllControlsKilled {
    fn name(&self) -> &'static str {
        "all-controls-killed"
    }

    fn what(&self) -> &'static str {
        "all control machines killed (kill -9) right after a bundle, and after a job, twice"
    }

    fn defect(&self) -> Option<&'static str> {
        Some("store-commit-without-sync=return")
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        for round in 0..ROUNDS {
            propose_next(stage).await?;
            restart_all(stage).await?;
            check_bundle(stage).await?;
            stage.submit(&format!("all-killed-{round}"), ITEMS).await?;
            restart_all(stage).await?;
            check_jobs(stage).await?;
        }
        Ok(())
    }
}

/// Proposes a bundle and returns as soon as it is acknowledged.
async fn propose_next(stage: &mut Stage) -> anyhow::Result<()> {
    let base = &stage.rehearsal.bundle;
    let bundle = next_version(base);
    let change = bundle.change_from(base);
    let signed = stage.rehearsal.operators.sign_directly(change)?;
    let client = stage.rehearsal.fleet.client()?;
    let request = Request::ProposeBundle(ProposeBundle { signed });
    match client.call_leader(META_GROUP, request, CALL_TIME).await? {
        Response::ProposeBundle(done) if done.answer == ProposalAnswer::Accepted => {}
        other => bail!("proposing version {}: {other:?}", bundle.version),
    }
    stage.rehearsal.bundle = bundle;
    stage.operations += 1;
    Ok(())
}

async fn restart_all(stage: &mut Stage) -> anyhow::Result<()> {
    stage.step("killing all control machines");
    let fleet = &mut stage.rehearsal.fleet;
    for control in &mut fleet.controls {
        control.process.signal(Signal::Kill)?;
    }
    for index in 0..fleet.controls.len() {
        fleet.restart_control(index).await?;
    }
    for index in 0..fleet.controls.len() {
        fleet.await_control(index).await?;
    }
    fleet
        .await_leaders(JOB_GROUPS + 1)
        .await
        .context("after all control machines were killed")?;
    await_all_reachable(stage).await
}

async fn check_bundle(stage: &mut Stage) -> anyhow::Result<()> {
    let in_force = stage.rehearsal.operators.show().await?;
    let wanted = &stage.rehearsal.bundle;
    let detail = format!("version {} instead of {}", in_force.version, wanted.version);
    let same = in_force == *wanted;
    stage.expect("bundle is not forgotten", same, "bundle show", detail);
    let (version, nodes) = (in_force.version, stage.rehearsal.fleet.nodes.len());
    let operators = &stage.rehearsal.operators;
    operators.await_in_force(version, nodes).await?;
    stage.operations += 2;
    Ok(())
}

/// The job that was acknowledged last is there, and what was read once too.
async fn check_jobs(stage: &mut Stage) -> anyhow::Result<()> {
    stage.read_jobs().await?;
    let Some(id) = stage.history.jobs.last().and_then(|job| job.id.clone()) else {
        return Ok(());
    };
    let status = stage.jobs().status(&id).await;
    let total = status.as_ref().map(|view| view.counts.total as usize);
    let there = matches!(total, Ok(ITEMS));
    stage.expect("job is not forgotten", there, &id, format!("{status:?}"));
    stage.operations += 1;
    Ok(())
}
