//! Hosts in one process, joined by a transport that can be cut.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use pinerill_control::host::{
    GroupHandle, GroupHost, HostSettings, ProposeError, StateMachine, TableWriter, Transport,
    UnreadableState,
};
use pinerill_process::clock::Clock;
use pinerill_replica::{Envelope, GroupId, Message, ReplicaId};
use pinerill_storage::GroupStore;
use tokio::task::JoinHandle;

pub const GROUP: GroupId = GroupId(1);
pub const WAIT: Duration = Duration::from_secs(20);

/// Counts commands and writes each one to the table under its own name.
#[derive(Default)]
pub struct CountingMachine {
    pub count: u64,
    pub last_index: u64,
    /// A command that this machine can't read.
    pub unread: Option<&'static [u8]>,
}

impl StateMachine for CountingMachine {
    fn apply(
        &mut self,
        index: u64,
        command: &[u8],
        table: &mut dyn TableWriter,
    ) -> Result<Vec<u8>, UnreadableState> {
        assert!(index > self.last_index, "entries in order, each once");
        if self.unread == Some(command) {
            return Err(UnreadableState("of another build".to_owned()));
        }
        self.last_index = index;
        self.count += 1;
        table.put(command, &self.count.to_be_bytes());
        Ok(self.count.to_be_bytes().to_vec())
    }

    fn snapshot(&self) -> Vec<u8> {
        [self.count.to_be_bytes(), self.last_index.to_be_bytes()].concat()
    }

    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        let (count, last_index) = bytes.split_at(8);
        self.count = u64::from_be_bytes(count.try_into()?);
        self.last_index = u64::from_be_bytes(last_index.try_into()?);
        Ok(())
    }
}

/// What becomes of a message.
pub enum Fate {
    Deliver,
    Lose,
    DeliverAfter(Duration),
}

/// Decides what becomes of each message that is not cut.
pub type Rule = Box<dyn Fn(&Envelope) -> Fate + Send + Sync>;

/// Delivers to the hosts of the same process, at once unless a rule says otherwise.
#[derive(Default)]
pub struct Network {
    hosts: RwLock<HashMap<ReplicaId, GroupHost>>,
    cut: RwLock<HashSet<ReplicaId>>,
    rule: RwLock<Option<Rule>>,
    /// Answers to parts of snapshots are lost.
    pub snapshot_answers_lost: AtomicBool,
    /// Parts of snapshots that were sent and not cut.
    pub snapshot_parts_sent: AtomicUsize,
}

impl Transport for Network {
    fn send(&self, to: ReplicaId, envelope: Envelope) {
        let cut = self.cut.read();
        if cut.contains(&to) || cut.contains(&envelope.from) {
            return;
        }
        if matches!(envelope.message, Message::SnapshotChunk(_)) {
            self.snapshot_parts_sent.fetch_add(1, Ordering::SeqCst);
        }
        let is_answer = matches!(envelope.message, Message::SnapshotChunkResponse(_));
        if is_answer && self.snapshot_answers_lost.load(Ordering::SeqCst) {
            return;
        }
        let Some(host) = self.hosts.read().get(&to).cloned() else {
            return;
        };
        let rule = self.rule.read();
        match rule.as_ref().map_or(Fate::Deliver, |rule| rule(&envelope)) {
            Fate::Deliver => host.on_message(envelope),
            Fate::Lose => {}
            Fate::DeliverAfter(delay) => {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    host.on_message(envelope);
                });
            }
        }
    }
}

impl Network {
    pub fn cut(&self, replica: ReplicaId) {
        self.cut.write().insert(replica);
    }

    pub fn join(&self, replica: ReplicaId) {
        self.cut.write().remove(&replica);
    }

    /// Puts a rule in place of the last one.
    pub fn set_rule(&self, rule: impl Fn(&Envelope) -> Fate + Send + Sync + 'static) {
        *self.rule.write() = Some(Box::new(rule));
    }

    pub fn remove(&self, replica: ReplicaId) {
        self.hosts.write().remove(&replica);
    }
}

pub struct Member<M = CountingMachine> {
    pub host: GroupHost,
    pub group: GroupHandle<M>,
}

pub struct Cluster<M = CountingMachine> {
    pub network: Arc<Network>,
    pub members: BTreeMap<ReplicaId, Member<M>>,
    pub settings: HostSettings,
    pub new_machine: fn() -> M,
}

