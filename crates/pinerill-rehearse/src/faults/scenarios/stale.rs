//! A leader that is cut off in silence for long, and comes back stale.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context};
use async_trait::async_trait;
use pinerill_types::{JobId, TenantName};
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{
    BundleShow, JobStatusRequest, ProposalAnswer, ProposeBundle, RefusalCode, Request, Response,
};
use tokio::time::{sleep, Instant};

use super::bundles::changed;
use super::control::{await_all_reachable, change_without, check_no_revert, check_online_served};
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::rehearsal::RehearsalOptions;

/// Items of each job.
const ITEMS: usize = 120;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Bounds of the moment of the cut after the first item runs.
const EARLIEST: Duration = Duration::from_millis(100);
const LATEST: Duration = Duration::from_millis(900);
/// Questions to the machine that is cut off, over its whole cut.
const QUESTIONS: usize = 15;
/// Pause between two questions.
const QUESTION_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for one question.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Longest time until the machine has caught up.
const CATCH_UP_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Limit of the tenant in the bundle that only the stale leader gets.
const STALE_LIMIT: f64 = 7_777.0;

/// The meta leader is cut off from all others, in silence and for long; a
/// client that still reaches it must not be told what is stale.
pub struct LeaderCutLong;

#[async_trait]
impl Scenario for LeaderCutLong {
    fn name(&self) -> &'static str {
        "leader-cut-long"
    }

    fn what(&self) -> &'static str {
        "the meta leader cut off in silence for 15 s and asked meanwhile, then healed"
    }

    fn options(&self) -> RehearsalOptions {
        RehearsalOptions {
            control_zones: true,
            ..RehearsalOptions::default()
        }
    }

    fn defect(&self) -> Option<&'static str> {
        Some("host-read-without-barrier=return")
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        stage.submit("before-the-cut", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        stage.pause(EARLIEST, LATEST).await;
        let stale = Stale::find(stage).await?;
        stage.step(format!("{} is cut off", stale.name));
        relays(stage)?.cut_zone(&stale.zone).await?;
        stale.propose(stage).await?;
        change_without(stage, "while-cut-off").await?;
        for _ in 0..QUESTIONS {
            stale.check_answers(stage).await?;
            sleep(QUESTION_PAUSE).await;
        }
        stage.step(format!("{} is connected again", stale.name));
        relays(stage)?.reconnect_zone(&stale.zone).await?;
        check_no_revert(stage).await?;
        stale.await_caught_up(stage).await?;
        await_all_reachable(stage).await?;
        change_without(stage, "after-the-cut").await?;
        check_online_served(stage).await
    }
}

fn relays(stage: &Stage) -> anyhow::Result<&crate::fleet::pinerill::ZoneRelays> {
    let relays = stage.rehearsal.fleet.relays.as_ref();
    relays.context("this fleet has no relays between zones")
}

/// The machine that is cut off from the others, but not from this client.
struct Stale {
    name: String,
    zone: String,
    address: SocketAddr,
    client: std::sync::Arc<ControlClient>,
}

impl Stale {
    async fn find(stage: &Stage) -> anyhow::Result<Self> {
        let fleet = &stage.rehearsal.fleet;
        let leader = fleet.meta_leader().await?;
        let control = &fleet.controls[fleet.control_named(&leader.name)?];
        Ok(Self {
            name: leader.name,
            zone: control.settings.zone.to_string(),
            address: control.settings.listen,
            client: fleet.client()?,
        })
    }

    /// Proposes a bundle that can't get a majority.
    async fn propose(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let base = &stage.rehearsal.bundle;
        let change = changed(base, STALE_LIMIT).change_from(base);
        let signed = stage.rehearsal.operators.sign_directly(change)?;
        let request = Request::ProposeBundle(ProposeBundle { signed });
        let answer = self.client.call_at(self.address, request, CALL_TIME).await;
        let accepted = matches!(
            &answer,
            Ok(Response::ProposeBundle(done)) if done.answer == ProposalAnswer::Accepted
        );
        let detail = format!("{answer:?}");
        stage.expect(
            "no proposal without a majority",
            !accepted,
            &self.name,
            detail,
        );
        stage.operations += 1;
        Ok(())
    }

    /// Neither an older bundle nor a job that it does not know of: it may
    /// refuse, but not say what is no longer so.
    async fn check_answers(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let question = Request::BundleShow(BundleShow);
        let shown = self.client.call_at(self.address, question, CALL_TIME).await;
        let version = stage.rehearsal.bundle.version;
        let holds = match &shown {
            Ok(Response::BundleShow(shown)) => shown.bundle.version >= version,
            _ => true,
        };
        let detail = format!("older than version {version}, which is in force");
        stage.expect("no stale bundle", holds, &self.name, detail);
        let job = stage.history.jobs.last().and_then(|job| job.id.clone());
        let job: JobId = job.context("no job was accepted")?.parse()?;
        let tenant = TenantName::from(stage.rehearsal.preset.tenant);
        let question = Request::JobStatus(JobStatusRequest { tenant, job });
        let status = self.client.call_at(self.address, question, CALL_TIME).await;
        let forgotten = matches!(
            &status,
            Err(error) if matches!(
                &error.kind,
                pinerill_wire::api::CallErrorKind::Refused(refusal)
                    if refusal.code == RefusalCode::NotFound
            )
        );
        let detail = format!("{job}: {status:?}");
        stage.expect(
            "no stale answer about a job",
            !forgotten,
            &self.name,
            detail,
        );
        stage.operations += 2;
        Ok(())
    }

    async fn await_caught_up(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let wanted = stage.rehearsal.bundle.clone();
        let end = Instant::now() + CATCH_UP_TIME;
        loop {
            let question = Request::BundleShow(BundleShow);
            let shown = self.client.call_at(self.address, question, CALL_TIME).await;
            if let Ok(Response::BundleShow(shown)) = &shown {
                let same = shown.bundle == wanted;
                let detail = format!("version {}", shown.bundle.version);
                stage.expect("caught up", same, &self.name, detail);
                return Ok(());
            }
            if Instant::now() >= end {
                bail!(
                    "{} has not caught up after {CATCH_UP_TIME:?}: {shown:?}",
                    self.name
                );
            }
            sleep(LOOK_PAUSE).await;
        }
    }
}
