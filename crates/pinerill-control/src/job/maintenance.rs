//! Proposes what is due by time, while the group is led from here.

use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::command::{JobCommand, JobReply};
use super::machine::JobMachine;
use super::proposer::JobProposer;
use super::stamper::Stamper;
use crate::host::GroupHandle;

/// How often it is looked whether something is due.
const INTERVAL: Duration = Duration::from_millis(250);

/// Starts the task. It ends when nobody holds the proposer any more.
pub(super) fn start(group: GroupHandle<JobMachine>, proposer: &JobProposer) {
    let proposer = proposer.downgrade();
    tokio::spawn(async move {
        let mut stamper = Stamper::new(group.clone());
        let mut ticks = tokio::time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(proposer) = proposer.upgrade() else {
                return;
            };
            if group.status().leads() {
                maintain(&group, &proposer, &mut stamper).await;
            }
        }
    });
}

/// Goes on until nothing is due, or the group is not led from here any more.
async fn maintain(group: &GroupHandle<JobMachine>, proposer: &JobProposer, stamper: &mut Stamper) {
    loop {
        let stamp_ms = stamper.stamp();
        if !group.with_machine(|machine| machine.is_maintenance_due(stamp_ms)) {
            return;
        }
        match proposer.propose(JobCommand::Maintain).await {
            Ok(JobReply::Maintained { more: true }) => {}
            _ => return,
        }
    }
}
