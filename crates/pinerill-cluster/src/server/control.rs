//! Shared state of a control machine and the operations that all request handlers use: finding the
//! leader, accessing the leader's soft state, proposing commands, and confirming reads.

use pinerill_process::clock::BootTime;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_calls::digest::Digest;
use pinerill_calls::message::{decode, MachineRecord, PutTable};
use pinerill_calls::protocol::{OperatorProtocol, WorkerListProtocol};
use pinerill_calls::session::PeerFormats;
use pinerill_calls::table::RouteTable;
use pinerill_calls::traffic::Traffic;
use pinerill_control::host::{EnqueuedCommand, GroupHandle, GroupHost, ProposeError};
use pinerill_replica::ReplicaId;
use pinerill_wire::connection::PeerPool;
use pinerill_wire::message::Refusal;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::available_items::AvailableItems;
use super::leader_hint::LeaderHint;
use super::leadership::{Leadership, Tolerances};
use super::older_builds::OlderDigests;
use super::refusal;
use crate::command_order::CommandOrder;
use crate::leases::LeaseSettings;
use crate::machine::{Applied, ClusterMachine, Command, StampedCommand};
use crate::turns::RequestLimiter;
use pinerill_calls::settings::ControlSettings;

/// State of a control machine, shared by its tasks and request handlers.
pub(super) struct Control {
    pub(super) settings: ControlSettings,
    pub(super) record: MachineRecord,
    pub(super) pool: PeerPool,
    pub(super) host: GroupHost,
    pub(super) group: GroupHandle<ClusterMachine>,
    pub(super) leadership: Mutex<Option<Leadership>>,
    pub(super) command_order: CommandOrder,
    pub(super) leader_hint: Mutex<LeaderHint>,
    /// Internal addresses of every other control machine that this one has learned of since its
    /// start.
    pub(super) learned_addresses: Mutex<BTreeSet<SocketAddr>>,
    /// Addresses of the seed machines in the settings.
    pub(super) seeds: Mutex<Vec<SocketAddr>>,
    /// Digest of the address list that each machine had when it last answered, by address. An
    /// announcement omits the address list if the digest equals that of this machine's list.
    pub(super) peer_digests: Mutex<HashMap<SocketAddr, Digest>>,
    /// Message format used for requests to each control machine.
    pub(super) peer_formats: PeerFormats,
    /// Machines whose build can't read the format in force, by identity of the data folder. Their
    /// replication messages are dropped.
    pub(super) excluded_replicas: Mutex<BTreeSet<u64>>,
    /// Mapping from directory digests of older formats to current ones.
    pub(super) older_digests: Mutex<OlderDigests>,
    /// Number of requests that could not be decoded.
    pub(super) unreadable_requests: AtomicU64,
    /// Cached route table, parsed by this build from the document in force; `None` until it is
    /// first needed or if there is no document.
    pub(super) parsed_table: Mutex<Option<Arc<RouteTable>>>,
    pub(super) operators: Arc<dyn OperatorProtocol>,
    pub(super) worker_list: Arc<dyn WorkerListProtocol>,
    /// Counters of the requests answered and of their bytes.
    pub(super) traffic: Traffic,
    /// Counter that is incremented whenever the replicated state or the leadership may have
    /// changed. Readers of results and the poller of the worker list wait for it.
    pub(super) state_changes: watch::Sender<u64>,
    /// Counter that is incremented on changes that watches wait for. It is separate from
    /// `state_changes` because each increment makes the leader compute a response for every node.
    pub(super) watch_changes: watch::Sender<u64>,
    /// Limits how many watch and lease requests run before other tasks get a turn.
    pub(super) request_limiter: RequestLimiter,
    /// Lease requests that wait for items.
    pub(super) available_items: AvailableItems,
    pub(super) started: BootTime,
    pub(super) stopping: CancellationToken,
}

impl Control {
    /// Returns the time since the start of the process, in milliseconds of a monotonic clock that
    /// also counts the time in which the machine is suspended.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether this machine leads the group and has applied every committed command.
    pub(super) fn leads(&self) -> bool {
        self.group.status().leads()
    }

