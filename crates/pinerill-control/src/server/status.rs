//! How the control machines are.

use std::collections::BTreeSet;

use pinerill_replica::ReplicaId;
use pinerill_wire::message::{
    ClusterStatusResponse, GroupReport, RefusalCode, ReplaceReplica, ReplaceReplicaResponse,
    Response,
};

use super::control::{replica_record, Control};
use super::refusal::refused;
use crate::host::GroupStatus;
use crate::meta::{ControlMachine, MetaCommand, MetaReply};

const REPLACE: &str = "replace replica";

impl Control {
    /// Control machines and the groups that run here.
    pub(super) fn cluster_status(&self) -> Response {
        let connected = self.connected_machines();
        let reachable: BTreeSet<u64> = connected.iter().map(|one| one.replica).collect();
        let recorded: Vec<ControlMachine> = self
            .with_meta(|machine| Some(machine.machines().cloned().collect()))
            .unwrap_or_default();
        // Strangers are listed as well: a new folder's identity is needed to
        // put it in the place of a lost one.
        let known: BTreeSet<u64> = recorded.iter().map(|one| one.replica).collect();
        let strangers = connected
            .into_iter()
            .filter(|one| !known.contains(&one.replica));
        let replicas = recorded
            .into_iter()
            .chain(strangers)
            .map(|machine| replica_record(&machine, reachable.contains(&machine.replica)))
            .collect();
        Response::ClusterStatus(ClusterStatusResponse {
            cluster_id: self.identity.cluster_id(),
            replicas,
            groups: self.groups.statuses().iter().map(group_report).collect(),
        })
    }

    /// Plans a new machine in the place of a lost one, and tells how far that
    /// is. The leaders of the groups carry it out.
    pub(super) async fn replace_replica(&self, replace: ReplaceReplica) -> Response {
        if !self.leads_meta() {
            return self.not_leader(pinerill_wire::message::META_GROUP, REPLACE);
        }
        let known = self.with_meta(|machine| machine.machine(replace.new).cloned());
        let connected = self.connected_machines();
        let connected = connected
            .into_iter()
            .find(|machine| machine.replica == replace.new);
        let Some(new) = known.or(connected) else {
            // One that was just started connects in a moment.
            let message = format!("replica {:016x} is not connected", replace.new);
            return refused(RefusalCode::Unavailable, REPLACE, self.name(), message);
        };
        let command = MetaCommand::ReplaceMachine {
            lost: replace.lost,
            new,
        };
        match self.propose_meta(&command, REPLACE).await {
            Ok(MetaReply::Replacement(progress)) => {
                Response::ReplaceReplica(ReplaceReplicaResponse {
                    done: progress.done,
                    remaining: progress.remaining,
                })
            }
            Ok(other) => self.unexpected(REPLACE, &other),
            Err(refusal) => *refusal,
        }
    }
}

fn group_report(status: &GroupStatus) -> GroupReport {
    let identities = |replicas: &BTreeSet<ReplicaId>| replicas.iter().map(|one| one.0).collect();
    GroupReport {
        group: status.group.0,
        leader: status.leader.map(|leader| leader.0),
        term: status.term,
        commit: status.commit,
        applied: status.applied,
        voters: identities(&status.members.voters),
        learners: identities(&status.members.learners),
        members_committed: status.members_committed,
    }
}
