//! Acceptance of jobs on the group's clock while other commands are enqueued.

#[path = "../../pinerill-control/tests/host_support/mod.rs"]
mod host_support;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use host_support::Cluster;
use parking_lot::Mutex;
use pinerill_calls::job::{CallJobId, NewCallJob};
use pinerill_calls::message::{encode, PutTable};
use pinerill_calls::table::{RequestLimits, RouteTable};
use pinerill_cluster::command_clock::CommandClock;
use pinerill_cluster::command_order::CommandOrder;
use pinerill_cluster::machine::{ClusterMachine, Command, StampedCommand};
use pinerill_control::host::{EnqueuedCommand, GroupHandle, ProposeError};
use pinerill_replica::ReplicaId;
use pinerill_storage::MemoryStore;
use tokio::time::sleep;

const ROUNDS: u64 = 30;
/// Time between two rounds, for which the clock is advanced by one command of the round.
const IDLE_TIME: Duration = Duration::from_millis(60);
/// Long enough that a busy machine does not change the leader.
const ELECTION_MIN: Duration = Duration::from_secs(3);
/// Longest step of the group's clock.
const MAX_STEP_MS: u64 = 2_000;
/// Document that takes longer to encode than a job.
const DOCUMENT_BYTES: usize = 50_000;

#[derive(Clone)]
struct Leader {
    group: GroupHandle<ClusterMachine>,
    order: Arc<CommandOrder>,
    clock: Arc<Mutex<CommandClock>>,
    began: Instant,
}

impl Leader {
    /// Returns the time of the command and its pending outcome.
    fn enqueue(&self, command: Command) -> (u64, Result<EnqueuedCommand, ProposeError>) {
        let mut taken_ms = 0;
        let take_elapsed_ms = || {
            taken_ms = self.began.elapsed().as_millis() as u64;
            Ok::<_, Infallible>(self.clock.lock().take_elapsed_ms(taken_ms))
        };
        let Ok(enqueued) = self.order.enqueue(take_elapsed_ms, |elapsed_ms| {
            let stamped = StampedCommand {
                elapsed_ms,
                command,
            };
            Ok(self.group.enqueue(encode(&stamped)))
        });
        (taken_ms, enqueued)
    }
}

fn put_table(version: u64) -> Command {
    Command::PutTable(Box::new(PutTable {
        table: RouteTable {
            version,
            routes: vec![],
            services: vec![],
            limits: RequestLimits::default(),
            tenants: None,
        },
        document: vec![7; DOCUMENT_BYTES],
    }))
}

fn submit(id: &CallJobId) -> Command {
    let job = NewCallJob {
        id: id.clone(),
        host: "h".to_owned(),
        path: "/b/".to_owned(),
        items: vec![],
        result_target_ms: 20_000,
        give_up_ms: 60_000,
        attempts: 1,
        max_waiting_tokens: 0,
        route: "r".to_owned(),
    };
    let room_bytes = None;
    let job = Box::new(job);
    Command::SubmitJob { job, room_bytes }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_time_before_a_jobs_acceptance_does_not_count_as_its_age() {
    let mut cluster = Cluster::of(ClusterMachine::default);
    cluster.settings.election_min = ELECTION_MIN;
    cluster.settings.election_max = 2 * ELECTION_MIN;
    let voters = [1, 2, 3].map(ReplicaId);
    for voter in voters {
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
    }
    let leader = Leader {
        group: cluster.leader_group().await,
        order: Arc::default(),
        clock: Arc::new(Mutex::new(CommandClock::begin(0))),
        began: Instant::now(),
    };
    let mut last_ms = 0;
    for round in 1..=ROUNDS {
        sleep(IDLE_TIME).await;
        let clock_ms = leader.group.with_machine(ClusterMachine::clock_ms);
        let other = leader.clone();
        let putting = std::thread::spawn(move || other.enqueue(put_table(round)));
        // The job comes while the table is being encoded, at another moment each round.
        std::thread::sleep(Duration::from_micros(200 + 40 * round));
        let id = CallJobId::new(None, &round.to_string());
        let (job_ms, job) = leader.enqueue(submit(&id));
        let (put_ms, put) = putting.join().expect("enqueued");
        for enqueued in [job, put] {
            let applied = enqueued.expect("enqueued").answer().await;
            assert!(applied.is_ok(), "{applied:?}");
        }
        let accepted_ms = leader.group.with_machine(|machine| {
            let (_, record) = machine.jobs().find(&id).expect("the job");
            record.accepted_ms
        });
        let first_ms = put_ms.min(job_ms);
        let age_ms = step_ms(last_ms, first_ms) + step_ms(first_ms, job_ms);
        assert_eq!(accepted_ms, clock_ms + age_ms, "round {round}");
        last_ms = put_ms.max(job_ms);
    }
}

/// Returns the step of the group's clock between two commands.
fn step_ms(from_ms: u64, to_ms: u64) -> u64 {
    (to_ms - from_ms).min(MAX_STEP_MS)
}
