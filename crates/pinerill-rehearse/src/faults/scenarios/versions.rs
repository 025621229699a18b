//! A model's version replaced under load, and a model whose engines are lost.

use std::collections::BTreeSet;
use std::time::Duration;

use async_trait::async_trait;
use pinerill_control::placement::engine_state::{EngineState, LoadState};
use pinerill_types::bundle::WorkPlacement;
use tokio::time::Instant;

use crate::check::{check_versions, Indeterminate};
use crate::faults::engines::{engines_with, EngineObserver, EngineStates};
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::pinerill::CONCURRENT_LOADS;
use crate::fleet::process::Signal;
use crate::load::record::{OnlineEnd, OnlineRecord};
use crate::rehearsal::bundles::{with_model_version, with_placement};
use crate::standin::platform::MachineState;

/// Items of the job.
const ITEMS: usize = 240;
/// Length of the online load over a roll-out.
const LOAD_TIME: Duration = Duration::from_secs(14);
/// Length of the online load after a repair.
const AFTER_TIME: Duration = Duration::from_secs(3);
/// Time in which nodes hear what engines hold.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Bounds of the moment of failure after the first item runs.
const EARLIEST: Duration = Duration::from_millis(100);
const LATEST: Duration = Duration::from_millis(900);
/// The version that is rolled out.
const NEXT_VERSION: &str = "2";
/// Engines that hold the model that is lost.
const HOLDERS: u32 = 3;

/// A new version of the model is rolled out under load.
pub struct VersionReplaced;

#[async_trait]
impl Scenario for VersionReplaced {
    fn name(&self) -> &'static str {
        "version-replaced"
    }

    fn what(&self) -> &'static str {
        "a new version of the model rolled out under load, engine by engine"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let observer = EngineObserver::new(&stage.rehearsal.standins);
        let model = stage.rehearsal.preset.model;
        stage.start_online(LOAD_TIME);
        stage.submit("version", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        stage.pause(EARLIEST, LATEST).await;
        let watch = observer.watch(model);
        let preset = &stage.rehearsal.preset;
        let bundle = with_model_version(&stage.rehearsal.bundle, preset, NEXT_VERSION);
        stage.step(format!("rolling out version {NEXT_VERSION} of {model}"));
        let started = Instant::now();
        stage.rehearsal.roll_out(bundle).await?;
        stage.operations += 1;
        let what = "only the new version is held";
        observer
            .await_states(what, |states| holds_only(states, model, NEXT_VERSION))
            .await?;
        let seconds = started.elapsed().as_secs_f64();
        let seen = watch.seen();
        let (looks, most) = (seen.looks, seen.most_loading);
        stage.step(format!(
            "replaced everywhere after {seconds:.1} s; {looks} looks, at most {most} loading"
        ));
        let detail = format!("let go: {:?}", seen.let_go);
        stage.expect(
            "no engine without a version",
            seen.let_go.is_empty(),
            model,
            detail,
        );
        let detail = format!("{} looks of {looks} with no engine", seen.gaps);
        stage.expect(
            "version replaced without a gap",
            seen.gaps == 0,
            model,
            detail,
        );
        check_weights(stage).await?;
        stage.finish_online().await?;
        check_all_served(stage, "served while a version is replaced");
        let finding = check_versions(&stage.history, &stage.ledger()?);
        stage.findings.push(finding);
        Ok(())
    }
}

fn holds_only(states: &EngineStates, model: &str, version: &str) -> bool {
    let only = |state: &EngineState| {
        let held: Vec<_> = state
            .models
            .iter()
            .filter(|held| held.name.as_str() == model)
            .collect();
        held.len() == 1 && held[0].version == version && held[0].state == LoadState::Ready
    };
    !states.is_empty() && states.values().all(only)
}

/// The weight store never had to refuse a fetch, and the planner never let
/// more run at once than it may.
async fn check_weights(stage: &mut Stage) -> anyhow::Result<()> {
    let usage = stage.rehearsal.standins.weights_usage().await?;
    let fetched = usage.fetches > 0;
    let within = usage.refused == 0 && usage.most_at_once <= CONCURRENT_LOADS as usize;
    let detail = format!("{usage:?}, allowed at once {CONCURRENT_LOADS}");
    stage.expect(
        "loads within the store's rate",
        fetched && within,
        "weights",
        detail,
    );
    Ok(())
}

