//! Roles that change under load, an engine lost in the middle of a KV
//! transfer, and orders of a leader that no longer leads.

use std::time::Duration;

use anyhow::bail;
use async_trait::async_trait;
use pinerill_control::placement::engine_state::{EngineRole, FencedOrder, Order};
use pinerill_types::bundle::{Bundle, WorkPlacement};
use pinerill_types::Fence;
use tokio::time::{sleep, Instant};

use crate::check::{LedgerIndex, Run, RunEnd};
use crate::faults::engines::{count_role, engine_url, EngineObserver, EngineStates};
use crate::faults::load::online_profile;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::process::Signal;
use crate::fleet::standins::StandInOptions;
use crate::fleet::worker::WorkerFlags;
use crate::ledger::unix_us;
use crate::load::profile::OnlineProfile;
use crate::load::record::OnlineEnd;
use crate::rehearsal::bundles::with_placement;
use crate::rehearsal::RehearsalOptions;

/// Engines that prefill, of twelve.
const PREFILL: u32 = 4;
/// Engines that decode.
const DECODE: u32 = 8;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(14);
/// Long prompts a second.
const LONG_PER_SECOND: f64 = 10.0;
/// Time that a killed worker stays away.
const AWAY: Duration = Duration::from_secs(2);
/// Transfer of KV cache: half a second for a long prompt, so that a kill hits
/// it.
const TRANSFER_FLAGS: [&str; 2] = ["--kv-transfer-tokens-per-second", "2000"];
/// Age of a prefill at which its transfer is under way.
const TRANSFER_BEGUN_US: u64 = 50_000;
const TRANSFER_ENDS_US: u64 = 250_000;
/// Ending of the identifier of a prefill for another engine.
const PREFILL_ENDING: &str = ".prefill";
/// Longest time until a condition holds.
const CONDITION_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Looks at roles after an old leader goes on.
const LOOKS: usize = 60;

fn split() -> WorkPlacement {
    WorkPlacement {
        both: 0,
        prefill: PREFILL,
        decode: DECODE,
    }
}

fn is_split(states: &EngineStates) -> bool {
    count_role(states, EngineRole::Prefill) == PREFILL as usize
        && count_role(states, EngineRole::Decode) == DECODE as usize
}

fn is_both(states: &EngineStates) -> bool {
    !states.is_empty() && count_role(states, EngineRole::Both) == states.len()
}

fn long_prompts() -> OnlineProfile {
    OnlineProfile {
        long_per_second: LONG_PER_SECOND,
        ..online_profile()
    }
}

/// The next bundle with engines in these roles.
fn placed(stage: &Stage, placement: WorkPlacement) -> Bundle {
    with_placement(&stage.rehearsal.bundle, &stage.rehearsal.preset, placement)
}

/// Roles change twice under load, and a prefilling engine dies between.
pub struct RolesChanged;

#[async_trait]
impl Scenario for RolesChanged {
    fn name(&self) -> &'static str {
        "roles-changed"
    }

    fn what(&self) -> &'static str {
        "engines split in prefill and decode under load, one killed in a KV transfer, and back"
    }

    fn options(&self) -> RehearsalOptions {
        let flags = TRANSFER_FLAGS.map(str::to_owned);
        RehearsalOptions {
            standins: StandInOptions {
                worker_flags: WorkerFlags(flags.into()),
                ..StandInOptions::default()
            },
            ..RehearsalOptions::default()
        }
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let observer = EngineObserver::new(&stage.rehearsal.standins);
        let model = stage.rehearsal.preset.model;
        let watch = observer.watch(model);
        stage.start_online_of(long_prompts(), LOAD_TIME);
        change(stage, &observer, split(), is_split).await?;
        let worker = lose_in_transfer(stage).await?;
        change(stage, &observer, WorkPlacement::default(), is_both).await?;
        let seen = watch.seen();
        let detail = format!("{} of {} looks with no engine", seen.gaps, seen.looks);
        stage.expect("roles changed without a gap", seen.gaps == 0, model, detail);
        stage.finish_online().await?;
        check_served_beyond(stage, &worker)?;
        check_moved(stage).await
    }
}

async fn change(
    stage: &mut Stage,
    observer: &EngineObserver,
    placement: WorkPlacement,
    wanted: impl Fn(&EngineStates) -> bool,
) -> anyhow::Result<()> {
    let bundle = placed(stage, placement);
    let started = Instant::now();
    stage.rehearsal.roll_out(bundle).await?;
    stage.operations += 1;
    observer
        .await_states("roles as the bundle says", wanted)
        .await?;
    let seconds = started.elapsed().as_secs_f64();
    stage.step(format!("roles are as {placement:?} after {seconds:.1} s"));
    Ok(())
}

/// Kills a worker whose prefill another engine imports right now. Returns its
/// name.
async fn lose_in_transfer(stage: &mut Stage) -> anyhow::Result<String> {
    let worker = await_transfer(stage).await?;
    stage.step(format!("killing {worker} while its KV cache is imported"));
    let mut workers = stage.rehearsal.standins.workers.iter();
    let index = workers.position(|one| one.place.name == worker);
    let index = index.unwrap_or_default();
    let standins = &mut stage.rehearsal.standins;
    standins.workers[index].process.signal(Signal::Kill)?;
    sleep(AWAY).await;
    let launcher = &stage.rehearsal.launcher;
    standins.workers[index].restart(launcher)?;
    standins.await_worker(index).await?;
    Ok(worker)
}

