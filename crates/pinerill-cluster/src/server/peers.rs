//! Other control machines: who there are, where they listen, joining.
//!
//! A machine is told some addresses at its start and learns the others from
//! the machines that it reaches. Each tells the leader again and again that it
//! is there; the leader records it and the group's membership follows.

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

/// Pause between two rounds of telling others.
const ROUND_PAUSE: Duration = Duration::from_millis(400);
/// Rounds after which other machines are told too, not the leader alone.
const ROUNDS_PER_GOSSIP: u32 = 5;
/// Machines that are told in such a round while a leader is known: a new address is at
/// all of 45 machines after three rounds, and messages grow with their number only.
const GOSSIP_PEERS: usize = 5;
/// Control machines that nodes are told, where there are not more members: enough to find the
/// leader by while several are lost. All of them would be told to each node again whenever one
/// comes or goes.
const CONTROLS_TOLD: usize = 16;
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(800);
impl Control {
    /// Internal addresses of all control machines that are known here.
    pub(super) fn known_addresses(&self) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = self.learnt.lock().iter().copied().collect();
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

    /// Where nodes find control machines: all members but for those in `lost`, and some others
    /// that are recorded. Before any is recorded, all that are known.
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
            let told = CONTROLS_TOLD.max(members.voters.len() + members.learners.len());
            recorded.truncate(told);
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

    /// Takes in that a machine is there; the leader records a new one.
    pub(super) async fn joined(
        &self,
        join: JoinRequest,
        reads: Format,
    ) -> Result<CallsResponse, Box<Refusal>> {
        self.learn(&join.known);
        self.learn(&[join.machine.address]);
        if self.leads() {
            let now_ms = self.now_ms();
            let replica = join.machine.replica;
            let is_news = self.with_leadership("join", |one| {
                one.hear_machine(replica, now_ms);
                one.formats.hear(replica, reads)
            })?;
            if is_news {
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

    /// The leader as this machine's own replica knows it. What others named is
    /// not passed on: it would be believed without end.
    fn followed_leader(&self) -> Option<KnownLeader> {
        let status = self.group.status();
        let leader = status.leader?;
        Some(KnownLeader {
            term: status.term,
            address: self.address_of(leader)?,
        })
    }

    /// Takes in that there are machines at these addresses.
    pub(super) fn learn(&self, addresses: &[SocketAddr]) {
        let mut learnt = self.learnt.lock();
        let before = learnt.len();
        let others = addresses.iter().filter(|one| **one != self.record.address);
        learnt.extend(others);
        let is_news = learnt.len() > before;
        drop(learnt);
        if is_news {
            self.keep_connections();
        }
    }

    /// Opens the connections to other machines that are wanted now, and ends the others.
    fn keep_connections(&self) {
        let known = self.known_addresses();
        let random = some_of(known.clone());
        let machines = KnownMachines {
            own: self.record.address,
            known: known.into_iter().collect(),
            seeds: self.seeds.lock().clone(),
            members: self.member_addresses(),
            leader: self.leader_address(),
        };
        let mut wanted = machines.connection_targets(&random);
        let kept = self.pool.addresses();
        if machines.leader.is_none() {
            // More and more of them, until a leader is found.
            wanted.extend(&kept);
        }
        for address in kept.iter().filter(|one| !wanted.contains(one)) {
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

    /// Tells the others again and again that this machine is there.
    pub(super) async fn keep_joined(&self) {
        let mut round: u32 = 0;
        loop {
            self.tell_others(round).await;
            round = round.wrapping_add(1);
            sleep(ROUND_PAUSE).await;
        }
    }

    async fn tell_others(&self, round: u32) {
        self.keep_connections();
        if self.leads() {
            let own = self.record.clone();
            let joining = JoinRequest {
                machine: own,
                known_digest: Digest::of(&self.known_addresses()),
                known: Vec::new(),
            };
            // Whatever is refused here is tried in the next round.
            let _ = self.joined(joining, Format::NEWEST).await;
        }
        let leader = self.leader_address();
        let gossip = round.is_multiple_of(ROUNDS_PER_GOSSIP);
        let addresses = match leader {
            Some(address) if !gossip => vec![address],
            Some(_) => some_of(self.pool.addresses()),
            None => self.pool.addresses(),
        };
        let others = addresses
            .into_iter()
            .filter(|one| *one != self.record.address);
        let told = others.map(|address| self.tell(address));
        futures::future::join_all(told).await;
    }

    async fn tell(&self, address: SocketAddr) {
        let known = self.known_addresses();
        let known_digest = Digest::of(&known);
        let same = self.told_digests.lock().get(&address) == Some(&known_digest);
        let request = CallsRequest::Join(JoinRequest {
            machine: self.record.clone(),
            known_digest,
            known: if same { Vec::new() } else { known },
        });
        // The leader learns from this request which formats this machine reads.
        let send = |request| self.pool.call(address, request, ANSWER_TIME);
        let answered = self
            .peer_formats
            .ask_in_newest_format(address, &request, send)
            .await;
        let answer = answered.map(|answered| answered.response);
        if let Ok(CallsResponse::Joined(joined)) = answer {
            let mut told = self.told_digests.lock();
            told.insert(address, joined.known_digest);
            drop(told);
            self.learn(&joined.known);
            if let Some(leader) = joined.leader {
                self.named_leader.lock().take_in(leader);
                if leader.address != self.record.address {
                    self.pool.add(leader.address);
                }
            }
        }
    }

    /// Passes a request on to the leader, or carries it out if this machine
    /// leads.
    ///
    /// # Errors
    /// A refusal, with an unknown outcome if the leader may have done it.
    pub(super) async fn at_leader(
        &self,
        request: CallsRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        if self.leads() {
            return Box::pin(self.answer(request)).await;
        }
        let step = "pass on to the leader";
        let Some(leader) = self.leader_address() else {
            return Err(super::refusal::unavailable(
                &self.record,
                step,
                "no leader is known",
            ));
        };
        let answer = self.ask(leader, &request).await;
        answer.map_err(|error| super::refusal::unknown(&self.record, step, error))
    }

    /// Asks another machine in a format that it reads.
    async fn ask(
        &self,
        address: SocketAddr,
        request: &CallsRequest,
    ) -> Result<CallsResponse, CallError> {
        let send = |request| self.pool.call(address, request, ANSWER_TIME);
        let answered = self.peer_formats.ask(address, request, send).await?;
        Ok(answered.response)
    }
}

fn some_of(mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    addresses.shuffle(&mut rand::thread_rng());
    addresses.truncate(GOSSIP_PEERS);
    addresses
}
