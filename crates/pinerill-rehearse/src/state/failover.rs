//! The leader of the meta group is killed; how long until the next bundle is
//! accepted?

use std::time::{Duration, Instant};

use anyhow::bail;

use super::figures::FailoverFigures;
use crate::fleet::process::Signal;
use crate::scale::fleet::ScaleFleet;
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
    fleet: &mut ScaleFleet,
    changes: &mut ChangeDriver,
) -> anyhow::Result<FailoverFigures> {
    let leader = fleet.pinerill.meta_leader().await?;
    let killed = fleet.pinerill.control_named(&leader.name)?;
    let started = Instant::now();
    fleet.pinerill.controls[killed]
        .process
        .signal(Signal::Kill)?;
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
        killed_replica: leader.replica,
    })
}
