//! The leader of the meta group is killed; how long until the next bundle is
//! accepted?

use std::time::{Duration, Instant};

use anyhow::{bail, Context};

use super::figures::FailoverFigures;
use crate::fleet::process::Signal;
use crate::scale::fleet::{cluster_status, ScaleFleet};
use crate::scale::load::ChangeDriver;

/// Longest time until a bundle must be accepted again.
const LONGEST: Duration = Duration::from_secs(20);
/// Pause before a proposal is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Kills the leader and measures.
///
/// # Errors
/// When no bundle is accepted in time.
pub async fn measure(
    fleet: &mut ScaleFleet<'_>,
    changes: &mut ChangeDriver,
) -> anyhow::Result<FailoverFigures> {
    let status = cluster_status(&fleet.client()).await?;
    let meta = status.groups.iter().find(|group| group.group == 0);
    let leader = meta
        .and_then(|group| group.leader)
        .context("the meta group has no leader")?;
    let record = status
        .replicas
        .iter()
        .find(|replica| replica.replica == leader)
        .context("the leader is not among the control machines")?;
    let killed = fleet
        .controls
        .iter()
        .position(|process| process.name() == record.name)
        .context("the leader is not among the processes")?;
    let started = Instant::now();
    fleet.controls[killed].signal(Signal::Kill)?;
    loop {
        match changes.change_once().await {
            Ok(()) => break,
            Err(error) if started.elapsed() > LONGEST => {
                bail!("no bundle accepted {LONGEST:?} after the kill: {error:#}");
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    Ok(FailoverFigures {
        next_accepted_ms: started.elapsed().as_secs_f64() * 1_000.0,
        killed,
        killed_replica: leader,
    })
}
