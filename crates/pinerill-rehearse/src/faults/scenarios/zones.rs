//! A zone that is cut off from the others.

use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use async_trait::async_trait;
use tokio::time::{sleep, Instant};

use crate::check::Indeterminate;
use crate::faults::load::online_profile;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::ledger::unix_us;
use crate::load::node_target::NodeTarget;
use crate::load::online;
use crate::load::record::{OnlineEnd, OnlineRecord};
use crate::load::schedule::{Arrival, OnlineKind};
use crate::rehearsal::bundles::next_version;

/// The zone that is cut off: it has one of the five control machines.
const ZONE: &str = "berrechid";
/// Items of the job.
const ITEMS: usize = 160;
/// Length of the online load at all nodes.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Pause between two requests to the node that is cut off.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for one answer.
const ANSWER_TIME: Duration = Duration::from_secs(20);
/// Longest time until the node refuses, and until it serves again.
const CHANGE_TIME: Duration = Duration::from_secs(30);
/// Refusals that are seen before the cut ends.
const REFUSALS: usize = 20;

/// A zone is cut off in silence while a bundle is rolled out elsewhere.
pub struct ZoneCut;

#[async_trait]
impl Scenario for ZoneCut {
    fn name(&self) -> &'static str {
        "zone-cut"
    }

    fn what(&self) -> &'static str {
        "a zone's links to control machines cut in silence, a bundle elsewhere, reconnected"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        stage.start_online(LOAD_TIME);
        stage.submit("zone-cut", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        let mut probe = Probe::new(stage)?;
        probe.await_served(stage).await?;
        stage.step(format!("{ZONE} is cut off"));
        set_cut(stage, true).await?;
        let cut_us = unix_us();
        probe.await_refused(stage).await?;
        stage.step("its node refuses; a bundle is rolled out elsewhere");
        let nodes = stage.rehearsal.fleet.nodes.len() - 1;
        let bundle = next_version(&stage.rehearsal.bundle);
        stage.rehearsal.operators.roll_out(&bundle, nodes).await?;
        stage.operations += 1;
        probe.see_refusals(stage).await;
        stage.step("reconnected");
        let reconnected_us = unix_us();
        set_cut(stage, false).await?;
        probe.await_served(stage).await?;
        let version = bundle.version;
        stage.rehearsal.bundle = bundle;
        let operators = &stage.rehearsal.operators;
        operators.await_in_force(version, nodes + 1).await?;
        check_lease(stage, &probe.records, cut_us, reconnected_us);
        stage.history.online.append(&mut probe.records);
        Ok(())
    }
}

async fn set_cut(stage: &Stage, cut: bool) -> anyhow::Result<()> {
    let Some(relays) = &stage.rehearsal.fleet.relays else {
        bail!("this fleet has no relays between zones");
    };
    match cut {
        true => relays.cut_zone(ZONE).await,
        false => relays.reconnect_zone(ZONE).await,
    }
}

/// A request that came after the lease had run out must be refused: the node
/// can't know what is in force.
fn check_lease(stage: &mut Stage, records: &[OnlineRecord], cut_us: u64, reconnected_us: u64) {
    let lease_ms = stage.rehearsal.bundle.policy.configuration_lease_ms;
    let from_us = cut_us + lease_ms * 1_000;
    let cut_off = records
        .iter()
        .filter(|record| record.due_us > from_us && record.due_us < reconnected_us);
    for record in cut_off {
        let refused = matches!(record.end, OnlineEnd::NotRun(_));
        let late = (record.due_us - cut_us) / 1_000;
        let detail = format!("{late} ms after the cut: {:?}", record.end);
        stage.expect("refused while cut off", refused, &record.request_id, detail);
    }
}

/// Sends one request after the other to the node of the zone.
struct Probe {
    target: Arc<NodeTarget>,
    records: Vec<OnlineRecord>,
}

impl Probe {
    fn new(stage: &Stage) -> anyhow::Result<Self> {
        let mut nodes = stage.rehearsal.fleet.nodes.iter();
        let Some(node) = nodes.find(|node| node.settings.zone.as_str() == ZONE) else {
            bail!("no node in {ZONE}");
        };
        let service = stage.rehearsal.preset.service;
        let mut target = stage.rehearsal.online_target(service);
        target.nodes = vec![node.settings.listen];
        Ok(Self {
            target: Arc::new(target),
            records: Vec::new(),
        })
    }

    async fn ask(&mut self, stage: &Stage) -> bool {
        let number = self.records.len() as u64;
        let arrival = Arrival {
            at: Duration::ZERO,
            number,
            kind: OnlineKind::Short,
            in_burst: false,
            at_most_once: false,
        };
        let content = stage.rehearsal.engine_content("probe");
        let request = content.online_request(&online_profile(), &arrival);
        let due = Instant::now();
        let record = online::run_one(&*self.target, &request, due, ANSWER_TIME).await;
        let served = record.end == OnlineEnd::Completed;
        self.records.push(record);
        sleep(PROBE_PAUSE).await;
        served
    }

    async fn await_served(&mut self, stage: &Stage) -> anyhow::Result<()> {
        self.await_change(stage, true).await
    }

    async fn await_refused(&mut self, stage: &Stage) -> anyhow::Result<()> {
        self.await_change(stage, false).await
    }

    async fn await_change(&mut self, stage: &Stage, served: bool) -> anyhow::Result<()> {
        let end = Instant::now() + CHANGE_TIME;
        while self.ask(stage).await != served {
            if Instant::now() >= end {
                let last = self.records.last().map(|record| &record.end);
                bail!("the node in {ZONE} still answers {last:?} after {CHANGE_TIME:?}");
            }
        }
        Ok(())
    }

    async fn see_refusals(&mut self, stage: &Stage) {
        for _ in 0..REFUSALS {
            self.ask(stage).await;
        }
    }
}
