//! Communication with other control machines: announcements, address discovery, connections, and
//! forwarding of requests to the leader.
//!
//! A machine starts with the seed addresses of its settings and learns further ones from the
//! machines that it reaches. Each machine announces itself to the leader periodically; the leader
//! records it, and the group's membership follows.

use std::net::SocketAddr;
use std::time::Duration;

use pinerill_calls::digest::Digest;
use pinerill_calls::message::{
    CallsRequest, CallsResponse, ControlAddress, Format, JoinRequest, JoinResponse, KnownLeader,
    MachineRecord,
};
use pinerill_replica::ReplicaId;
use pinerill_wire::api::CallError;
use pinerill_wire::message::Refusal;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use super::control::Control;
use crate::connections::KnownMachines;
use crate::machine::Command;

/// Interval between two rounds of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two rounds while no leader is known. Nodes that have just started learn the
/// leader from the seeds, so a seed must learn it soon after it has started itself.
const SEARCH_INTERVAL: Duration = Duration::from_millis(80);
/// Number of rounds [`SEARCH_INTERVAL`] apart. A longer search goes on at the usual interval, so
/// that a fleet without a quorum is not flooded.
const MAX_SEARCH_ROUNDS: u32 = 25;
/// Every round with a number divisible by this one is sent to other machines as well, not only to
/// the leader.
const ROUNDS_PER_GOSSIP: u32 = 5;
/// Number of machines that receive the announcements of such a round while a leader is known. With
/// 5, a new address reaches all of 45 machines after three rounds, and the number of messages
/// grows only linearly with that of machines.
const GOSSIP_FANOUT: usize = 5;
/// Maximum number of control machines in the list for nodes, unless the group has more members.
/// The list is large enough to find the leader while several machines are lost. A list of all
/// machines would be sent to each node again whenever a machine joins or leaves.
const MAX_LISTED_CONTROLS: usize = 16;
/// Timeout of a request to another control machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
impl Control {
    /// Returns the internal addresses of all control machines that this one knows, including its
    /// own.
    pub(super) fn known_addresses(&self) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = self.learned_addresses.lock().iter().copied().collect();
        known.push(self.record.address);
        let recorded = self.group.with_machine(|machine| {
            let records = machine.machines().values();
            records.map(|record| record.address).collect::<Vec<_>>()
        });
        known.extend(recorded);
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Returns the control machines that nodes may connect to: the recorded ones except those in
    /// `lost`, members first, up to [`MAX_LISTED_CONTROLS`] or the number of members, whichever is
    /// larger. Returns all known addresses if no such machine is recorded.
    pub(super) fn known_controls(&self, lost: &[u64]) -> Vec<ControlAddress> {
        let members = self.group.status().members;
        let mut recorded: Vec<ControlAddress> = self.group.with_machine(|machine| {
            let records = machine.machines().values();
            records
                .filter(|record| !lost.contains(&record.replica))
                .map(|record| ControlAddress {
                    address: record.address,
                    zone: record.zone.clone(),
                    is_member: members.contains(ReplicaId(record.replica)),
                })
                .collect()
        });
        if !recorded.is_empty() {
            recorded.sort_by_key(|one| !one.is_member);
            let limit = MAX_LISTED_CONTROLS.max(members.voters.len() + members.learners.len());
            recorded.truncate(limit);
            return recorded;
        }
        let known = self.known_addresses().into_iter();
        known
            .map(|address| ControlAddress {
                address,
                zone: String::new(),
                is_member: false,
            })
            .collect()
    }

    /// Handles the announcement of a machine that reads formats up to `reads`. The leader records
    /// a machine that is new.
    pub(super) async fn handle_join(
        &self,
        join: JoinRequest,
        reads: Format,
    ) -> Result<CallsResponse, Box<Refusal>> {
        self.learn_addresses(&join.known);
        self.learn_addresses(&[join.machine.address]);
        if self.leads() {
            let now_ms = self.now_ms();
            let replica = join.machine.replica;
            let is_change = self.with_leadership("join", |leadership| {
                leadership.record_contact(replica, now_ms);
                leadership.formats.record(replica, reads)
            })?;
            if is_change {
                let machine = join.machine.name.as_str();
                log::info!(event = "machine_reads", machine, replica, format:% = reads; "");
            }
            self.record_if_new(&join.machine).await?;
        }
        let known = self.known_addresses();
        let known_digest = Digest::of(&known);
        let same = join.known_digest == known_digest;
        Ok(CallsResponse::Joined(JoinResponse {
            known_digest,
            known: if same { Vec::new() } else { known },
            leader: self.followed_leader(),
        }))
    }

    /// Returns the leader that this machine's own replica follows, or `None`. A leader named by
    /// another machine is not passed on, because machines could then confirm it to each other
    /// without end.
    fn followed_leader(&self) -> Option<KnownLeader> {
        let status = self.group.status();
        let leader = status.leader?;
        Some(KnownLeader {
            term: status.term,
            address: self.address_of(leader)?,
        })
    }

    /// Adds addresses of control machines, and updates the connections if one of them is new.
    pub(super) fn learn_addresses(&self, addresses: &[SocketAddr]) {
        let mut learned_addresses = self.learned_addresses.lock();
        let before = learned_addresses.len();
        let others = addresses.iter().filter(|one| **one != self.record.address);
        learned_addresses.extend(others);
        let is_change = learned_addresses.len() > before;
        drop(learned_addresses);
        if is_change {
            self.update_connections();
        }
    }

