//! One control machine: its disk, its clock and, while it runs, its process.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_control::host::driver::{DriverInput, GroupDriver, StoredWrite};
use pinerill_replica::ReplicaId;
use pinerill_storage::MemoryStore;

use super::checks::CheckedUpTo;
use super::clock::LocalClock;
use super::observed::Observed;
use super::service::{CallId, CallKind, ClientId, GroupService};

/// Names a request inside one process.
pub(super) type RequestNumber = u64;
/// The driver as the simulation uses it.
pub(super) type Driver<S> = GroupDriver<Observed<<S as GroupService>::Machine>, RequestNumber>;

/// A call that a process works on.
pub(super) struct OpenRequest<S: GroupService> {
    pub(super) call: CallId,
    pub(super) client: ClientId,
    /// The query, if it is a read, and whether it may be answered unconfirmed.
    pub(super) query: Option<(S::Query, bool)>,
}

/// A running process.
pub(super) struct Process<S: GroupService> {
    pub(super) driver: Driver<S>,
    /// Number of this start of any process.
    pub(super) start: u64,
    pub(super) inbox: Vec<DriverInput<RequestNumber>>,
    pub(super) requests: BTreeMap<RequestNumber, OpenRequest<S>>,
    /// Writes that became durable and were not reported yet.
    pub(super) stored: Arc<Mutex<Vec<StoredWrite>>>,
    /// When the next round is due, in virtual milliseconds.
    pub(super) round_at_ms: u64,
    /// Batches that the running sync covers; none if no sync runs.
    pub(super) syncing: Option<usize>,
    pub(super) checked: CheckedUpTo,
}

/// A control machine.
pub(super) struct Machine<S: GroupService> {
    pub(super) store: MemoryStore,
    pub(super) replica: ReplicaId,
    pub(super) clock: LocalClock,
    pub(super) process: Option<Process<S>>,
    /// Until when the process does nothing; its messages wait meanwhile.
    pub(super) frozen_until_ms: u64,
}

impl<S: GroupService> OpenRequest<S> {
    /// The driver's input for a call, and what is kept of it; none for a call
    /// that needs no driver.
    pub(super) fn split(
        call: CallId,
        client: ClientId,
        kind: CallKind<S>,
        request: RequestNumber,
    ) -> Option<(Self, DriverInput<RequestNumber>)> {
        let (query, input) = match kind {
            CallKind::Propose(command) => (None, DriverInput::Propose { command, request }),
            CallKind::Read(query) => (Some((query, false)), DriverInput::Read { request }),
            CallKind::ReadAnyway(query) => (Some((query, true)), DriverInput::Read { request }),
            CallKind::ChangeMembership(change) => {
                (None, DriverInput::ChangeMembership { change, request })
            }
            CallKind::Status => return None,
        };
        let open = OpenRequest {
            call,
            client,
            query,
        };
        Some((open, input))
    }
}