async fn await_transfer(stage: &Stage) -> anyhow::Result<String> {
    let end = Instant::now() + CONDITION_TIME;
    while Instant::now() < end {
        let ledger = stage.ledger()?;
        let mut runs = ledger.all();
        if let Some((_, run)) = runs.find(|(content, run)| in_transfer(&ledger, content, run)) {
            return Ok(run.worker().to_owned());
        }
        sleep(LOOK_PAUSE).await;
    }
    bail!("no KV cache was imported within {CONDITION_TIME:?}")
}

/// Its prefill has just ended and the request itself has not begun.
fn in_transfer(ledger: &LedgerIndex, content: &str, run: &Run) -> bool {
    let age_us = unix_us().saturating_sub(run.ended_us);
    let waits = ledger.runs(content).len() == 1;
    is_prefill(run)
        && run.end == Some(RunEnd::Finished)
        && (TRANSFER_BEGUN_US..TRANSFER_ENDS_US).contains(&age_us)
        && waits
}

fn is_prefill(run: &Run) -> bool {
    run.request_id.ends_with(PREFILL_ENDING)
}

/// Only what decoded at the lost worker may fail: a lost prefill costs the
/// prefill at the decoding engine, no request.
fn check_served_beyond(stage: &mut Stage, worker: &str) -> anyhow::Result<()> {
    let ledger = stage.ledger()?;
    for record in stage.history.online.clone() {
        let runs = ledger.runs(&record.content).iter();
        let mut there = runs.filter(|run| run.worker() == worker && !is_prefill(run));
        let lost = there.any(|run| run.end.is_none());
        let served = record.end == OnlineEnd::Completed || (lost && record.at_most_once);
        let detail = format!("{:?}", record.end);
        let subject = &record.request_id;
        stage.expect("served while roles change", served, subject, detail);
    }
    Ok(())
}

/// KV cache was moved, or nothing was rehearsed.
async fn check_moved(stage: &mut Stage) -> anyhow::Result<()> {
    let tokens = stage.rehearsal.standins.usage().await.imported_tokens;
    let ledger = stage.ledger()?;
    let prefills = ledger.all().filter(|(_, run)| is_prefill(run)).count();
    let detail = format!("{tokens} tokens imported of {prefills} prefills");
    stage.step(&detail);
    stage.expect("KV cache was moved", tokens > 0, "engines", detail);
    Ok(())
}

/// A leader is frozen after it gave orders; its next ones come when another
/// leader has given newer ones.
pub struct OldOrders;

#[async_trait]
impl Scenario for OldOrders {
    fn name(&self) -> &'static str {
        "old-orders"
    }

    fn what(&self) -> &'static str {
        "the leader frozen after its orders; they come again after a newer leader's"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let observer = EngineObserver::new(&stage.rehearsal.standins);
        stage.start_online(LOAD_TIME);
        change(stage, &observer, split(), is_split).await?;
        let old = newest_fence(&observer.look().await);
        let leader = stage.rehearsal.fleet.meta_leader().await?;
        let leader = stage.rehearsal.fleet.control_named(&leader.name)?;
        stage.step(format!("freezing control-{}, {old:?}", leader + 1));
        let controls = &mut stage.rehearsal.fleet.controls;
        controls[leader].process.signal(Signal::Stop)?;
        let changed = change_patiently(stage, &observer).await;
        let refused = match &changed {
            Ok(()) => replay(stage, &observer, old).await,
            Err(_) => Ok(()),
        };
        let controls = &mut stage.rehearsal.fleet.controls;
        controls[leader].process.signal(Signal::Continue)?;
        changed?;
        refused?;
        stage.step("the old leader goes on");
        for _ in 0..LOOKS {
            let states = observer.look().await;
            let detail = format!("{states:?}");
            stage.expect(
                "old orders change nothing",
                is_both(&states),
                "roles",
                detail,
            );
            sleep(LOOK_PAUSE).await;
        }
        stage.finish_online().await?;
        for record in stage.history.online.clone() {
            let served = record.end == OnlineEnd::Completed;
            let detail = format!("{:?}", record.end);
            stage.expect("served meanwhile", served, &record.request_id, detail);
        }
        Ok(())
    }
}

fn newest_fence(states: &EngineStates) -> Fence {
    let fences = states.values().map(|state| state.fence);
    fences
        .max_by_key(|fence| (fence.term, fence.sequence))
        .unwrap_or_default()
}

/// Rolls the roles back while the leader is frozen: the first tries may meet
/// no leader.
async fn change_patiently(stage: &mut Stage, observer: &EngineObserver) -> anyhow::Result<()> {
    let end = Instant::now() + CONDITION_TIME;
    loop {
        match change(stage, observer, WorkPlacement::default(), is_both).await {
            Ok(()) => return Ok(()),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => sleep(LOOK_PAUSE).await,
        }
    }
}

/// Posts to every engine what the frozen leader would have posted next.
async fn replay(stage: &mut Stage, observer: &EngineObserver, old: Fence) -> anyhow::Result<()> {
    stage.step("its next orders reach all engines");
    for (name, address, engine) in observer.engines() {
        let order = FencedOrder {
            fence: Fence {
                term: old.term,
                sequence: old.sequence + 1,
            },
            order: Order::SetRole {
                role: EngineRole::Prefill,
            },
        };
        let url = engine_url(*address, *engine, "orders");
        let call = stage.rehearsal.client().post(url).json(&order);
        let status = call.send().await?.status().as_u16();
        stage.operations += 1;
        let detail = format!("status {status}");
        stage.expect("old orders are refused", status == 409, name, detail);
    }
    Ok(())
}
