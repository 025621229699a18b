//! One group as a pure driver: replica, state machine and what is on its way
//! to the store.
//!
//! The driver reads no clock and does no I/O but for reading stored
//! snapshots. It is fed with [`DriverInput`]s; a round of them yields
//! [`Effect`]s that the caller carries out in their order. The host's task
//! and the simulation run this same code.

mod outgoing;
mod output;
mod pause_detector;
mod snapshot;
mod start;
mod table_visibility;

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::RwLock;
use pinerill_replica::{
    Envelope, GroupId, Input, MembershipChange, Replica, ReplicaId, RoleChange, SnapshotMeta,
    Status,
};
use pinerill_storage::{GroupStore, StorageError, WriteBatch};

use self::outgoing::OutgoingSnapshots;
use self::pause_detector::PauseDetector;
use self::table_visibility::TableVisibility;
use super::{ChangeError, ProposeError, ReadError, StateMachine, UnreadableState};

/// Bounds of a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriverSettings {
    /// Applied entries after which a snapshot is saved.
    pub snapshot_entries: u64,
    /// Applied bytes after which a snapshot is saved.
    pub snapshot_bytes: u64,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
}

/// One event for a driver. `R` names the request that an answer belongs to.
pub enum DriverInput<R> {
    /// A message arrived.
    Message(Envelope),
    /// A caller proposes a command.
    Propose {
        /// The command.
        command: Vec<u8>,
        /// Names the request.
        request: R,
    },
    /// A caller wants to read everything committed so far.
    Read {
        /// Names the request.
        request: R,
    },
    /// A caller changes one member.
    ChangeMembership {
        /// The change.
        change: MembershipChange,
        /// Names the request.
        request: R,
    },
    /// Leadership is to be handed over.
    TransferLeadership {
        /// The next leader; `None` picks the voter with the longest log.
        to: Option<ReplicaId>,
    },
    /// The process is about to stop.
    Drain,
    /// A write of an [`Effect::Write`] is durable. Writes are reported in
    /// the order of their effects.
    Stored(StoredWrite),
}

/// What a write was for; given back once it is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredWrite {
    /// A replica's write.
    Persist {
        /// Its place in the order of the replica's writes.
        sequence: u64,
        /// Whether it replaced the state table.
        installed: bool,
    },
    /// Table writes of applied entries.
    Table,
    /// A snapshot of applied entries.
    Snapshot(SnapshotMeta),
    /// A compaction of the log.
    Compaction,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// To a proposal: the machine's answer.
    Proposed(Result<Vec<u8>, ProposeError>),
    /// To a read: the confirmed index, now visible in machine and table.
    Read(Result<u64, ReadError>),
    /// To a change of membership.
    Changed(Result<(), ChangeError>),
}

/// What a driver wants done.
pub enum Effect<R> {
    /// To be queued at the store behind all earlier ones.
    Write {
        /// The changes.
        batch: WriteBatch,
        /// To be reported by [`DriverInput::Stored`] once durable.
        write: StoredWrite,
    },
    /// To be sent; rests on nothing that is not durable.
    Send(Envelope),
    /// To be passed to the caller.
    Answer {
        /// Names the request.
        request: R,
        /// Its answer.
        answer: Answer,
    },
    /// Role, term or leader changed.
    RoleChanged(RoleChange),
    /// Entries were applied.
    Applied {
        /// How many.
        entries: usize,
    },
    /// A snapshot from the leader took the place of the machine's state.
    SnapshotInstalled,
    /// The process was paused.
    ProcessPaused {
        /// Length in milliseconds.
        ms: u64,
    },
    /// The group can't go on.
    Failed(StorageError),
    /// An entry or a snapshot can't be read by this build. The driver must not be used any
    /// more: what it answered and voted from then on would rest on a state that lags.
    Unreadable {
        /// Index of the entry, or of the snapshot.
        index: u64,
        /// Why.
        error: UnreadableState,
    },
}

/// A request that the replica holds under a token.
enum PendingRequest<R> {
    Propose(R),
    Change(R),
    /// All reads that arrived together.
    Reads(Vec<R>),
}

