//! A group whose process is paused again and again. All members of a group live in one thread,
//! so that they are paused together, as on a machine that is suspended or short of processor
//! time. Each seed has a thread and a group of its own.

mod host_support;

use std::future::Future;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use host_support::{propose_until_refused, Cluster};
use pinerill_control::host::ProposeError;
use pinerill_replica::ReplicaId;
use pinerill_storage::MemoryStore;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio_util::task::AbortOnDropHandle;

/// Lengths of the pauses, in milliseconds: from less than the shortest election timeout
/// of the hosts here to three times the longest.
const PAUSE_MS: RangeInclusive<u64> = 100..=950;
/// Lengths of the times between them, in milliseconds.
const RUN_MS: RangeInclusive<u64> = 10..=90;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Pauses during which commands are proposed one after the other.
const PAUSES: u32 = 12;
const CALLERS: u8 = 20;

/// Runs a test once for each seed, side by side.
fn for_each_seed<F: Future<Output = ()>>(test: impl Fn(u64) -> F + Copy + Send + 'static) {
    let run = |seed| {
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(test(seed));
        })
    };
    let threads: Vec<_> = SEEDS.map(run).collect();
    for thread in threads {
        thread.join().expect("the seed passes");
    }
}

/// Stops this thread, and so every member, again and again until dropped.
struct Pauses {
    count: Arc<AtomicU32>,
    _task: AbortOnDropHandle<()>,
}

impl Pauses {
    fn begin(seed: u64) -> Self {
        let count = Arc::<AtomicU32>::default();
        let counted = count.clone();
        let mut random = StdRng::seed_from_u64(seed);
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(random.gen_range(RUN_MS))).await;
                std::thread::sleep(Duration::from_millis(random.gen_range(PAUSE_MS)));
                counted.fetch_add(1, Ordering::SeqCst);
            }
        });
        Pauses {
            count,
            _task: AbortOnDropHandle::new(task),
        }
    }

    fn count(&self) -> u32 {
        self.count.load(Ordering::SeqCst)
    }
}

fn three() -> Cluster {
    let mut cluster = Cluster::new();
    let voters = [1, 2, 3].map(ReplicaId);
    for voter in voters {
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
    }
    cluster
}

/// Proposes a command until it is applied; the outcome of each attempt must be known.
async fn propose(cluster: &Cluster, command: &[u8]) {
    loop {
        let group = cluster.leader_group().await;
        match group.propose(command.to_vec()).await {
            Ok(_) => return,
            Err(error) => assert_ne!(error, ProposeError::Unknown),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against commands that are applied twice because their callers heard that the outcome
/// is unknown, though nobody was cut off and no message was lost.
#[test]
fn callers_learn_the_outcome_under_repeated_process_pauses() {
    for_each_seed(|seed| async move {
        let cluster = three();
        cluster.propose("before").await;
        let pauses = Pauses::begin(seed);
        let mut proposed = 1;
        while pauses.count() < PAUSES {
            propose(&cluster, b"counted").await;
            proposed += 1;
        }
        drop(pauses);
        let group = cluster.leader_group().await;
        let applied = group.with_machine(|machine| machine.count);
        assert_eq!(applied, proposed, "seed {seed}");
    });
}

/// Guards against planned stops that cut what they had taken, because pauses used up the time of
/// the hand-over.
#[test]
fn a_planned_stop_cuts_no_proposal_under_repeated_process_pauses() {
    for_each_seed(|seed| async move {
        let cluster = three();
        cluster.propose("before").await;
        let stopped = cluster.leader().await;
        let group = cluster.members[&stopped].group.clone();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| propose_until_refused(&group, caller))
            .collect();
        let pauses = Pauses::begin(seed);
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.members[&stopped].host.stop().await;
        drop(pauses);
        let mut applied = 1;
        for caller in callers {
            let heard = caller.await.expect("ran");
            assert_ne!(heard.ended, ProposeError::Unknown, "seed {seed}");
            applied += heard.applied;
        }
        let successor = cluster.leader_group().await;
        let count = successor.with_machine(|machine| machine.count);
        assert_eq!(count, applied, "seed {seed}: answers and refusals are true");
    });
}
