//! Operators who race, and machines that come back after many changes.

use std::time::Duration;

use anyhow::{bail, Context};
use async_trait::async_trait;
use futures::future::join_all;
use pinerill_types::bundle::Bundle;
use pinerill_types::TenantName;
use pinerill_wire::api::ControlApi;
use pinerill_wire::message::{
    ClusterStatusRequest, ProposalAnswer, ProposeBundle, Request, Response, META_GROUP,
};
use tokio::time::{sleep, Instant};

use super::control::await_all_reachable;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::operator::EXIT_REFUSED;
use crate::fleet::process::Signal;
use crate::rehearsal::bundles::next_version;
use crate::rehearsal::RehearsalOptions;

/// Bundles that go by while a machine is away.
const CHANGES: u64 = 300;
/// Log entries after which a group takes a snapshot: fewer than the changes.
const SNAPSHOT_ENTRIES: u64 = 50;
/// Items of a job.
const ITEMS: usize = 60;
/// Races of operators.
const RACES: u64 = 5;
/// How often each racing bundle is proposed at the same time.
const COPIES: usize = 3;
/// Longest time for one question.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Longest time until a machine has caught up.
const CATCH_UP_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// The meta leader and a node are away while hundreds of bundles go by.
pub struct RestartAfterChanges;

#[async_trait]
impl Scenario for RestartAfterChanges {
    fn name(&self) -> &'static str {
        "restart-after-changes"
    }

    fn what(&self) -> &'static str {
        "the meta leader and a node away for 300 bundles; then two others lost"
    }

    fn options(&self) -> RehearsalOptions {
        RehearsalOptions {
            snapshot_entries: Some(SNAPSHOT_ENTRIES),
            ..RehearsalOptions::default()
        }
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.submit("before", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        let leader = stage.rehearsal.fleet.meta_leader().await?;
        let fleet = &mut stage.rehearsal.fleet;
        let away = fleet.control_named(&leader.name)?;
        let others: Vec<usize> = (0..fleet.controls.len())
            .filter(|index| *index != away)
            .collect();
        fleet.controls[away].process.signal(Signal::Kill)?;
        // A node that dies with leases makes items indeterminate, as
        // `node-killed` has it; here every item must complete.
        stage.finish_jobs().await?;
        let fleet = &mut stage.rehearsal.fleet;
        fleet.nodes[0].process.signal(Signal::Kill)?;
        stage.step(format!("{} and node-1 are away", leader.name));
        change_often(stage).await?;
        stage.step(format!("{CHANGES} bundles went by"));
        let fleet = &mut stage.rehearsal.fleet;
        fleet.restart_control(away).await?;
        fleet.restart_node(0).await?;
        fleet.await_control(away).await?;
        await_caught_up(stage, away, others[0]).await?;
        let (version, nodes) = (stage.rehearsal.bundle.version, 3);
        let operators = &stage.rehearsal.operators;
        operators.await_in_force(version, nodes).await?;
        stage.step("both have caught up; two other control machines are lost");
        for index in &others[..2] {
            let fleet = &mut stage.rehearsal.fleet;
            fleet.controls[*index].process.signal(Signal::Kill)?;
        }
        roll_out_with_new_leader(stage).await?;
        for index in &others[..2] {
            stage.rehearsal.fleet.restart_control(*index).await?;
        }
        await_all_reachable(stage).await
    }
}

/// Proposes many bundles, each with one more change of a tenant.
async fn change_often(stage: &mut Stage) -> anyhow::Result<()> {
    let client = stage.rehearsal.fleet.client()?;
    for number in 0..CHANGES {
        let base = stage.rehearsal.bundle.clone();
        let bundle = changed(&base, 5_000.0 + number as f64);
        let change = bundle.change_from(&base);
        let signed = stage.rehearsal.operators.sign_directly(change)?;
        let request = Request::ProposeBundle(ProposeBundle { signed });
        let answer = client.call_leader(META_GROUP, request, CALL_TIME).await?;
        match answer {
            Response::ProposeBundle(done) if done.answer == ProposalAnswer::Accepted => {}
            other => bail!("proposing version {}: {other:?}", bundle.version),
        }
        stage.rehearsal.bundle = bundle;
        stage.operations += 1;
    }
    Ok(())
}

/// The next bundle, with another limit of the tenant.
pub(super) fn changed(base: &Bundle, requests_per_second: f64) -> Bundle {
    let mut bundle = next_version(base);
    for tenant in bundle.tenants.values_mut() {
        tenant.requests_per_second = requests_per_second;
    }
    bundle
}