/// One group: see the module.
pub struct GroupDriver<M, R> {
    group: GroupId,
    replica: Replica,
    machine: Arc<RwLock<M>>,
    store: Arc<dyn GroupStore>,
    settings: DriverSettings,
    now_ms: u64,
    pauses: PauseDetector,
    next_token: u64,
    requests: HashMap<u64, PendingRequest<R>>,
    reads: Vec<R>,
    visibility: TableVisibility<R>,
    outgoing_snapshots: OutgoingSnapshots,
    /// Index of the last snapshot that was saved or is being saved.
    snapshot_index: u64,
    saving_snapshot: bool,
    /// Bytes applied since that snapshot.
    bytes_since_snapshot: u64,
    /// Nothing more is applied.
    halted: bool,
    effects: Vec<Effect<R>>,
}

impl<M: StateMachine, R> GroupDriver<M, R> {
    fn new(
        group: GroupId,
        replica: Replica,
        machine: M,
        store: Arc<dyn GroupStore>,
        settings: DriverSettings,
        pauses: PauseDetector,
    ) -> Self {
        let applied = replica.status().applied;
        GroupDriver {
            group,
            replica,
            machine: Arc::new(RwLock::new(machine)),
            store,
            settings,
            now_ms: 0,
            pauses,
            next_token: 0,
            requests: HashMap::new(),
            reads: Vec::new(),
            visibility: TableVisibility::new(applied),
            outgoing_snapshots: OutgoingSnapshots::default(),
            snapshot_index: applied,
            saving_snapshot: false,
            bytes_since_snapshot: 0,
            halted: false,
            effects: Vec::new(),
        }
    }

    /// The state machine, for looking at.
    pub fn machine(&self) -> &Arc<RwLock<M>> {
        &self.machine
    }

    /// The replica as it is now.
    pub fn status(&self) -> Status {
        self.replica.status()
    }

    /// Proposals, changes of membership and rounds of reads that have no answer yet.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Term of the log's entry at `index`; none if it is compacted away or
    /// not there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.replica.term_at(index)
    }

    /// When the next round is due at the latest, in milliseconds of the
    /// caller's steady clock. Rounds are due often enough to detect pauses of the
    /// process.
    pub fn next_deadline_ms(&self) -> u64 {
        self.replica
            .next_deadline_ms()
            .min(self.pauses.next_call_ms())
    }

    /// Takes one event in, at the given time of a steady clock in
    /// milliseconds. Its effects come with [`GroupDriver::finish_round`].
    pub fn handle(&mut self, now_ms: u64, input: DriverInput<R>) {
        self.begin_call(now_ms);
        match input {
            DriverInput::Message(envelope) => self.step(Input::Message(envelope)),
            DriverInput::Propose { command, request } => {
                let token = self.hold(PendingRequest::Propose(request));
                let data = command.into();
                self.step(Input::Propose { token, data });
            }
            DriverInput::Read { request } => self.reads.push(request),
            DriverInput::ChangeMembership { change, request } => {
                let token = self.hold(PendingRequest::Change(request));
                self.step(Input::ChangeMembership { token, change });
            }
            DriverInput::TransferLeadership { to } => self.step(Input::TransferLeadership { to }),
            DriverInput::Drain => self.step(Input::Drain),
            DriverInput::Stored(write) => self.stored(write),
        }
    }

    /// Ends a round of events: proposals, reads and messages of one round
    /// share writes, appends and heartbeats.
    pub fn finish_round(&mut self, now_ms: u64) -> Vec<Effect<R>> {
        self.begin_call(now_ms);
        self.start_reads();
        self.step(Input::Tick);
        self.outgoing_snapshots.drop_idle(now_ms);
        self.carry_out_all();
        std::mem::take(&mut self.effects)
    }

    fn begin_call(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        let Some(ms) = self.pauses.record_call(now_ms) else {
            return;
        };
        self.outgoing_snapshots.postpone(ms);
        self.step(Input::ProcessPaused { ms });
        self.effects.push(Effect::ProcessPaused { ms });
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
        let reads = std::mem::take(&mut self.reads);
        let token = self.hold(PendingRequest::Reads(reads));
        self.step(Input::ReadIndex { token });
    }

    fn hold(&mut self, request: PendingRequest<R>) -> u64 {
        self.next_token += 1;
        self.requests.insert(self.next_token, request);
        self.next_token
    }

    fn step(&mut self, input: Input) {
        self.replica.step(self.now_ms, input);
    }
}
