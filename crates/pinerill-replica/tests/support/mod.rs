//! A group in memory: every write is durable at once, messages arrive in
//! order, and time moves only when a test says so.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerill_replica::{
    Committed, ConfirmedRead, Dropped, EntryKind, Envelope, GroupId, Input, MembershipChange,
    Message, Output, Persist, Replica, ReplicaConfig, ReplicaId, RestoredState, Role, SnapshotMeta,
};

pub const GROUP: GroupId = GroupId(7);
pub const TICK_MS: u64 = 10;

/// A replica with what it has made durable and applied.
pub struct Node {
    pub replica: Replica,
    pub disk: RestoredState,
    pub snapshot: Vec<u8>,
    pub applied: Vec<Committed>,
    pub reads: Vec<ConfirmedRead>,
    pub dropped: Vec<Dropped>,
}

pub struct Cluster {
    pub now_ms: u64,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub queue: VecDeque<Envelope>,
    pub cut: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Which messages are lost on every link.
    pub lost: fn(&Message) -> bool,
    /// Whom a leader last told to campaign at once, whether it heard or not.
    pub last_order_to_campaign: Option<ReplicaId>,
    pub sent: BTreeMap<&'static str, usize>,
}

pub fn id(number: u64) -> ReplicaId {
    ReplicaId(number)
}

pub fn config(replica: ReplicaId) -> ReplicaConfig {
    let mut config = ReplicaConfig::new(replica, GROUP, replica.0 * 1000);
    config.compaction_margin = 0;
    config
}

impl Cluster {
    pub fn new(voters: u64) -> Self {
        let mut cluster = Cluster {
            now_ms: 0,
            nodes: BTreeMap::new(),
            queue: VecDeque::new(),
            cut: BTreeSet::new(),
            lost: |_| false,
            last_order_to_campaign: None,
            sent: BTreeMap::new(),
        };
        let snapshot = SnapshotMeta::bootstrap((1..=voters).map(id));
        for number in 1..=voters {
            let disk = RestoredState {
                snapshot: snapshot.clone(),
                ..RestoredState::default()
            };
            cluster.start(id(number), disk);
        }
        cluster
    }

    pub fn start(&mut self, replica: ReplicaId, disk: RestoredState) {
        let node = Node {
            replica: Replica::new(config(replica), disk.clone()),
            disk,
            snapshot: b"snapshot".to_vec(),
            applied: Vec::new(),
            reads: Vec::new(),
            dropped: Vec::new(),
        };
        self.nodes.insert(replica, node);
    }

    pub fn node(&mut self, replica: ReplicaId) -> &mut Node {
        self.nodes.get_mut(&replica).expect("known replica")
    }

    pub fn step(&mut self, replica: ReplicaId, input: Input) {
        let now_ms = self.now_ms;
        self.node(replica).replica.step(now_ms, input);
        self.carry_out(replica);
    }

    fn carry_out(&mut self, replica: ReplicaId) {
        let now_ms = self.now_ms;
        loop {
            let node = self.node(replica);
            let output = node.replica.take_output();
            let Some(persist) = node.take(&output) else {
                self.post(output.messages);
                return;
            };
            node.replica.step(now_ms, persist);
            self.post(output.messages);
        }
    }

    fn post(&mut self, messages: Vec<Envelope>) {
        for envelope in messages {
            *self.sent.entry(name(&envelope.message)).or_default() += 1;
            if matches!(envelope.message, Message::TimeoutNow(_)) {
                self.last_order_to_campaign = Some(envelope.to);
            }
            let cut = self.cut.contains(&(envelope.from, envelope.to));
            if !cut && !(self.lost)(&envelope.message) {
                self.queue.push_back(envelope);
            }
        }
    }

    pub fn deliver_all(&mut self) {
        while let Some(envelope) = self.queue.pop_front() {
            let to = envelope.to;
            if self.nodes.contains_key(&to) {
                self.step(to, Input::Message(envelope));
            }
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
            for replica in ids {
                self.step(replica, Input::Tick);
            }
            self.deliver_all();
        }
    }

    pub fn leaders(&self) -> Vec<ReplicaId> {
        let leads = |node: &Node| node.replica.status().role == Role::Leader;
        let leaders = self.nodes.iter().filter(|(_, node)| leads(node));
        leaders.map(|(replica, _)| *replica).collect()
    }

    pub fn elect(&mut self) -> ReplicaId {
        self.run(3000);
        let leaders = self.leaders();
        assert_eq!(leaders.len(), 1, "one leader");
        leaders[0]
    }

    pub fn propose(&mut self, replica: ReplicaId, token: u64) {
        let data = token.to_be_bytes().to_vec().into();
        self.step(replica, Input::Propose { token, data });
    }

    pub fn change(&mut self, replica: ReplicaId, token: u64, change: MembershipChange) {
        self.step(replica, Input::ChangeMembership { token, change });
    }

    /// Cuts every link of the replica in both directions.
    pub fn isolate(&mut self, replica: ReplicaId) {
        let others: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for other in others {
            self.cut.insert((replica, other));
            self.cut.insert((other, replica));
        }
    }

    /// Applied commands as the tokens they were proposed with.
    pub fn commands(&mut self, replica: ReplicaId) -> Vec<u64> {
        let applied = &self.node(replica).applied;
        applied.iter().filter_map(command_token).collect()
    }
}

fn command_token(committed: &Committed) -> Option<u64> {
    match &committed.entry.kind {
        EntryKind::Command(data) => Some(u64::from_be_bytes(data[..].try_into().ok()?)),
        _ => None,
    }
}

impl Node {
    /// Carries out everything but messages; returns the next input if any.
    fn take(&mut self, output: &Output) -> Option<Input> {
        self.reads.extend_from_slice(&output.reads);
        self.dropped.extend_from_slice(&output.dropped);
        self.applied.extend_from_slice(&output.committed);
        if let Some(request) = output.snapshot_requests.first() {
            let meta = self.disk.snapshot.clone();
            let start = request.offset as usize;
            let end = (start + 3).min(self.snapshot.len());
            self.store(output.persist.as_ref());
            return Some(Input::SnapshotChunkRead {
                to: request.to,
                meta,
                offset: request.offset,
                bytes: self.snapshot[start..end].to_vec(),
                done: end == self.snapshot.len(),
            });
        }
        self.store(output.persist.as_ref())
    }

    fn store(&mut self, persist: Option<&Persist>) -> Option<Input> {
        let persist = persist?;
        if let Some(hard_state) = persist.hard_state {
            self.disk.hard_state = hard_state;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.disk.snapshot = snapshot.meta.clone();
            self.snapshot = snapshot.data.clone();
            self.disk.entries.clear();
        }
        if let Some(first) = persist.entries.first() {
            self.disk.entries.retain(|entry| entry.index < first.index);
            self.disk.entries.extend_from_slice(&persist.entries);
        }
        let sequence = persist.sequence;
        Some(Input::Persisted { sequence })
    }

    /// Makes a durable snapshot of everything applied.
    pub fn save_snapshot(&mut self) -> Input {
        let index = self.replica.status().applied;
        let meta = self.replica.snapshot_meta(index).expect("applied");
        self.disk.snapshot = meta.clone();
        Input::SnapshotSaved { meta }
    }
}

fn name(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat(_) => "heartbeat",
        Message::ReadIndexRequest(_) => "read_index_request",
        Message::AppendRequest(_) => "append_request",
        Message::SnapshotChunk(_) => "snapshot_chunk",
        Message::PreVoteRequest(_) => "pre_vote_request",
        _ => "other",
    }
}
