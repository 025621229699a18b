//! The host: starts groups, routes messages, stops.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use pinerill_replica::{Envelope, GroupId, ReplicaId};
use pinerill_storage::GroupStore;
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;

use super::counters::{count, CounterCells};
use super::driver::GroupDriver;
use super::event::Event;
use super::inbox::EventSender;
use super::pause_timeout::timeout_without_pauses;
use super::task::GroupTask;
use super::{
    GroupHandle, GroupStatus, HostCounters, HostError, HostSettings, StateMachine, Transport,
};

/// Longest election timeouts that a planned stop waits for successors: one for voters that are
/// told to campaign and don't, one for a split vote, one for the election that follows it.
const HAND_OVER_ELECTIONS: u32 = 3;

struct RunningGroup {
    events: EventSender,
    status: watch::Receiver<GroupStatus>,
}

/// What the host shares with its tasks.
pub(super) struct Shared {
    pub(super) store: Arc<dyn GroupStore>,
    pub(super) transport: Arc<dyn Transport>,
    pub(super) settings: HostSettings,
    pub(super) counters: CounterCells,
}

struct Inner {
    shared: Arc<Shared>,
    groups: RwLock<HashMap<GroupId, RunningGroup>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

/// Runs the groups of one process; clones are handles on the same host.
#[derive(Clone)]
pub struct GroupHost {
    inner: Arc<Inner>,
}

impl GroupHost {
    /// Starts a host without groups.
    pub fn start(
        store: Arc<dyn GroupStore>,
        transport: Arc<dyn Transport>,
        settings: HostSettings,
    ) -> Self {
        let shared = Shared {
            store,
            transport,
            settings,
            counters: CounterCells::default(),
        };
        GroupHost {
            inner: Arc::new(Inner {
                shared: Arc::new(shared),
                groups: RwLock::default(),
                tasks: Mutex::default(),
            }),
        }
    }

    /// The identifier of this process's data folder.
    pub fn replica_id(&self) -> ReplicaId {
        self.inner.shared.store.identity().replica
    }

    /// Runs a group. If the store knows it, it continues from there and
    /// `members` is ignored. Otherwise `members` are the first voters of a
    /// new group; all of them must be given the same ones, once, by the
    /// bootstrap. Without members, the replica waits to be added as a
    /// learner. Must be called within a tokio runtime.
    pub fn add_group<M: StateMachine>(
        &self,
        group: GroupId,
        members: &[ReplicaId],
        machine: M,
    ) -> Result<GroupHandle<M>, HostError> {
        let mut groups = self.inner.groups.write();
        if groups.contains_key(&group) {
            return Err(HostError::GroupRuns(group));
        }
        let shared = self.inner.shared.clone();
        let config = shared.settings.replica_config(self.replica_id(), group);
        let bounds = shared.settings.driver_settings();
        let driver = GroupDriver::start(config, members, machine, shared.store.clone(), bounds)?;
        let (events, inbox) = EventSender::new(shared.settings.clock.clone());
        let status = GroupStatus::new(group, driver.status());
        let (status_sender, status) = watch::channel(status);
        let handle = GroupHandle {
            group,
            machine: driver.machine().clone(),
            store: shared.store.clone(),
            events: events.clone(),
            places: Arc::new(Semaphore::new(shared.settings.max_pending_proposals)),
            status: status.clone(),
            read_timeout: shared.settings.read_timeout,
        };
        let task = GroupTask::new(group, driver, shared, events.downgrade(), status_sender);
        self.inner.tasks.lock().push(tokio::spawn(task.run(inbox)));
        groups.insert(group, RunningGroup { events, status });
        Ok(handle)
    }

    /// Groups that run here.
    pub fn groups(&self) -> Vec<GroupId> {
        self.inner.groups.read().keys().copied().collect()
    }

    /// Passes a message from the transport to its group.
    pub fn on_message(&self, envelope: Envelope) {
        let counters = &self.inner.shared.counters;
        count(&counters.messages_received, 1);
        let groups = self.inner.groups.read();
        match groups.get(&envelope.group) {
            // A closed inbox means that the group stops: the message is lost.
            Some(group) => {
                let _ = group.events.send(Event::Message(envelope));
            }
            None => count(&counters.messages_unknown_group, 1),
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> HostCounters {
        let shared = &self.inner.shared;
        shared.counters.values(shared.store.as_ref())
    }

    /// A planned stop: hands over every leadership, then stops the groups.
    pub async fn stop(&self) {
        self.hand_over().await;
        self.halt().await;
    }

    /// Stops the groups at once, as a crash would.
    pub async fn halt(&self) {
        for (_, group) in self.inner.groups.write().drain() {
            let _ = group.events.send(Event::Stop);
        }
        let tasks = std::mem::take(&mut *self.inner.tasks.lock());
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Takes no more proposals and hands every leadership over to another voter. Returns once
    /// this replica has heard from each group's new leader, or when no voter took over within
    /// the time of some elections. Until then it votes: a successor may need its vote.
    pub async fn hand_over(&self) {
        let mut statuses = Vec::new();
        for group in self.inner.groups.read().values() {
            let _ = group.events.send(Event::Drain);
            statuses.push(group.status.clone());
        }
        let settings = &self.inner.shared.settings;
        let limit: Duration = settings.election_max * HAND_OVER_ELECTIONS;
        let all_led_elsewhere = async {
            for status in &mut statuses {
                let _ = status.wait_for(GroupStatus::has_nothing_to_hand_over).await;
            }
        };
        let in_time = timeout_without_pauses(limit, settings.heartbeat, all_led_elsewhere).await;
        if in_time.is_none() {
            log::warn!("stop: no other replica leads every group after {limit:?}");
        }
    }
}