    /// Returns the internal address of the leader: the one that this machine's replica follows,
    /// otherwise the one that another machine named within the last 1.2 s. Returns `None` if
    /// neither is known.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let followed = self.group.status().leader;
        let address = followed.and_then(|leader| self.address_of(leader));
        address.or_else(|| self.leader_hint.lock().address())
    }

    pub(super) fn address_of(&self, replica: ReplicaId) -> Option<SocketAddr> {
        if replica.0 == self.record.replica {
            return Some(self.record.address);
        }
        if let Some(connection) = self.pool.to_replica(replica.0) {
            return Some(connection.peer().address);
        }
        self.group
            .with_machine(|machine| Some(machine.machines().get(&replica.0)?.address))
    }

    /// Returns the route table in force, parsed by this build from the accepted document: the
    /// table stored with it may have been parsed by a build that supports fewer features. Falls
    /// back to the stored table if the document can't be parsed or yields another version. Returns
    /// `None` if no document was accepted yet.
    pub(super) fn table_in_force(&self) -> Option<Arc<RouteTable>> {
        let mut cached = self.parsed_table.lock();
        let current = self.group.with_machine(|machine| {
            let stored = machine.table()?;
            let known = cached
                .as_ref()
                .filter(|one| one.version == stored.table.version);
            Some(match known {
                Some(known) => known.clone(),
                None => Arc::new(self.reparse_document(stored)),
            })
        });
        cached.clone_from(&current);
        current
    }

    fn reparse_document(&self, stored: &PutTable) -> RouteTable {
        let version = stored.table.version;
        match self.operators.read_table(&stored.document) {
            Ok(table) if table.version == version => table,
            Ok(table) => {
                let read = table.version;
                log::error!(event = "document_of_another_version", version, read; "");
                stored.table.clone()
            }
            Err(error) => {
                log::error!(event = "document_unreadable", version, error:%; "");
                stored.table.clone()
            }
        }
    }

    /// Runs `access` on the soft state of the current leadership. The state starts empty in each
    /// term.
    ///
    /// # Errors
    /// Returns a refusal if this machine does not lead; it names the leader if one is known.
    pub(super) fn with_leadership<R>(
        &self,
        step: &'static str,
        access: impl FnOnce(&mut Leadership) -> R,
    ) -> Result<R, Box<Refusal>> {
        let status = self.group.status();
        if !status.leads() {
            return Err(refusal::not_leader(
                &self.record,
                self.leader_address(),
                step,
            ));
        }
        let mut guard = self.leadership.lock();
        let term = status.term;
        let current = guard.as_ref().is_some_and(|one| one.term() == term);
        if !current {
            log::info!(event = "leadership_begins", machine = self.record.name.as_str(), term; "");
            *guard = Some(Leadership::begin(
                term,
                self.now_ms(),
                Tolerances {
                    quota: self.settings.quota.tolerance(),
                    slow_start: self.settings.slow_start.tolerance(),
                },
                LeaseSettings {
                    shares_among_tenants: self.settings.share_leases,
                    ..LeaseSettings::default()
                },
            ));
        }
        match guard.as_mut() {
            Some(leadership) => Ok(access(leadership)),
            None => Err(refusal::not_leader(
                &self.record,
                self.leader_address(),
                step,
            )),
        }
    }

    /// Proposes a command and returns the result of applying it. `step` names the operation in a
    /// refusal.
    ///
    /// # Errors
    /// Returns a refusal if the command was not applied, with the code
    /// [`pinerill_wire::message::RefusalCode::OutcomeUnknown`] if it may still be applied.
    pub(super) async fn propose(
        &self,
        step: &'static str,
        command: Command,
    ) -> Result<Applied, Box<Refusal>> {
        let enqueued = self.enqueue(step, command)?;
        let proposed = enqueued.answer().await;
        let answer = proposed.map_err(|error| self.refuse_proposal(step, &error))?;
        self.notify_state_change();
        decode(&answer).map_err(|error| refusal::unknown(&self.record, step, error))
    }

    /// Adds the elapsed time to a command and enqueues it.
    fn enqueue(
        &self,
        step: &'static str,
        command: Command,
    ) -> Result<EnqueuedCommand, Box<Refusal>> {
        let take_elapsed_ms = || {
            let now_ms = self.now_ms();
            self.with_leadership(step, |leadership| leadership.take_elapsed_ms(now_ms))
        };
        self.command_order.enqueue(take_elapsed_ms, |elapsed_ms| {
            let stamped = StampedCommand {
                elapsed_ms,
                command,
            };
            let enqueued = self.group.enqueue(self.encode_command(step, stamped)?);
            enqueued.map_err(|error| self.refuse_proposal(step, &error))
        })
    }

    fn refuse_proposal(&self, step: &'static str, error: &ProposeError) -> Box<Refusal> {
        match error {
            ProposeError::NotLeader { .. } => {
                refusal::not_leader(&self.record, self.leader_address(), step)
            }
            ProposeError::Busy | ProposeError::Stopped => {
                refusal::unavailable(&self.record, step, error)
            }
            ProposeError::Unknown => refusal::unknown(&self.record, step, error),
        }
    }

    /// Waits until this machine has applied every command that was committed when the call began.
    ///
    /// # Errors
    /// Returns a refusal if a majority does not confirm this in time.
    pub(super) async fn barrier(&self, step: &'static str) -> Result<(), Box<Refusal>> {
        match self.group.read_barrier().await {
            Ok(_) => Ok(()),
            Err(error) => Err(refusal::unavailable(&self.record, step, error)),
        }
    }

    /// Wakes the tasks that wait for a change of the replicated state or the leadership.
    pub(super) fn notify_state_change(&self) {
        self.state_changes.send_modify(|count| *count += 1);
    }

    /// Wakes all pending watches.
    pub(super) fn notify_watchers(&self) {
        self.watch_changes.send_modify(|count| *count += 1);
    }
}
