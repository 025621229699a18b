//! The replicated groups that run in this process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use parking_lot::{Mutex, RwLock};
use pinerill_replica::{Envelope, GroupId, Message, ReplicaId};
use pinerill_storage::{ClusterId, GroupStore};
use pinerill_wire::connection::Identity;
use pinerill_wire::message::{GroupVoters, META_GROUP};
use tokio::sync::Notify;

use super::groups_runtime::GroupsRuntime;
use crate::host::{GroupHandle, GroupHost, GroupStatus, HostError};
use crate::job::{JobMachine, JobService};
use crate::meta::MetaMachine;

/// One job group that runs here.
#[derive(Clone)]
pub(super) struct JobGroup {
    pub(super) handle: GroupHandle<JobMachine>,
    pub(super) service: JobService,
}

/// The groups that run here, and the cluster that they belong to.
pub(super) struct Groups {
    host: GroupHost,
    runtime: GroupsRuntime,
    store: Arc<dyn GroupStore>,
    identity: Identity,
    meta: OnceLock<GroupHandle<MetaMachine>>,
    jobs: RwLock<BTreeMap<u32, JobGroup>>,
    opening: Mutex<BTreeSet<GroupId>>,
    /// The meta group was opened.
    pub(super) meta_opened: Notify,
}

impl Groups {
    pub(super) fn new(
        host: GroupHost,
        runtime: GroupsRuntime,
        store: Arc<dyn GroupStore>,
        identity: Identity,
    ) -> Self {
        Self {
            host,
            runtime,
            store,
            identity,
            meta: OnceLock::new(),
            jobs: RwLock::default(),
            opening: Mutex::default(),
            meta_opened: Notify::new(),
        }
    }

    /// Identity of this machine's data folder.
    pub(super) fn replica(&self) -> ReplicaId {
        self.host.replica_id()
    }

    /// The host.
    pub(super) fn host(&self) -> &GroupHost {
        &self.host
    }

    /// The meta group, once it runs here.
    pub(super) fn meta(&self) -> Option<&GroupHandle<MetaMachine>> {
        self.meta.get()
    }

    /// A job group that runs here.
    pub(super) fn job(&self, group: u32) -> Option<JobGroup> {
        self.jobs.read().get(&group).cloned()
    }

    /// All job groups that run here.
    pub(super) fn jobs(&self) -> Vec<JobGroup> {
        self.jobs.read().values().cloned().collect()
    }

    /// Status of every group that runs here, the meta group first.
    pub(super) fn statuses(&self) -> Vec<GroupStatus> {
        let meta = self.meta().map(GroupHandle::status);
        let jobs = self.jobs();
        let jobs = jobs.iter().map(|job| job.handle.status());
        meta.into_iter().chain(jobs).collect()
    }

    /// Internal address of a replica, as the meta group knows it.
    pub(super) fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        let meta = self.meta()?;
        meta.with_machine(|machine| machine.machine(replica.0).map(|one| one.address))
    }

    /// Starts all groups of the data folder.
    pub(super) fn open_stored(self: &Arc<Self>) -> anyhow::Result<()> {
        for group in self.store.groups()? {
            self.open(group, &[])?;
        }
        Ok(())
    }

    /// Makes this folder a member of the cluster, durably.
    pub(super) fn join_cluster(&self, cluster_id: u64) -> anyhow::Result<()> {
        self.store.join_cluster(ClusterId(cluster_id))?;
        self.identity.set_cluster_id(cluster_id);
        Ok(())
    }

    /// Starts the groups of a new cluster in which this replica votes.
    pub(super) fn create(self: &Arc<Self>, groups: &[GroupVoters]) -> anyhow::Result<()> {
        let own = self.replica();
        for group in groups {
            let voters: Vec<ReplicaId> = group.voters.iter().copied().map(ReplicaId).collect();
            if voters.contains(&own) {
                self.open(GroupId(group.group), &voters)?;
            }
        }
        Ok(())
    }

    /// Starts a group; one that runs already is left as it is.
    fn open(self: &Arc<Self>, group: GroupId, voters: &[ReplicaId]) -> anyhow::Result<()> {
        let _inside = self.runtime.enter();
        let opened = if group.0 == META_GROUP {
            self.open_meta(group, voters)
        } else {
            self.open_job(group, voters)
        };
        match opened {
            Err(HostError::GroupRuns(_)) => Ok(()),
            other => Ok(other?),
        }
    }

    fn open_meta(&self, group: GroupId, voters: &[ReplicaId]) -> Result<(), HostError> {
        let handle = self.host.add_group(group, voters, MetaMachine::new())?;
        // The host has just refused a second one.
        let _ = self.meta.set(handle);
        self.meta_opened.notify_waiters();
        Ok(())
    }

    fn open_job(self: &Arc<Self>, group: GroupId, voters: &[ReplicaId]) -> Result<(), HostError> {
        let handle = self.host.add_group(group, voters, job_machine(group.0))?;
        let groups = Arc::downgrade(self);
        let address = move |replica| groups.upgrade()?.address(replica);
        let service = JobService::start(handle.clone(), address);
        let job = JobGroup { handle, service };
        self.jobs.write().insert(group.0, job);
        Ok(())
    }

    /// Takes a message of a replicated group in. One for a group that does
    /// not run here, from a leader that counts this replica as a member,
    /// starts the group without members: it has no vote until that leader's
    /// log says otherwise.
    pub(super) fn on_message(self: &Arc<Self>, envelope: Envelope, cluster_id: u64) {
        let group = envelope.group;
        let known = group.0 == META_GROUP && self.meta().is_some()
            || self.jobs.read().contains_key(&group.0);
        if known || envelope.to != self.replica() || !comes_from_leader(&envelope.message) {
            self.host.on_message(envelope);
            return;
        }
        if cluster_id != 0 && self.opening.lock().insert(group) {
            let groups = self.clone();
            tokio::task::spawn_blocking(move || groups.open_as_learner(group, cluster_id));
        }
    }

    fn open_as_learner(self: &Arc<Self>, group: GroupId, cluster_id: u64) {
        let joined = self.join_cluster(cluster_id);
        match joined.and_then(|()| self.open(group, &[])) {
            Ok(()) => log::info!("group {group}: joined as a learner"),
            Err(error) => log::error!("group {group}: start as a learner: {error:#}"),
        }
        self.opening.lock().remove(&group);
    }
}

/// The state machine of a new job group.
fn job_machine(group: u32) -> JobMachine {
    fail::fail_point!("job-resent-is-new", |_| JobMachine::with_defect(
        group,
        crate::job::JobDefect::ResentJobIsNew
    ));
    JobMachine::new(group)
}

fn comes_from_leader(message: &Message) -> bool {
    matches!(
        message,
        Message::AppendRequest(_) | Message::SnapshotChunk(_) | Message::Heartbeat(_)
    )
}
