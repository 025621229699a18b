//! Items through accept, lease and completion, as many as go, with changes of
//! configuration beside them.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;

use super::disk::folder_bytes;
use super::figures::ThroughputFigures;
use super::StateArguments;
use crate::fleet::pinerill::cluster_status;
use crate::scale::fleet::ScaleFleet;
use crate::scale::hollow::{HollowResults, Quantiles};
use crate::scale::load::{ChangeDriver, JobDriver};
use crate::scale::usage::Usage;
use crate::scale::Size;

/// Items that one hollow node asks for at once.
const LEASE_LIMIT: u32 = 512;
/// Hollow nodes connect in this time.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after the load in which the rest is finished.
const FINISH_TIME: Duration = Duration::from_secs(3);

struct Reading {
    syncs: f64,
    entries: u64,
    disk_bytes: u64,
    memory_bytes: u64,
}

/// Measures throughput.
///
/// # Errors
/// When the load is refused or a process dies.
pub async fn measure(
    fleet: &mut ScaleFleet,
    changes: &mut ChangeDriver,
    arguments: &StateArguments,
    size: &Size,
) -> anyhow::Result<ThroughputFigures> {
    fleet.start_hollow_nodes(size, LEASE_LIMIT, SETTLE_TIME)?;
    tokio::time::sleep(SETTLE_TIME).await;
    let skip = changes.proposed.len();
    let jobs = Arc::new(JobDriver::new(
        fleet.client()?,
        size.job_groups as u32,
        size.items_per_job as u32,
    ));
    let before = read(fleet).await?;
    let started = Instant::now();
    let time = Duration::from_secs(size.seconds);
    let (changed, submitted) = tokio::join!(
        changes.run(size.changes_per_second, time),
        jobs.run_closed(arguments.submitters as u32, time),
    );
    changed.context("changing the configuration")?;
    submitted?;
    let seconds = started.elapsed().as_secs_f64();
    let after = read(fleet).await?;
    tokio::time::sleep(FINISH_TIME).await;
    let hollow = fleet.stop_hollow_nodes().await?;
    let accepted = jobs.accepted.load(Ordering::Relaxed) as f64;
    let completed = hollow.counted as f64;
    let machines = fleet.pinerill.controls.len() as f64;
    Ok(ThroughputFigures {
        seconds,
        accepted_per_second: accepted / seconds,
        leased_per_second: hollow.leased as f64 / hollow.seconds,
        completed_per_second: completed / hollow.seconds,
        syncs_per_second: (after.syncs - before.syncs) / seconds,
        syncs_per_item: (after.syncs - before.syncs) / completed,
        entries_per_item: (after.entries - before.entries) as f64 / completed,
        disk_bytes_per_item: (after.disk_bytes - before.disk_bytes) as f64 / machines / accepted,
        memory_bytes_per_item: after.memory_bytes.saturating_sub(before.memory_bytes) as f64
            / machines
            / accepted,
        commit: changes.commit_times(skip),
        in_force: in_force_times(changes, &hollow, skip),
        late: hollow.late,
    })
}

async fn read(fleet: &ScaleFleet) -> anyhow::Result<Reading> {
    let status = cluster_status(&*fleet.client()?).await?;
    let mut reading = Reading {
        syncs: fleet
            .pinerill
            .sum_metric("pinerill_store_syncs_total")
            .await?,
        entries: status.groups.iter().map(|group| group.commit).sum(),
        disk_bytes: 0,
        memory_bytes: 0,
    };
    for (index, control) in fleet.pinerill.controls.iter().enumerate() {
        reading.disk_bytes += folder_bytes(&fleet.data_folder(index));
        reading.memory_bytes += Usage::of_process(control.process.id())?.resident_bytes;
    }
    Ok(reading)
}

fn in_force_times(changes: &ChangeDriver, hollow: &HollowResults, skip: usize) -> Quantiles {
    let times = changes
        .committed
        .iter()
        .skip(skip)
        .filter_map(|(version, at)| Some(hollow.in_force_us(*version)?.saturating_sub(*at)));
    Quantiles::of_microseconds(times)
}