    /// Opens connections to the machines that are needed now and closes all others.
    fn update_connections(&self) {
        let known = self.known_addresses();
        let random = random_sample(known.clone());
        let machines = KnownMachines {
            own: self.record.address,
            known: known.into_iter().collect(),
            seeds: self.seeds.lock().clone(),
            members: self.member_addresses(),
            leader: self.leader_address(),
        };
        let mut wanted = machines.connection_targets(&random);
        let connected = self.pool.addresses();
        if machines.leader.is_none() {
            // Without a leader, connections are only added, so that each round reaches more
            // machines.
            wanted.extend(&connected);
        }
        for address in connected.iter().filter(|one| !wanted.contains(one)) {
            self.pool.remove(*address);
        }
        for address in wanted {
            self.pool.add(address);
        }
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.group.status().members;
        self.group.with_machine(|machine| {
            let records = machine.machines().values();
            records
                .filter(|record| members.contains(ReplicaId(record.replica)))
                .map(|record| record.address)
                .collect()
        })
    }

    async fn record_if_new(&self, machine: &MachineRecord) -> Result<(), Box<Refusal>> {
        let recorded = self.group.with_machine(|state| {
            state.machines().get(&machine.replica) == Some(machine)
                || state.replaced().contains(&machine.replica)
        });
        if recorded {
            return Ok(());
        }
        let command = Command::RecordMachine(machine.clone());
        self.propose("record machine", command).await?;
        log::info!(
            event = "machine_recorded", machine = machine.name.as_str(),
            address:% = machine.address, replica = machine.replica; ""
        );
        Ok(())
    }

    /// Announces this machine to others in rounds, [`ANNOUNCE_INTERVAL`] apart, or
    /// [`SEARCH_INTERVAL`] while it searches for a leader. Never returns.
    pub(super) async fn announce_periodically(&self) {
        let mut round: u32 = 0;
        let mut search_rounds: u32 = 0;
        loop {
            self.announce_to_peers(round).await;
            round = round.wrapping_add(1);
            search_rounds = match self.leader_address() {
                Some(_) => 0,
                None => search_rounds.saturating_add(1),
            };
            let is_searching = (1..=MAX_SEARCH_ROUNDS).contains(&search_rounds);
            sleep(if is_searching {
                SEARCH_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            })
            .await;
        }
    }

    async fn announce_to_peers(&self, round: u32) {
        self.update_connections();
        if self.leads() {
            let own = self.record.clone();
            let announcement = JoinRequest {
                machine: own,
                known_digest: Digest::of(&self.known_addresses()),
                known: Vec::new(),
            };
            // A refusal is ignored, because the next round retries.
            let _ = self.handle_join(announcement, Format::NEWEST).await;
        }
        let leader = self.leader_address();
        let gossip = round.is_multiple_of(ROUNDS_PER_GOSSIP);
        let addresses = match leader {
            Some(address) if !gossip => vec![address],
            Some(_) => random_sample(self.pool.addresses()),
            None => self.pool.addresses(),
        };
        let others = addresses
            .into_iter()
            .filter(|one| *one != self.record.address);
        let announcements = others.map(|address| self.announce_to(address));
        futures::future::join_all(announcements).await;
    }

    async fn announce_to(&self, address: SocketAddr) {
        let known = self.known_addresses();
        let known_digest = Digest::of(&known);
        let same = self.peer_digests.lock().get(&address) == Some(&known_digest);
        let request = CallsRequest::Join(JoinRequest {
            machine: self.record.clone(),
            known_digest,
            known: if same { Vec::new() } else { known },
        });
        // The newest format is used because the leader infers from it which formats this machine
        // reads.
        let send = |request| self.pool.call(address, request, CALL_TIMEOUT);
        let answered = self
            .peer_formats
            .ask_in_newest_format(address, &request, send)
            .await;
        let answer = answered.map(|answered| answered.response);
        if let Ok(CallsResponse::Joined(joined)) = answer {
            let mut digests = self.peer_digests.lock();
            digests.insert(address, joined.known_digest);
            drop(digests);
            self.learn_addresses(&joined.known);
            if let Some(leader) = joined.leader {
                self.leader_hint.lock().update(leader);
                if leader.address != self.record.address {
                    self.pool.add(leader.address);
                }
            }
        }
    }

    /// Forwards a request to the leader, or handles it here if this machine leads.
    ///
    /// # Errors
    /// Returns a refusal, with an unknown outcome if the leader may have carried out the request.
    pub(super) async fn forward_to_leader(
        &self,
        request: CallsRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        if self.leads() {
            return Box::pin(self.handle_request(request)).await;
        }
        let step = "pass on to the leader";
        let Some(leader) = self.leader_address() else {
            return Err(super::refusal::unavailable(
                &self.record,
                step,
                "no leader is known",
            ));
        };
        let answer = self.call_peer(leader, &request).await;
        answer.map_err(|error| super::refusal::unknown(&self.record, step, error))
    }

    /// Sends a request to another machine in a format that it reads.
    async fn call_peer(
        &self,
        address: SocketAddr,
        request: &CallsRequest,
    ) -> Result<CallsResponse, CallError> {
        let send = |request| self.pool.call(address, request, CALL_TIMEOUT);
        let answered = self.peer_formats.ask(address, request, send).await?;
        Ok(answered.response)
    }
}

fn random_sample(mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    addresses.shuffle(&mut rand::thread_rng());
    addresses.truncate(GOSSIP_FANOUT);
    addresses
}
