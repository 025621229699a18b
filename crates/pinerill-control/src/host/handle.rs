//! The callers' side of a group.

use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use pinerill_replica::{GroupId, MembershipChange, ReplicaId};
use pinerill_storage::{GroupReader, GroupStore, StateEntry, StorageError};
use tokio::sync::{oneshot, watch, Semaphore};

use super::event::Event;
use super::inbox::EventSender;
use super::{ChangeError, GroupStatus, ProposeError, ReadError};

/// A cheaply cloned handle on a running group.
pub struct GroupHandle<M> {
    pub(super) group: GroupId,
    pub(super) machine: Arc<RwLock<M>>,
    pub(super) store: Arc<dyn GroupStore>,
    pub(super) events: EventSender,
    pub(super) places: Arc<Semaphore>,
    pub(super) status: watch::Receiver<GroupStatus>,
    pub(super) read_timeout: Duration,
}

/// A command that was proposed and whose outcome is not known yet.
#[must_use]
pub struct EnqueuedCommand {
    answer: oneshot::Receiver<Result<Vec<u8>, ProposeError>>,
}

impl EnqueuedCommand {
    /// Resolves with the machine's answer once the command is committed and applied here.
    pub async fn answer(self) -> Result<Vec<u8>, ProposeError> {
        self.answer.await.unwrap_or(Err(ProposeError::Unknown))
    }
}

impl<M> Clone for GroupHandle<M> {
    fn clone(&self) -> Self {
        GroupHandle {
            group: self.group,
            machine: self.machine.clone(),
            store: self.store.clone(),
            events: self.events.clone(),
            places: self.places.clone(),
            status: self.status.clone(),
            read_timeout: self.read_timeout,
        }
    }
}

impl<M> GroupHandle<M> {
    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Proposes a command; resolves with the machine's answer once it is
    /// committed and applied here. Table writes of the command are visible
    /// after a [`GroupHandle::read_barrier`].
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        self.enqueue(command)?.answer().await
    }

    /// Proposes a command without waiting for it. Commands of one leader are applied in the
    /// order in which they were enqueued.
    ///
    /// # Errors
    /// [`ProposeError::Busy`] or [`ProposeError::Stopped`] if the command was not enqueued.
    pub fn enqueue(&self, command: Vec<u8>) -> Result<EnqueuedCommand, ProposeError> {
        let places = self.places.clone();
        let permit = places.try_acquire_owned().map_err(|_| ProposeError::Busy)?;
        let (reply, answer) = oneshot::channel();
        let event = Event::Propose {
            command,
            reply,
            permit,
        };
        self.events.send(event).map_err(|_| ProposeError::Stopped)?;
        Ok(EnqueuedCommand { answer })
    }

    /// Waits until this replica has applied, visibly in machine and table,
    /// everything that was committed anywhere when the call began. Works on
    /// followers and learners too. Returns the confirmed index.
    pub async fn read_barrier(&self) -> Result<u64, ReadError> {
        fail::fail_point!("host-read-without-barrier", |_| Ok(0));
        let (reply, answer) = oneshot::channel();
        self.events
            .send(Event::Read { reply })
            .map_err(|_| ReadError::Stopped)?;
        match tokio::time::timeout(self.read_timeout, answer).await {
            Ok(Ok(confirmed)) => confirmed,
            Ok(Err(_)) => Err(ReadError::Stopped),
            Err(_) => Err(ReadError::Timeout),
        }
    }

    /// Looks at the state machine. The closure must be short: applying waits.
    pub fn with_machine<R>(&self, look: impl FnOnce(&M) -> R) -> R {
        look(&self.machine.read())
    }

    /// A consistent view of the state table as it is on disk now.
    pub fn table(&self) -> Result<TableReader, ReadError> {
        let reader = self.store.reader(self.group)?;
        Ok(TableReader { reader })
    }

    /// The group as seen from this process.
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }

    /// Follows changes of the status.
    pub fn watch_status(&self) -> watch::Receiver<GroupStatus> {
        self.status.clone()
    }

    /// Changes one member; resolves once the change is committed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ChangeError> {
        let (reply, answer) = oneshot::channel();
        self.events
            .send(Event::ChangeMembership { change, reply })
            .map_err(|_| ProposeError::Stopped)?;
        answer
            .await
            .unwrap_or(Err(ChangeError::Propose(ProposeError::Unknown)))
    }

    /// Hands leadership over, to the voter with the longest log if `to` is
    /// `None`. Resolves once this replica no longer leads; false if it still
    /// does when the attempt has run out.
    pub async fn transfer_leadership(&self, to: Option<ReplicaId>) -> bool {
        let mut status = self.status.clone();
        if self.events.send(Event::TransferLeadership { to }).is_err() {
            return true;
        }
        let replica = status.borrow().replica;
        let gone = status.wait_for(|status| status.leader != Some(replica));
        let waited = tokio::time::timeout(self.read_timeout, gone).await;
        waited.is_ok()
    }
}

/// A consistent view of a group's state table.
pub struct TableReader {
    reader: Box<dyn GroupReader>,
}

impl TableReader {
    /// The value of a key.
    ///
    /// # Errors
    /// When the store can't be read.
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        self.reader.get(key)
    }

    /// At most `limit` entries in key order.
    pub fn scan(
        &self,
        from: Bound<&[u8]>,
        to: Bound<&[u8]>,
        limit: usize,
    ) -> Result<Vec<StateEntry>, StorageError> {
        self.reader.scan(from, to, limit)
    }
}

impl crate::machine::TableReader for TableReader {
    fn get(&self, key: &[u8]) -> anyhow::Result<Option<Vec<u8>>> {
        Ok(self.reader.get(key)?)
    }
}
