//! Proposes what is due by time, while the group is led from here.

use std::sync::Weak;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::command::{JobCommand, JobReply};
use super::service::ServiceParts;
use super::stamper::Stamper;

/// How often it is looked whether something is due.
const INTERVAL: Duration = Duration::from_millis(250);

/// Starts the task, which ends with its service. It holds nothing of the
/// service while it waits, so that the store closes as soon as the service
/// is gone.
pub(super) fn start(parts: Weak<ServiceParts>) {
    tokio::spawn(async move {
        let mut stamper = Stamper::new();
        let mut ticks = tokio::time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(parts) = parts.upgrade() else {
                return;
            };
            if parts.group.status().leads() {
                maintain(&parts, &mut stamper).await;
            }
        }
    });
}

/// Goes on until nothing is due, or the group is not led from here any more.
async fn maintain(parts: &ServiceParts, stamper: &mut Stamper) {
    loop {
        let stamp_ms = stamper.stamp(&parts.group);
        let due = parts
            .group
            .with_machine(|machine| machine.is_maintenance_due(stamp_ms));
        if !due {
            return;
        }
        match parts.proposer.propose(JobCommand::Maintain).await {
            Ok(JobReply::Maintained { more: true }) => {}
            _ => return,
        }
    }
}
