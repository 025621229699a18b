//! A client that has one call open at a time and tries again elsewhere.

use pinerill_replica::ReplicaId;

use super::core::Cluster;
use super::service::{CallId, CallKind, ClientId, GroupService, Timer};

/// How long an answer is waited for, milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;
/// Shortest time that an impatient client waits, milliseconds.
const IMPATIENT_MIN_MS: u64 = 4;
/// Longest time that an impatient client waits, milliseconds.
const IMPATIENT_MAX_MS: u64 = CALL_TIMEOUT_MS / 10;
/// Pause before an operation is tried elsewhere, milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// The calls of one client.
pub struct ClientStub {
    client: ClientId,
    /// Place of the machine that is called next.
    machine: usize,
    open: Option<CallId>,
}

impl ClientStub {
    /// Calls after which an operation is given up.
    pub const MAX_ATTEMPTS: u32 = 12;

    /// A client that has called nobody; it begins with the first machine.
    pub fn new(client: ClientId) -> Self {
        ClientStub {
            client,
            machine: 0,
            open: None,
        }
    }

    /// The client.
    pub fn client(&self) -> ClientId {
        self.client
    }

    /// Place of the machine that is called next.
    pub fn machine(&self) -> usize {
        self.machine
    }

    /// Whether a call is open.
    pub fn is_waiting(&self) -> bool {
        self.open.is_some()
    }

    /// Calls the machine that is next; an impatient client gives the answer
    /// too little time.
    pub fn call<S: GroupService>(
        &mut self,
        cluster: &mut Cluster<S>,
        kind: CallKind<S>,
        impatient: bool,
    ) {
        let timeout_ms = if impatient {
            cluster.rng().between(IMPATIENT_MIN_MS, IMPATIENT_MAX_MS)
        } else {
            CALL_TIMEOUT_MS
        };
        let call = cluster.call(self.client, self.machine, kind, timeout_ms);
        self.open = Some(call);
    }

    /// Closes the open call if it is this one; tells whether it is.
    pub fn close(&mut self, call: CallId) -> bool {
        let is_open = self.open == Some(call);
        if is_open {
            self.open = None;
        }
        is_open
    }

    /// Wakes the client to try again, at the leader if one is known here, or
    /// else at any machine.
    pub fn retry<S: GroupService>(&mut self, cluster: &mut Cluster<S>, leader: Option<ReplicaId>) {
        self.machine = cluster.leader_or_any_place(leader);
        cluster.wake(self.client, RETRY_PAUSE_MS, Timer::Next);
    }
}
