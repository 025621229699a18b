//! Brings the members of groups, and what the meta group records of them, to
//! what it plans.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pinerill_wire::message::{
    ClusterStatusRequest, ClusterStatusResponse, GroupReport, Request, Response,
};
use tokio::time::sleep;

use super::control::Control;
use super::membership::{next_step, MembershipStep};
use crate::host::{ChangeError, GroupHandle, GroupStatus};
use crate::meta::{ControlMachine, GroupPlan, MetaCommand};
use pinerill_replica::ChangeRefused;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for another machine's status.
const STATUS_TIME: Duration = Duration::from_secs(1);

impl Control {
    /// Looks after members until the task is dropped.
    pub(super) async fn reconcile(self: Arc<Self>) {
        loop {
            self.propose_founding_if_leading().await;
            self.step_groups().await;
            if self.leads_meta() && self.is_founded() {
                self.record_machines().await;
                self.confirm_groups().await;
            }
            sleep(PAUSE).await;
        }
    }

    async fn propose_founding_if_leading(&self) {
        if self.leads_meta() {
            self.propose_founding().await;
        }
    }

    async fn step_groups(&self) {
        if let Some(meta) = self.groups.meta() {
            self.step_group(meta).await;
        }
        for job in self.groups.jobs() {
            self.step_group(&job.handle).await;
        }
    }

    /// Takes one step of one group that this machine leads.
    async fn step_group<M>(&self, group: &GroupHandle<M>) {
        let status = group.status();
        if !status.leads() || !status.members_committed {
            return;
        }
        let wanted = self.with_meta(|machine| machine.members(status.group.0));
        let Some(wanted) = wanted else {
            return;
        };
        let Some(step) = next_step(status.replica, &status.members, &wanted) else {
            return;
        };
        match step {
            MembershipStep::HandOver => {
                group.transfer_leadership(None).await;
            }
            MembershipStep::Change(change) => {
                let result = group.change_membership(change).await;
                log_change(&status, &change, &result);
            }
        }
    }

    /// Records names, zones and addresses that machines connected with.
    async fn record_machines(&self) {
        for machine in self.connected_machines() {
            let recorded = self.with_meta(|meta| meta.machine(machine.replica).cloned());
            if recorded.is_some_and(|recorded| recorded != machine) {
                self.record_machine(machine).await;
            }
        }
    }

    async fn record_machine(&self, machine: ControlMachine) {
        log::info!(
            "control machine {} is now at {}",
            machine.name,
            machine.address
        );
        let command = MetaCommand::SetMachine(machine);
        // Tried again at the next look.
        let _ = self.propose_meta(&command, "record control machine").await;
    }

    /// Records the voters that leaders have committed, for groups whose plan
    /// has not been reached by the last report.
    async fn confirm_groups(&self) {
        let plans: Vec<GroupPlan> = self
            .with_meta(|machine| Some(machine.groups().cloned().collect()))
            .unwrap_or_default();
        let open: Vec<GroupPlan> = plans.into_iter().filter(is_open).collect();
        if open.is_empty() {
            return;
        }
        let reports = self.leaders_reports().await;
        for plan in open {
            let Some(voters) = reports.get(&plan.group) else {
                continue;
            };
            if *voters != as_set(&plan.confirmed) {
                let command = MetaCommand::ConfirmGroup {
                    group: plan.group,
                    voters: voters.iter().copied().collect(),
                };
                let _ = self.propose_meta(&command, "confirm group").await;
            }
        }
    }

    /// Committed voters by group, each as its leader reports them.
    async fn leaders_reports(&self) -> BTreeMap<u32, BTreeSet<u64>> {
        let mut voters = BTreeMap::new();
        if let Response::ClusterStatus(own) = self.cluster_status() {
            collect_led(&mut voters, self.groups.replica().0, own);
        }
        let questions = self.pool.peers().into_iter().map(|peer| async move {
            let request = Request::ClusterStatus(ClusterStatusRequest);
            let answer = self.pool.call(peer.address, request, STATUS_TIME).await;
            (peer.replica, answer)
        });
        for (replica, answer) in futures::future::join_all(questions).await {
            if let Ok(Response::ClusterStatus(status)) = answer {
                collect_led(&mut voters, replica, status);
            }
        }
        voters
    }
}

fn collect_led(
    voters: &mut BTreeMap<u32, BTreeSet<u64>>,
    replica: u64,
    status: ClusterStatusResponse,
) {
    let is_led = |group: &GroupReport| group.leader == Some(replica) && group.members_committed;
    for group in status.groups.into_iter().filter(is_led) {
        voters.insert(group.group, group.voters.into_iter().collect());
    }
}

fn is_open(plan: &GroupPlan) -> bool {
    as_set(&plan.voters) != as_set(&plan.confirmed)
}

fn as_set(replicas: &[u64]) -> BTreeSet<u64> {
    replicas.iter().copied().collect()
}

fn log_change(
    status: &GroupStatus,
    change: &pinerill_replica::MembershipChange,
    result: &Result<(), ChangeError>,
) {
    let group = status.group;
    match result {
        Ok(()) => log::info!("group {group}: {change:?}"),
        Err(ChangeError::Refused(ChangeRefused::NotCaughtUp(_))) => {
            log::debug!("group {group}: {change:?} waits for the learner");
        }
        Err(error) => log::warn!("group {group}: {change:?}: {error}"),
    }
}
