//! Workers that die, leave, or whose answers are lost.

use std::time::Duration;

use async_trait::async_trait;

use crate::check::{Indeterminate, LeavingWorker};
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::process::Signal;
use crate::fleet::standins::StandInOptions;
use crate::ledger::unix_us;
use crate::rehearsal::RehearsalOptions;
use crate::standin::platform::MachineState;
use crate::standin::relay::link::Passage;

/// Items of the job.
const ITEMS: usize = 240;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time that a worker stays away.
const AWAY: Duration = Duration::from_secs(2);
/// Bounds of the moment of failure after the first item runs.
const EARLIEST: Duration = Duration::from_millis(100);
const LATEST: Duration = Duration::from_millis(900);
/// Lag of the platform list, as the stand-in has it by default.
const PLATFORM_LAG: Duration = Duration::from_secs(1);
/// Longest planned stop of a worker.
const WORKER_STOP: Duration = Duration::from_secs(30);
/// Time that a link's answers are lost.
const CUT_TIME: Duration = Duration::from_millis(1_500);

/// A worker is killed with items in flight, twice.
pub struct WorkerKilled;

#[async_trait]
impl Scenario for WorkerKilled {
    fn name(&self) -> &'static str {
        "worker-killed"
    }

    fn what(&self) -> &'static str {
        "two workers killed (kill -9) with items in flight, back after 2 s"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        stage.start_online(LOAD_TIME);
        stage.submit("killed", ITEMS).await?;
        for _ in 0..2 {
            let run = stage.await_batch_run(|_| true).await?;
            stage.pause(EARLIEST, LATEST).await;
            let name = run.worker().to_owned();
            let index = worker_named(stage, &name);
            stage.step(format!("killing {name}"));
            let standins = &mut stage.rehearsal.standins;
            standins.workers[index].process.signal(Signal::Kill)?;
            tokio::time::sleep(AWAY).await;
            let launcher = &stage.rehearsal.launcher;
            standins.workers[index].restart(launcher)?;
            standins.await_worker(index).await?;
        }
        Ok(())
    }
}

/// One worker is said to be leaving by the platform list only, another is told
/// to stop itself.
pub struct WorkersLeaving;

#[async_trait]
impl Scenario for WorkersLeaving {
    fn name(&self) -> &'static str {
        "workers-leaving"
    }

    fn what(&self) -> &'static str {
        "a worker leaves by the platform list, another by SIGTERM, under load"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        stage.submit("leaving", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        stage.pause(EARLIEST, LATEST).await;
        stage.step("the platform list says that worker-1 is leaving");
        let standins = &mut stage.rehearsal.standins;
        let listed = &standins.workers[0];
        standins.list_worker(listed, MachineState::Leaving).await?;
        stage.history.leaving.push(LeavingWorker {
            worker: listed.place.name.clone(),
            sign_us: unix_us() + PLATFORM_LAG.as_micros() as u64,
            back_us: None,
        });
        stage
            .progress
            .step("worker-2 is told to stop; it finishes what runs");
        stage.history.leaving.push(LeavingWorker {
            worker: standins.workers[1].place.name.clone(),
            sign_us: unix_us(),
            back_us: None,
        });
        standins.workers[1].process.stop(WORKER_STOP).await?;
        stage.finish_online().await?;
        check_online_unharmed(stage);
        Ok(())
    }
}

/// Answers of engines are lost on the way to the node.
pub struct LostAnswers;

#[async_trait]
impl Scenario for LostAnswers {
    fn name(&self) -> &'static str {
        "lost-answers"
    }

    fn what(&self) -> &'static str {
        "answers of four workers lost for 1.5 s each, then connections reset"
    }

    fn options(&self) -> RehearsalOptions {
        RehearsalOptions {
            standins: StandInOptions {
                worker_relays: true,
                ..StandInOptions::default()
            },
            ..RehearsalOptions::default()
        }
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        stage.start_online(LOAD_TIME);
        stage.submit("lost", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        for _ in 0..4 {
            stage.pause(EARLIEST, LATEST).await;
            let index = stage.pick(stage.rehearsal.standins.workers.len());
            lose_answers(stage, index).await?;
        }
        Ok(())
    }
}

/// Requests reach the worker, its answers are lost; then the connections are
/// closed and the link is whole again.
async fn lose_answers(stage: &Stage, index: usize) -> anyhow::Result<()> {
    let standins = &stage.rehearsal.standins;
    let name = &standins.workers[index].place.name;
    let Some(relays) = &standins.worker_relays else {
        anyhow::bail!("{name} has no relay");
    };
    stage.step(format!("answers of {name} are lost"));
    relays.set(name, Passage::Open, Passage::Cut).await?;
    tokio::time::sleep(CUT_TIME).await;
    relays.reset(name).await?;
    relays.set_both(name, Passage::Open).await
}

pub(super) fn worker_named(stage: &Stage, name: &str) -> usize {
    let mut workers = stage.rehearsal.standins.workers.iter();
    workers
        .position(|worker| worker.place.name == name)
        .unwrap_or(0)
}

/// A worker that leaves in a planned way costs no online request.
fn check_online_unharmed(stage: &mut Stage) {
    for record in stage.history.online.clone() {
        let served = record.end == crate::load::record::OnlineEnd::Completed;
        let detail = format!("{:?}", record.end);
        stage.expect("online unharmed", served, &record.request_id, detail);
    }
}
