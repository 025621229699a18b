//! The task of one group: feeds the replica and wakes at its deadlines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use pinerill_replica::{GroupId, Input, MembershipChange, Replica, ReplicaId};
use pinerill_storage::SnapshotStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::counters::count;
use super::event::{ChangeReply, Event, PendingRequest, ReadReply, StoredWrite};
use super::group_host::Shared;
use super::table_visibility::TableVisibility;
use super::{ChangeError, GroupStatus, ProposeError, StateMachine};

/// Events taken into one round of steps.
const MAX_EVENTS: usize = 1024;

/// The task of one group.
pub(super) struct GroupTask<M> {
    pub(super) group: GroupId,
    pub(super) replica: Replica,
    pub(super) machine: Arc<RwLock<M>>,
    pub(super) shared: Arc<Shared>,
    pub(super) requests: HashMap<u64, PendingRequest>,
    pub(super) visibility: TableVisibility,
    pub(super) outgoing_snapshots: HashMap<ReplicaId, SnapshotStream>,
    /// Index of the last snapshot that was saved or is being saved.
    pub(super) snapshot_index: u64,
    pub(super) saving_snapshot: bool,
    /// Bytes applied since that snapshot.
    pub(super) bytes_since_snapshot: u64,
    /// Weak, so that a stopped host's store completions end nowhere.
    events: mpsc::WeakUnboundedSender<Event>,
    status: watch::Sender<GroupStatus>,
    started: Instant,
    next_token: u64,
    reads: Vec<ReadReply>,
    stopping: bool,
}

impl<M: StateMachine> GroupTask<M> {
    pub(super) fn new(
        group: GroupId,
        replica: Replica,
        machine: Arc<RwLock<M>>,
        shared: Arc<Shared>,
        events: mpsc::WeakUnboundedSender<Event>,
        status: watch::Sender<GroupStatus>,
    ) -> Self {
        let applied = replica.status().applied;
        GroupTask {
            group,
            replica,
            machine,
            shared,
            requests: HashMap::new(),
            visibility: TableVisibility::new(applied),
            outgoing_snapshots: HashMap::new(),
            snapshot_index: applied,
            saving_snapshot: false,
            bytes_since_snapshot: 0,
            events,
            status,
            started: Instant::now(),
            next_token: 0,
            reads: Vec::new(),
            stopping: false,
        }
    }

    /// Runs until the host stops or the store fails.
    pub(super) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Event>) {
        self.step(Input::Tick);
        let mut events = Vec::new();
        while !self.stopping {
            let deadline = self.started + Duration::from_millis(self.replica.next_deadline_ms());
            tokio::select! {
                count = inbox.recv_many(&mut events, MAX_EVENTS) => {
                    if count == 0 {
                        break;
                    }
                }
                () = tokio::time::sleep_until(deadline) => {}
            }
            self.handle_all(&mut events);
        }
        refuse_queued(inbox);
    }

    fn handle_all(&mut self, events: &mut Vec<Event>) {
        for event in events.drain(..) {
            self.handle(event);
        }
        self.start_reads();
        self.step(Input::Tick);
        self.carry_out_all();
        self.publish_status();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message(envelope) => self.step(Input::Message(envelope)),
            Event::Propose {
                command,
                reply,
                permit,
            } => {
                count(&self.shared.counters.proposals, 1);
                let token = self.hold(PendingRequest::Propose {
                    reply,
                    _permit: permit,
                });
                let data = command.into();
                self.step(Input::Propose { token, data });
            }
            Event::Read { reply } => self.reads.push(reply),
            Event::ChangeMembership { change, reply } => self.change_membership(change, reply),
            Event::TransferLeadership { to } => self.step(Input::TransferLeadership { to }),
            Event::Stored(Ok(write)) => self.stored(write),
            Event::Stored(Err(error)) => {
                log::error!("group {}: stopped: {error}", self.group);
                self.stopping = true;
            }
            Event::Stop => self.stopping = true,
        }
    }

    fn change_membership(&mut self, change: MembershipChange, reply: ChangeReply) {
        let token = self.hold(PendingRequest::Change { reply });
        self.step(Input::ChangeMembership { token, change });
    }

    fn stored(&mut self, write: StoredWrite) {
        match write {
            StoredWrite::Persist {
                sequence,
                installed,
            } => {
                if installed {
                    self.visibility.written();
                }
                self.step(Input::Persisted { sequence });
            }
            StoredWrite::Table => self.visibility.written(),
            StoredWrite::Snapshot(meta) => {
                self.saving_snapshot = false;
                count(&self.shared.counters.snapshots_saved, 1);
                self.step(Input::SnapshotSaved { meta });
            }
            StoredWrite::Compaction => {}
        }
    }

    /// Reads that arrived together are one read to the replica.
    fn start_reads(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let replies = std::mem::take(&mut self.reads);
        let token = self.hold(PendingRequest::Reads { replies });
        self.step(Input::ReadIndex { token });
    }

    fn hold(&mut self, request: PendingRequest) -> u64 {
        self.next_token += 1;
        self.requests.insert(self.next_token, request);
        self.next_token
    }

    pub(super) fn step(&mut self, input: Input) {
        let now_ms = self.started.elapsed().as_millis() as u64;
        self.replica.step(now_ms, input);
    }

    /// A completion for the store that reports to this task.
    pub(super) fn completion(&self, write: StoredWrite) -> pinerill_storage::Completion {
        let events = self.events.clone();
        Box::new(move |result| {
            if let Some(events) = events.upgrade() {
                let _ = events.send(Event::Stored(result.map(|()| write)));
            }
        })
    }

    fn publish_status(&self) {
        let status = GroupStatus::new(self.group, self.replica.status());
        self.status.send_if_modified(|current| {
            let modified = current.differs_from(&status);
            *current = status;
            modified
        });
    }
}

/// Requests that never reached the replica did nothing, and are told so.
fn refuse_queued(mut inbox: mpsc::UnboundedReceiver<Event>) {
    inbox.close();
    while let Ok(event) = inbox.try_recv() {
        match event {
            Event::Propose { reply, .. } => drop(reply.send(Err(ProposeError::Stopped))),
            Event::ChangeMembership { reply, .. } => {
                let stopped = ChangeError::Propose(ProposeError::Stopped);
                let _ = reply.send(Err(stopped));
            }
            // A dropped read is answered as stopped.
            _ => {}
        }
    }
}
