//! What the parts of a control machine share.

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
use pinerill_control::host::{GroupHandle, GroupHost, ProposeError};
use pinerill_replica::ReplicaId;
use pinerill_wire::connection::PeerPool;
use pinerill_wire::message::Refusal;
use tokio::sync::{watch, Notify};
use tokio_util::sync::CancellationToken;

use super::leadership::{Leadership, Tolerances};
use super::named_leader::NamedLeader;
use super::older_builds::OlderDigests;
use super::refusal;
use crate::machine::{Applied, ClusterMachine, Command, StampedCommand};
use crate::turns::RequestLimiter;
use pinerill_calls::settings::ControlSettings;

/// A control machine.
pub(super) struct Control {
    pub(super) settings: ControlSettings,
    pub(super) record: MachineRecord,
    pub(super) pool: PeerPool,
    pub(super) host: GroupHost,
    pub(super) group: GroupHandle<ClusterMachine>,
    pub(super) leadership: Mutex<Option<Leadership>>,
    pub(super) named_leader: Mutex<NamedLeader>,
    /// Addresses of control machines that were ever learnt.
    pub(super) learnt: Mutex<BTreeSet<SocketAddr>>,
    /// Those that the settings name.
    pub(super) seeds: Mutex<Vec<SocketAddr>>,
    /// Digest of the control machines that each one knew when it last answered.
    pub(super) told_digests: Mutex<HashMap<SocketAddr, Digest>>,
    /// In which formats the others are asked.
    pub(super) peer_formats: PeerFormats,
    /// Machines whose build does not read the format in force, by data folder.
    pub(super) kept_out: Mutex<BTreeSet<u64>>,
    /// How nodes of older builds name directories.
    pub(super) older_digests: Mutex<OlderDigests>,
    /// Requests that could not be read.
    pub(super) unread_requests: AtomicU64,
    /// The route table as this build reads the document in force.
    pub(super) table_read: Mutex<Option<Arc<RouteTable>>>,
    pub(super) operators: Arc<dyn OperatorProtocol>,
    pub(super) worker_list: Arc<dyn WorkerListProtocol>,
    /// Bytes of requests that it answered.
    pub(super) traffic: Traffic,
    /// Counts changes that readers of results wait for.
    pub(super) news: watch::Sender<u64>,
    /// Counts changes that watches wait for. It is apart from the other, since each change
    /// here is worked off for each node.
    pub(super) watch_news: watch::Sender<u64>,
    /// Turns of requests that all nodes make.
    pub(super) turns: RequestLimiter,
    /// Items wait that no node has; wakes one node that wants some for each of them.
    pub(super) items_wait: Notify,
    pub(super) started: BootTime,
    pub(super) stopping: CancellationToken,
}

impl Control {
    /// Milliseconds of a steady clock.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether this machine leads and knows everything that is committed.
    pub(super) fn leads(&self) -> bool {
        self.group.status().leads()
    }

    /// Internal address of the leader, if one is known: the one that this
    /// machine's replica follows, otherwise the one that others named lately.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let followed = self.group.status().leader;
        let address = followed.and_then(|leader| self.address_of(leader));
        address.or_else(|| self.named_leader.lock().address())
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

    /// The route table in force: the accepted document as this build reads it, since the
    /// table stored beside it may have been read by a build that knows less of it.
    pub(super) fn table_in_force(&self) -> Option<Arc<RouteTable>> {
        let mut read = self.table_read.lock();
        let held = self.group.with_machine(|machine| {
            let held = machine.table()?;
            let known = read
                .as_ref()
                .filter(|one| one.version == held.table.version);
            Some(match known {
                Some(known) => known.clone(),
                None => Arc::new(self.read_again(held)),
            })
        });
        read.clone_from(&held);
        held
    }

    fn read_again(&self, held: &PutTable) -> RouteTable {
        let version = held.table.version;
        match self.operators.read_table(&held.document) {
            Ok(table) if table.version == version => table,
            Ok(table) => {
                let read = table.version;
                log::error!(event = "document_of_another_version", version, read; "");
                held.table.clone()
            }
            Err(error) => {
                log::error!(event = "document_unreadable", version, error:%; "");
                held.table.clone()
            }
        }
    }

    /// Looks at this leadership's soft state.
    ///
    /// # Errors
    /// A refusal that names the leader when it is another machine.
    pub(super) fn with_leadership<R>(
        &self,
        step: &'static str,
        look: impl FnOnce(&mut Leadership) -> R,
    ) -> Result<R, Box<Refusal>> {
        let term = self.group.status().term;
        if !self.leads() {
            return Err(refusal::not_leader(
                &self.record,
                self.leader_address(),
                step,
            ));
        }
        let mut held = self.leadership.lock();
        let current = held.as_ref().is_some_and(|one| one.term() == term);
        if !current {
            log::info!(event = "leadership_begins", machine = self.record.name.as_str(), term; "");
            *held = Some(Leadership::begin(
                term,
                self.now_ms(),
                Tolerances {
                    quota: self.settings.quota.tolerance(),
                    slow_start: self.settings.slow_start.tolerance(),
                },
            ));
        }
        match held.as_mut() {
            Some(leadership) => Ok(look(leadership)),
            None => Err(refusal::not_leader(
                &self.record,
                self.leader_address(),
                step,
            )),
        }
    }

    /// Proposes a command and awaits what applying it answers.
    ///
    /// # Errors
    /// A refusal; [`pinerill_wire::message::RefusalCode::OutcomeUnknown`] if it
    /// may yet be applied.
    pub(super) async fn propose(
        &self,
        step: &'static str,
        command: Command,
    ) -> Result<Applied, Box<Refusal>> {
        let now_ms = self.now_ms();
        let elapsed_ms = self.with_leadership(step, |leadership| leadership.elapsed_ms(now_ms))?;
        let stamped = StampedCommand {
            elapsed_ms,
            command,
        };
        let proposed = self.group.propose(self.encoded(step, stamped)?).await;
        let answer = proposed.map_err(|error| self.refuse_proposal(step, &error))?;
        self.tell_news();
        decode(&answer).map_err(|error| refusal::unknown(&self.record, step, error))
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

    /// Waits until this machine has applied everything that was committed
    /// when the call began.
    ///
    /// # Errors
    /// A refusal when that can't be confirmed now.
    pub(super) async fn barrier(&self, step: &'static str) -> Result<(), Box<Refusal>> {
        match self.group.read_barrier().await {
            Ok(_) => Ok(()),
            Err(error) => Err(refusal::unavailable(&self.record, step, error)),
        }
    }

    /// Wakes readers of results.
    pub(super) fn tell_news(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Wakes watches.
    pub(super) fn tell_watch_news(&self) {
        self.watch_news.send_modify(|count| *count += 1);
    }
}
