//! The group's clock on replicated hosts, over cuts of leaders, restarts and snapshots.

#[path = "../../pinerill-control/tests/host_support/mod.rs"]
mod host_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use host_support::Cluster;
use pinerill_calls::job::{CallJobId, NewCallJob};
use pinerill_calls::message::Format;
use pinerill_cluster::command_clock::CommandClock;
use pinerill_cluster::machine::{write_command, ClusterMachine, Command, StampedCommand};
use pinerill_replica::ReplicaId;
use pinerill_storage::MemoryStore;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

const SEEDS: std::ops::Range<u64> = 0..4;
const ROUNDS: usize = 14;
const COMMANDS_PER_ROUND: usize = 12;

fn job_id(number: usize) -> CallJobId {
    CallJobId::new(None, &number.to_string())
}

fn job(number: usize) -> NewCallJob {
    NewCallJob {
        id: job_id(number),
        host: "h".to_owned(),
        path: "/b/".to_owned(),
        items: vec![],
        result_target_ms: 20_000,
        give_up_ms: 60_000,
        attempts: 1,
        max_waiting_tokens: 0,
        route: "r".to_owned(),
    }
}

/// Clocks of the leaderships of each replica, as each control machine keeps them.
#[derive(Default)]
struct Clocks(BTreeMap<ReplicaId, (u64, CommandClock)>);

impl Clocks {
    fn take_elapsed_ms(&mut self, leader: ReplicaId, term: u64, now_ms: u64) -> u64 {
        let begin = || (term, CommandClock::begin(now_ms));
        let held = self.0.entry(leader).or_insert_with(begin);
        if held.0 != term {
            *held = begin();
        }
        held.1.take_elapsed_ms(now_ms)
    }
}

struct Scene {
    cluster: Cluster<ClusterMachine>,
    stores: BTreeMap<ReplicaId, MemoryStore>,
    clocks: Clocks,
    random: StdRng,
    began: Instant,
    /// Time at which each job was submitted.
    submitted_ms: Vec<u64>,
}

impl Scene {
    fn start(seed: u64) -> Self {
        let mut cluster = Cluster::of(ClusterMachine::default);
        let voters = [1, 2, 3].map(ReplicaId);
        let stores = voters.map(|voter| (voter, MemoryStore::synced(voter)));
        let began = Instant::now();
        for (_, store) in &stores {
            cluster.start(Arc::new(store.clone()), &voters);
        }
        Scene {
            cluster,
            stores: stores.into(),
            clocks: Clocks::default(),
            random: StdRng::seed_from_u64(seed),
            began,
            submitted_ms: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Every replica that takes itself for the leader submits a job. Nobody waits for its outcome,
    /// so that many stay unknown.
    fn submit_at_all_leaders(&mut self) {
        let now_ms = self.now_ms();
        let formats: Vec<Format> = Format::newest_first().collect();
        for (replica, member) in &self.cluster.members {
            let status = member.group.status();
            if !status.leads() {
                continue;
            }
            let job = Box::new(job(self.submitted_ms.len()));
            self.submitted_ms.push(now_ms);
            let room_bytes = None;
            let stamped = StampedCommand {
                elapsed_ms: self.clocks.take_elapsed_ms(*replica, status.term, now_ms),
                command: Command::SubmitJob { job, room_bytes },
            };
            let format = formats[self.random.gen_range(0..formats.len())];
            let bytes = write_command(stamped, format).expect("expressible");
            drop(member.group.enqueue(bytes));
        }
    }

    async fn disturb(&mut self) {
        let replica = ReplicaId(self.random.gen_range(1..=3));
        match self.random.gen_range(0..4) {
            0 => self.cluster.network.cut(replica),
            1 => {
                let leader = self.cluster.members.iter();
                let mut leads = leader.filter(|(_, member)| member.group.status().leads());
                if let Some((leader, _)) = leads.next() {
                    self.cluster.network.cut(*leader);
                }
            }
            2 => {
                self.cluster.halt(replica).await;
                let store = self.stores[&replica].clone();
                self.cluster.start(Arc::new(store), &[]);
                self.clocks.0.remove(&replica);
            }
            _ => {}
        }
    }

    fn join_all(&self) {
        for replica in 1..=3 {
            self.cluster.network.join(ReplicaId(replica));
        }
    }

    fn check(&self) {
        for (replica, member) in &self.cluster.members {
            let clock_ms = member.group.with_machine(ClusterMachine::clock_ms);
            let now_ms = self.now_ms();
            assert!(clock_ms <= now_ms, "{replica:?}: {clock_ms} of {now_ms} ms");
        }
    }

    /// Checks that no accepted job ages faster on the group's clock than in truth, and returns how
    /// many jobs there are.
    fn check_ages(&self, machine: &ClusterMachine) -> usize {
        let jobs = self.submitted_ms.iter().enumerate();
        let mut accepted: Vec<(u64, u64)> = jobs
            .filter_map(|(number, submitted_ms)| {
                let (order, record) = machine.jobs().find(&job_id(number))?;
                let lag_ms = submitted_ms.checked_sub(record.accepted_ms);
                Some((order, lag_ms.expect("the clock is not ahead")))
            })
            .collect();
        accepted.sort_unstable();
        let lags_ms: Vec<u64> = accepted.into_iter().map(|(_, lag_ms)| lag_ms).collect();
        assert!(
            lags_ms.is_sorted(),
            "the clock catches up what it lagged: {lags_ms:?}"
        );
        lags_ms.len()
    }

    async fn play(mut self) -> (u64, u64, u64) {
        for _ in 0..ROUNDS {
            self.disturb().await;
            for _ in 0..COMMANDS_PER_ROUND {
                self.submit_at_all_leaders();
                let pause_ms = self.random.gen_range(0..40);
                sleep(Duration::from_millis(pause_ms)).await;
                self.check();
            }
            if self.random.gen_bool(0.5) {
                self.join_all();
            }
        }
        self.join_all();
        let leader = self.cluster.leader().await;
        let group = &self.cluster.members[&leader].group;
        host_support::confirmed_read(group).await;
        self.check();
        let jobs = group.with_machine(|machine| self.check_ages(machine));
        assert!(jobs > ROUNDS, "{jobs} jobs");
        let clock_ms = group.with_machine(ClusterMachine::clock_ms);
        (clock_ms, self.now_ms(), group.status().term)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_groups_clock_never_runs_ahead_over_changes_of_leader() {
    let mut terms = 0;
    for seed in SEEDS {
        let (clock_ms, now_ms, term) = Scene::start(seed).play().await;
        println!("seed {seed}: {clock_ms} of {now_ms} ms, term {term}");
        assert!(clock_ms > 0, "seed {seed}");
        terms += term;
    }
    let seeds = SEEDS.end - SEEDS.start;
    assert!(terms > 2 * seeds, "{terms} terms: leaders changed");
}
