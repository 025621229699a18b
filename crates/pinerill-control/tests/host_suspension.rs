//! Hosts whose machine was suspended.

mod host_support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use host_support::{eventually, test_clock, Cluster, GROUP};
use pinerill_replica::{Envelope, HeartbeatResponse, Message, ReplicaId};
use pinerill_storage::MemoryStore;

const ELECTION_MIN: Duration = Duration::from_secs(3);
const ELECTION_MAX: Duration = Duration::from_secs(5);
/// Far shorter than a leader that hears nobody leads on.
const AT_ONCE: Duration = Duration::from_millis(1_500);
/// Long enough for a group's task to apply a command.
const APPLIES: Duration = Duration::from_millis(300);

struct Suspendable {
    cluster: Cluster,
    leader: ReplicaId,
    suspended_ms: Arc<AtomicU64>,
}

async fn suspendable() -> Suspendable {
    let mut cluster = Cluster::new();
    let voters = [1, 2, 3].map(ReplicaId);
    let mut clocks = BTreeMap::new();
    for voter in voters {
        let suspended_ms = Arc::new(AtomicU64::new(0));
        cluster.settings.clock = test_clock(suspended_ms.clone());
        cluster.settings.election_min = ELECTION_MIN;
        cluster.settings.election_max = ELECTION_MAX;
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
        clocks.insert(voter, suspended_ms);
    }
    cluster.propose_many(0, 5).await;
    let leader = cluster.leader().await;
    let suspended_ms = clocks.remove(&leader).expect("a clock");
    Suspendable {
        cluster,
        leader,
        suspended_ms,
    }
}

impl Suspendable {
    /// Holds the leader's task up, lets an answer of each follower come, then a time pass
    /// that the leader's clock shows and no timer.
    fn suspend_behind_answers(&self, passed: Duration) {
        let member = &self.cluster.members[&self.leader];
        let group = &member.group;
        let term = group.status().term;
        group.with_machine(|_| {
            let proposed = group.enqueue(b"held up".to_vec());
            drop(proposed.expect("enqueued"));
            std::thread::sleep(APPLIES);
            self.cluster.network.cut(self.leader);
            let followers = self.cluster.members.keys();
            for from in followers.filter(|id| **id != self.leader) {
                let response = HeartbeatResponse { term, round: 0 };
                member.host.on_message(Envelope {
                    group: GROUP,
                    from: *from,
                    to: self.leader,
                    message: Message::HeartbeatResponse(response),
                });
            }
            let passed_ms = passed.as_millis() as u64;
            self.suspended_ms.fetch_add(passed_ms, Ordering::SeqCst);
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_waited_over_a_suspension_keep_no_leader() {
    let suspended = suspendable().await;
    tokio::task::block_in_place(|| suspended.suspend_behind_answers(2 * ELECTION_MAX));
    let began = Instant::now();
    let group = &suspended.cluster.members[&suspended.leader].group;
    eventually("it steps down", || (!group.status().leads()).then_some(())).await;
    let took = began.elapsed();
    assert!(took < AT_ONCE, "{took:?}");
}

/// A short standstill deposes nobody: the answers count as of when they are read.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_waited_for_a_moment_keep_the_leader() {
    let suspended = suspendable().await;
    let passed = (ELECTION_MIN + ELECTION_MAX) / 2;
    tokio::task::block_in_place(|| suspended.suspend_behind_answers(passed));
    tokio::time::sleep(AT_ONCE).await;
    let group = &suspended.cluster.members[&suspended.leader].group;
    assert!(group.status().leads());
}