fn check_all_served(stage: &mut Stage, check: &'static str) {
    for record in stage.history.online.clone() {
        let served = record.end == OnlineEnd::Completed;
        let detail = format!("{:?}", record.end);
        stage.expect(check, served, &record.request_id, detail);
    }
}

/// All workers that hold a model are killed, one after the other.
pub struct ModelLost;

#[async_trait]
impl Scenario for ModelLost {
    fn name(&self) -> &'static str {
        "model-lost"
    }

    fn what(&self) -> &'static str {
        "every worker that holds the model killed; the planner loads it elsewhere"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        let observer = EngineObserver::new(&stage.rehearsal.standins);
        let model = stage.rehearsal.preset.model;
        let holders = place_on_few(stage, &observer).await?;
        stage.start_online(LOAD_TIME);
        stage.submit("lost", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        for worker in &holders {
            stage.pause(EARLIEST, LATEST).await;
            lose(stage, worker).await?;
        }
        let started = Instant::now();
        let states = observer
            .await_states("the model is held elsewhere", |states| {
                engines_with(states, model, LoadState::Ready).len() >= HOLDERS as usize
            })
            .await?;
        let seconds = started.elapsed().as_secs_f64();
        let now = engines_with(&states, model, LoadState::Ready);
        stage.step(format!(
            "{now:?} hold it {seconds:.1} s after the last kill"
        ));
        let moved = now
            .iter()
            .all(|engine| !holders.contains(worker_of(engine)));
        stage.expect(
            "lost model loaded elsewhere",
            moved,
            model,
            format!("{now:?}"),
        );
        check_weights(stage).await?;
        stage.finish_online().await?;
        check_served_after(stage).await?;
        for worker in &holders {
            bring_back(stage, worker).await?;
        }
        Ok(())
    }
}

fn worker_of(engine: &str) -> &str {
    engine.rsplit_once('/').map_or(engine, |(worker, _)| worker)
}

/// Leaves the model on a few engines only; returns their workers.
async fn place_on_few(
    stage: &mut Stage,
    observer: &EngineObserver,
) -> anyhow::Result<BTreeSet<String>> {
    let model = stage.rehearsal.preset.model;
    let placement = WorkPlacement {
        both: HOLDERS,
        ..WorkPlacement::default()
    };
    let bundle = with_placement(&stage.rehearsal.bundle, &stage.rehearsal.preset, placement);
    stage.rehearsal.roll_out(bundle).await?;
    stage.operations += 1;
    let few = |states: &EngineStates| {
        engines_with(states, model, LoadState::Ready).len() == HOLDERS as usize
    };
    let states = observer
        .await_states("few engines hold the model", few)
        .await?;
    tokio::time::sleep(REPORT_TIME).await;
    let engines = engines_with(&states, model, LoadState::Ready);
    stage.step(format!("{engines:?} hold {model}"));
    Ok(engines
        .iter()
        .map(|one| worker_of(one).to_owned())
        .collect())
}

fn index_of(stage: &Stage, worker: &str) -> usize {
    let mut workers = stage.rehearsal.standins.workers.iter();
    let found = workers.position(|one| one.place.name == worker);
    found.unwrap_or_default()
}

async fn lose(stage: &mut Stage, worker: &str) -> anyhow::Result<()> {
    stage.step(format!("killing {worker}"));
    let index = index_of(stage, worker);
    let standins = &mut stage.rehearsal.standins;
    standins.workers[index].process.signal(Signal::Kill)?;
    let worker = &standins.workers[index];
    standins.list_worker(worker, MachineState::Gone).await
}

async fn bring_back(stage: &mut Stage, worker: &str) -> anyhow::Result<()> {
    let index = index_of(stage, worker);
    let launcher = stage.rehearsal.launcher.clone();
    let standins = &mut stage.rehearsal.standins;
    standins.workers[index].restart(&launcher)?;
    standins.await_worker(index).await?;
    let worker = &standins.workers[index];
    standins.list_worker(worker, MachineState::Live).await
}

/// Every request that comes after the repair is served.
async fn check_served_after(stage: &mut Stage) -> anyhow::Result<()> {
    tokio::time::sleep(REPORT_TIME).await;
    let before = stage.history.online.len();
    stage.start_online(AFTER_TIME);
    stage.finish_online().await?;
    let later: Vec<OnlineRecord> = stage.history.online[before..].into();
    for record in later {
        let served = record.end == OnlineEnd::Completed;
        let detail = format!("{:?}", record.end);
        stage.expect(
            "served after the repair",
            served,
            &record.request_id,
            detail,
        );
    }
    Ok(())
}