/// Waits until the machine itself has applied what is committed.
async fn await_caught_up(stage: &mut Stage, index: usize, other: usize) -> anyhow::Result<()> {
    let client = stage.rehearsal.fleet.client()?;
    let fleet = &stage.rehearsal.fleet;
    let (behind, ahead) = (
        fleet.controls[index].settings.listen,
        fleet.controls[other].settings.listen,
    );
    let end = Instant::now() + CATCH_UP_TIME;
    let request = || Request::ClusterStatus(ClusterStatusRequest);
    loop {
        let theirs = applied(client.call_at(ahead, request(), CALL_TIME).await?);
        let its = applied(client.call_at(behind, request(), CALL_TIME).await?);
        if its.is_some() && its >= theirs {
            stage.expect("caught up", true, "", String::new());
            return Ok(());
        }
        if Instant::now() >= end {
            bail!("after {CATCH_UP_TIME:?} it has applied {its:?} of {theirs:?}");
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// Index that a machine has applied in the meta group.
fn applied(response: Response) -> Option<u64> {
    let Response::ClusterStatus(status) = response else {
        return None;
    };
    let groups = status.groups.iter();
    let mut meta = groups.filter(|group| group.group == META_GROUP);
    meta.next().map(|group| group.applied)
}

async fn roll_out_with_new_leader(stage: &mut Stage) -> anyhow::Result<()> {
    let bundle = next_version(&stage.rehearsal.bundle);
    let end = Instant::now() + CATCH_UP_TIME;
    loop {
        match stage.rehearsal.roll_out(bundle.clone()).await {
            Ok(()) => break,
            Err(error) if Instant::now() >= end => {
                return Err(error).context("rolling out with three of five machines")
            }
            Err(_) => sleep(LOOK_PAUSE).await,
        }
    }
    stage.operations += 1;
    Ok(())
}

/// Operators propose different bundles under the same version at once, and
/// each proposal is sent several times.
pub struct RacingOperators;

#[async_trait]
impl Scenario for RacingOperators {
    fn name(&self) -> &'static str {
        "racing-operators"
    }

    fn what(&self) -> &'static str {
        "5 races of two bundles of one version, each proposed 3 times at once and again"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        for race in 0..RACES {
            race_once(stage, race).await?;
        }
        Ok(())
    }
}

/// What one proposal by command came to.
struct Proposed {
    contender: usize,
    accepted: bool,
    refused: bool,
    message: String,
}

async fn race_once(stage: &mut Stage, race: u64) -> anyhow::Result<()> {
    let base = stage.rehearsal.bundle.clone();
    let limits = [1_000.0 + race as f64, 2_000.0 + race as f64];
    let contenders = limits.map(|limit| changed(&base, limit));
    let operators = stage.rehearsal.operators.clone();
    let mut files = Vec::new();
    for (index, bundle) in contenders.iter().enumerate() {
        let file = operators.sign(bundle, &format!("race-{index}")).await?;
        files.push(file.display().to_string());
    }
    let turns = (0..COPIES * files.len()).map(|turn| turn % files.len());
    let proposals = turns.map(|contender| {
        let (operators, file) = (&operators, files[contender].as_str());
        async move {
            let output = operators.run(&["bundle", "propose", file]).await?;
            anyhow::Ok(Proposed {
                contender,
                accepted: output.code == Some(0),
                refused: output.code == Some(EXIT_REFUSED),
                message: output.stderr,
            })
        }
    });
    let proposed: Vec<Proposed> = join_all(proposals)
        .await
        .into_iter()
        .collect::<anyhow::Result<_>>()?;
    stage.operations += proposed.len() as u64;
    let winner = check_one_winner(stage, &proposed);
    let in_force = operators.show().await?;
    let same = in_force == contenders[winner];
    let detail = format!("in force: {:?}", tenant_limit(&in_force));
    stage.expect("one bundle wins", same, "bundle show", detail);
    let again = operators
        .run(&["bundle", "propose", &files[winner]])
        .await?;
    let detail = again.stderr.clone();
    stage.expect("resent proposal", again.code == Some(0), "winner", detail);
    stage.operations += 1;
    stage.rehearsal.bundle = contenders[winner].clone();
    Ok(())
}

/// All copies of one are accepted and all of the other are refused. Returns
/// the winner.
fn check_one_winner(stage: &mut Stage, proposed: &[Proposed]) -> usize {
    let first = proposed.iter().find(|proposal| proposal.accepted);
    let winner = first.map_or(0, |proposal| proposal.contender);
    for proposal in proposed {
        let holds = match proposal.contender == winner {
            true => proposal.accepted,
            false => proposal.refused,
        };
        let subject = format!("contender {}", proposal.contender);
        let detail = format!("winner {winner}; {}", proposal.message.trim());
        stage.expect("one bundle wins", holds, &subject, detail);
    }
    winner
}

fn tenant_limit(bundle: &Bundle) -> Option<f64> {
    let tenants: Vec<&TenantName> = bundle.tenants.keys().collect();
    let first = tenants.first()?;
    Some(bundle.tenants[*first].requests_per_second)
}
