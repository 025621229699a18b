//! The killed machine's disk is lost: an empty folder takes its place.

use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use pinerill_wire::api::ControlApi;
use pinerill_wire::message::{ReplaceReplica, Request, Response};

use super::disk::folder_bytes;
use super::figures::{FailoverFigures, RepairFigures};
use crate::scale::fleet::ScaleFleet;

/// Longest time of the repair.
const LONGEST: Duration = Duration::from_secs(120);
/// Longest time for one question.
const CALL_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Empties the folder, starts the machine again and replaces the lost one.
///
/// # Errors
/// When the repair is not done in time.
pub async fn measure(
    fleet: &mut ScaleFleet,
    failover: &FailoverFigures,
) -> anyhow::Result<RepairFigures> {
    let folder = fleet.data_folder(failover.killed);
    let lost_bytes = folder_bytes(&folder);
    std::fs::remove_dir_all(&folder)
        .with_context(|| format!("losing the disk {}", folder.display()))?;
    fleet.pinerill.restart_control(failover.killed).await?;
    let name = fleet.pinerill.controls[failover.killed].process.name();
    let lost = failover.killed_replica;
    let new = fleet.pinerill.await_new_identity(name, lost).await?;
    let started = Instant::now();
    let request = Request::ReplaceReplica(ReplaceReplica { lost, new });
    let client = fleet.client()?;
    let mut last = String::new();
    while started.elapsed() < LONGEST {
        match client.call_any(request.clone(), CALL_TIME).await {
            Ok(Response::ReplaceReplica(progress)) if progress.remaining == 0 => {
                return Ok(RepairFigures {
                    lost_bytes,
                    seconds: started.elapsed().as_secs_f64(),
                    groups: progress.done,
                });
            }
            Ok(answer) => last = format!("{answer:?}"),
            Err(error) => last = error.to_string(),
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    bail!("repair not done after {LONGEST:?}: {last}")
}
