//! Starting a group from its store, or for the first time.

use std::sync::Arc;

use pinerill_replica::{GroupId, Replica, ReplicaConfig, ReplicaId, SnapshotMeta};
use pinerill_storage::{GroupStore, Operation, RestoredGroup, WriteBatch};

use super::pause_detector::PauseDetector;
use super::{DriverSettings, GroupDriver};
use crate::host::{HostError, StateMachine};

impl<M: StateMachine, R> GroupDriver<M, R> {
    /// Starts a group. If the store knows it, it continues from there and
    /// `members` is ignored. Otherwise `members` are the first voters of a
    /// new group; without any, the replica waits to be added as a learner.
    ///
    /// # Errors
    /// When the store fails or the machine refuses the stored snapshot.
    pub fn start(
        config: ReplicaConfig,
        members: &[ReplicaId],
        mut machine: M,
        store: Arc<dyn GroupStore>,
        settings: DriverSettings,
    ) -> Result<Self, HostError> {
        let group = config.group;
        let restored = restore(store.as_ref(), group, members, &mut machine)?;
        let pauses = PauseDetector::new(config.heartbeat_ms);
        let replica = Replica::new(config, restored.state);
        let driver = GroupDriver::new(group, replica, machine, store, settings, pauses);
        Ok(driver)
    }
}

fn restore<M: StateMachine>(
    store: &dyn GroupStore,
    group: GroupId,
    members: &[ReplicaId],
    machine: &mut M,
) -> Result<RestoredGroup, HostError> {
    let storage = |error| HostError::Storage { group, error };
    let stored = store.restore(group).map_err(storage)?;
    let Some(stored) = stored else {
        return Ok(bootstrap(store, group, members, machine));
    };
    if stored.state.snapshot.index > 0 {
        machine
            .restore(&stored.memory)
            .map_err(|error| HostError::Restore { group, error })?;
    }
    Ok(stored)
}

/// Writes the first snapshot of a new group. Nothing waits for its sync: any
/// vote or acknowledgement of the replica is written, and so synced, after it.
fn bootstrap<M: StateMachine>(
    store: &dyn GroupStore,
    group: GroupId,
    members: &[ReplicaId],
    machine: &M,
) -> RestoredGroup {
    let mut restored = RestoredGroup {
        state: Default::default(),
        memory: Vec::new(),
    };
    if members.is_empty() {
        return restored;
    }
    restored.memory = machine.snapshot();
    restored.state.snapshot = SnapshotMeta::bootstrap(members.iter().copied());
    let mut batch = WriteBatch::new(group);
    batch.operations.push(Operation::SaveSnapshot {
        meta: restored.state.snapshot.clone(),
        memory: restored.memory.clone(),
    });
    let log_failure = move |result: Result<(), _>| {
        if let Err(error) = result {
            log::error!("group {group}: bootstrap: {error}");
        }
    };
    store.write(batch, Box::new(log_failure));
    restored
}