/// A clock that stands still where a test pauses tokio's, and that can be put forward as by
/// a suspension of the machine.
pub fn test_clock(suspended_ms: Arc<AtomicU64>) -> Clock {
    let begin = tokio::time::Instant::now();
    Clock::new(move || begin.elapsed() + Duration::from_millis(suspended_ms.load(Ordering::SeqCst)))
}

pub fn settings() -> HostSettings {
    HostSettings {
        clock: test_clock(Arc::default()),
        heartbeat: Duration::from_millis(30),
        election_min: Duration::from_millis(150),
        election_max: Duration::from_millis(300),
        snapshot_entries: 100,
        compaction_margin: 10,
        snapshot_chunk_bytes: 512,
        ..HostSettings::default()
    }
}

impl<M: StateMachine> Cluster<M> {
    pub fn of(new_machine: fn() -> M) -> Self {
        Cluster {
            network: Arc::default(),
            members: BTreeMap::new(),
            settings: settings(),
            new_machine,
        }
    }

    pub fn start(&mut self, store: Arc<dyn GroupStore>, voters: &[ReplicaId]) -> ReplicaId {
        let replica = store.identity().replica;
        let host = GroupHost::start(store, self.network.clone(), self.settings.clone());
        let machine = (self.new_machine)();
        let group = host.add_group(GROUP, voters, machine).expect("starts");
        self.network.hosts.write().insert(replica, host.clone());
        self.members.insert(replica, Member { host, group });
        replica
    }

    pub async fn halt(&mut self, replica: ReplicaId) {
        self.network.remove(replica);
        let member = self.members.remove(&replica).expect("runs");
        member.host.halt().await;
    }

    pub async fn leader(&self) -> ReplicaId {
        eventually("a settled leader", || {
            self.members
                .iter()
                .find(|(_, member)| member.group.status().leads())
                .map(|(replica, _)| *replica)
        })
        .await
    }

    pub async fn leader_group(&self) -> GroupHandle<M> {
        let leader = self.leader().await;
        self.members[&leader].group.clone()
    }
}

impl Cluster {
    pub fn new() -> Self {
        Cluster::of(CountingMachine::default)
    }

    /// Proposes until a leader has taken and committed the command.
    pub async fn propose(&self, command: &str) {
        loop {
            let group = self.leader_group().await;
            match group.propose(command.as_bytes().to_vec()).await {
                Ok(_) => return,
                Err(ProposeError::Stopped) => panic!("stopped"),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    pub async fn propose_many(&self, from: u64, to: u64) {
        for number in from..to {
            self.propose(&format!("{number:05}")).await;
        }
    }

    /// Reads every member at a confirmed index and compares the tables.
    pub async fn check_all_have(&self, from: u64, to: u64) {
        for member in self.members.values() {
            confirmed_read(&member.group).await;
            let table = member.group.table().expect("readable");
            for number in from..to {
                let key = format!("{number:05}");
                let value = table.get(key.as_bytes()).expect("readable");
                assert!(value.is_some(), "{key} is in every table");
            }
        }
    }
}

/// Repeats a read barrier while there is no leader.
pub async fn confirmed_read<M: StateMachine>(group: &GroupHandle<M>) -> u64 {
    let start = tokio::time::Instant::now();
    loop {
        match group.read_barrier().await {
            Ok(index) => return index,
            Err(error) => assert!(start.elapsed() < WAIT, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn eventually<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let start = tokio::time::Instant::now();
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(start.elapsed() < WAIT, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// What a caller of a group heard.
pub struct Heard {
    /// Proposals that were answered as applied.
    pub applied: u64,
    /// What ended it.
    pub ended: ProposeError,
}

/// Proposes one command after the other until one is refused.
pub fn propose_until_refused(
    group: &GroupHandle<CountingMachine>,
    caller: u8,
) -> JoinHandle<Heard> {
    let group = group.clone();
    tokio::spawn(async move {
        let mut applied = 0;
        loop {
            match group.propose(vec![caller]).await {
                Ok(_) => applied += 1,
                Err(ProposeError::Busy) => {}
                Err(ended) => return Heard { applied, ended },
            }
            tokio::task::yield_now().await;
        }
    })
}
