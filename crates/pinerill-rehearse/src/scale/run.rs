//! One scale run at one size, measured.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use serde::Serialize;

use super::fleet::{signer, ScaleFleet};
use super::hollow::{HollowResults, Quantiles};
use super::load::{ChangeDriver, JobDriver};
use super::size::Size;
use super::usage::Usage;
use crate::fleet::launcher::Launcher;
use crate::fleet::process::Signal;

/// Hollow nodes connect and settle in this time, once they have the bundle.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Bytes of one tenant in a snapshot of the bundle, about.
const TENANT_BYTES: f64 = 300.0;
/// Bytes of snapshots that five control machines on one machine send a
/// second, about: each sends 20 a second.
const SNAPSHOT_BYTES_PER_SECOND: f64 = 400e6;
/// Time after the load in which the rest is finished.
const FINISH_TIME: Duration = Duration::from_secs(2);
/// Time that nodes have to come back after a control machine died.
const STORM_TIME: Duration = Duration::from_secs(8);
/// Items that one hollow node asks for at once.
const LEASE_LIMIT: u32 = 64;

/// What one process used while measured.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessFigures {
    /// Its name.
    pub name: String,
    /// Share of one core.
    pub cores: f64,
    /// Resident memory at the end, bytes.
    pub resident_bytes: u64,
    /// Bytes written to disk a second.
    pub written_bytes_per_second: f64,
}

/// What one run measured.
#[derive(Debug, Clone, Serialize)]
pub struct RunFigures {
    /// The size.
    pub size: Size,
    /// Each control machine.
    pub controls: Vec<ProcessFigures>,
    /// The real node.
    pub node: ProcessFigures,
    /// All hollow nodes together.
    pub hollow: HollowResults,
    /// Bytes in and out per hollow node and second.
    pub node_bytes_per_second: f64,
    /// Messages in and out per hollow node and second.
    pub node_messages_per_second: f64,
    /// From proposal to known commit, milliseconds.
    pub commit: Quantiles,
    /// From proposal to in force on the last node, milliseconds.
    pub in_force: Quantiles,
    /// Versions that some node never had on its own (it jumped over them by a
    /// later one).
    pub skipped_versions: u64,
    /// Items accepted a second.
    pub accepted_per_second: f64,
    /// Items completed a second.
    pub completed_per_second: f64,
    /// Longest time without a confirmed watch after one control machine was
    /// killed; none when none was.
    pub storm: Option<Quantiles>,
}

/// Runs one size.
///
/// # Errors
/// When a process fails or the load is refused.
pub async fn run(
    launcher: Arc<Launcher>,
    size: &Size,
    kill_control: bool,
) -> anyhow::Result<RunFigures> {
    let mut fleet = ScaleFleet::start(launcher, size).await?;
    let mut driver = ChangeDriver::start(fleet.client()?, signer()).await?;
    driver
        .roll_out_base(size.tenants as u32)
        .await
        .context("rolling out the base bundle")?;
    let settle = settle_time(size);
    fleet.start_hollow_nodes(size, LEASE_LIMIT, settle)?;
    tokio::time::sleep(settle).await;
    let base_version = driver.proposed.len();

    let started = Instant::now();
    let before = usages(&fleet)?;
    let time = Duration::from_secs(size.seconds);
    let jobs = Arc::new(JobDriver::new(
        fleet.client()?,
        size.job_groups as u32,
        size.items_per_job as u32,
    ));
    let (changes, submitted) = tokio::join!(
        driver.run(size.changes_per_second, time),
        submit(&jobs, size, time),
    );
    changes.context("changing the configuration")?;
    submitted?;
    let seconds = started.elapsed().as_secs_f64();
    let after = usages(&fleet)?;
    tokio::time::sleep(FINISH_TIME).await;
    if kill_control {
        fleet.mark_hollow_nodes()?;
        let killed = &mut fleet.pinerill.controls[0];
        killed.process.signal(Signal::Kill)?;
        fleet.pinerill.controls.remove(0);
        tokio::time::sleep(STORM_TIME).await;
    }
    let hollow = fleet.stop_hollow_nodes().await?;
    fleet.stop().await?;

    let figures = figures_of(&before, &after, seconds);
    let (controls, node) = figures.split_at(figures.len() - 1);
    let accepted = jobs.accepted.load(Ordering::Relaxed) as f64;
    let per_node = hollow.nodes as f64 * hollow.seconds;
    let bytes = (hollow.bytes_in + hollow.bytes_out) as f64;
    let messages = (hollow.messages_in + hollow.messages_out) as f64;
    let (in_force, skipped_versions) = in_force(&driver, &hollow, base_version);
    Ok(RunFigures {
        size: size.clone(),
        controls: controls.to_vec(),
        node: node[0].clone(),
        node_bytes_per_second: bytes / per_node,
        node_messages_per_second: messages / per_node,
        commit: driver.commit_times(base_version),
        in_force,
        skipped_versions,
        accepted_per_second: accepted / seconds,
        completed_per_second: hollow.counted as f64 / seconds,
        storm: kill_control.then_some(hollow.unconfirmed),
        hollow,
    })
}

/// All hollow nodes get the whole bundle first, on one machine with the
/// control machines that send it.
fn settle_time(size: &Size) -> Duration {
    let bytes = size.nodes as f64 * size.tenants as f64 * TENANT_BYTES;
    SETTLE_TIME + Duration::from_secs_f64(bytes / SNAPSHOT_BYTES_PER_SECOND)
}

async fn submit(jobs: &Arc<JobDriver>, size: &Size, time: Duration) -> anyhow::Result<()> {
    if size.items_per_second == 0.0 {
        return Ok(());
    }
    jobs.run(size.items_per_second, time).await
}

/// Usage of each control machine and, last, of the real node.
fn usages(fleet: &ScaleFleet) -> anyhow::Result<Vec<(String, Usage)>> {
    let controls = fleet.pinerill.controls.iter().map(|one| &one.process);
    let nodes = fleet.pinerill.nodes.iter().map(|one| &one.process);
    controls
        .chain(nodes)
        .map(|process| {
            let usage = Usage::of_process(process.id())?;
            Ok((process.name().to_owned(), usage))
        })
        .collect()
}

fn figures_of(
    before: &[(String, Usage)],
    after: &[(String, Usage)],
    seconds: f64,
) -> Vec<ProcessFigures> {
    before
        .iter()
        .zip(after)
        .map(|((name, before), (_, after))| ProcessFigures {
            name: name.clone(),
            cores: after.cores_since(before, seconds),
            resident_bytes: after.resident_bytes,
            written_bytes_per_second: (after.written_bytes - before.written_bytes) as f64 / seconds,
        })
        .collect()
}

/// From proposal to in force on the last node, and how many versions some
/// node jumped over.
fn in_force(driver: &ChangeDriver, hollow: &HollowResults, skip: usize) -> (Quantiles, u64) {
    let mut times = Vec::new();
    let mut skipped = 0;
    for (version, proposed) in driver.proposed.iter().skip(skip) {
        let nodes = hollow.versions.get(version).map_or(0, |seen| seen.nodes);
        skipped += u64::from(nodes < hollow.nodes);
        let last = hollow.in_force_us(*version);
        times.extend(last.map(|last| last.saturating_sub(*proposed)));
    }
    (Quantiles::of_microseconds(times), skipped)
}
