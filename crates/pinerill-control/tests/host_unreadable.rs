//! State that one build can't read: its replica takes no part any more, and the others go on.

mod host_support;

use std::sync::Arc;

use host_support::{eventually, Cluster, CountingMachine};
use pinerill_control::host::ProposeError;
use pinerill_replica::ReplicaId;
use pinerill_storage::MemoryStore;

const STRANGE: &str = "strange";

fn blind() -> CountingMachine {
    CountingMachine {
        unread: Some(STRANGE.as_bytes()),
        ..CountingMachine::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_cannot_read_an_entry_takes_no_part_and_the_others_go_on() {
    let voters = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];
    let mut cluster = Cluster::new();
    for voter in voters {
        if voter == voters[2] {
            cluster.new_machine = blind;
        }
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
    }
    cluster.propose_many(0, 5).await;
    cluster.propose(STRANGE).await;
    cluster.propose_many(5, 10).await;
    let third = cluster.members[&voters[2]].group.clone();
    eventually("the halt", || third.status().halted.then_some(())).await;
    assert!(!third.status().leads());
    assert_eq!(third.with_machine(|machine| machine.count), 5);
    assert!(third.read_barrier().await.is_err());
    let refused = third.propose(b"x".to_vec()).await;
    assert_eq!(refused, Err(ProposeError::Stopped));
    cluster.propose_many(10, 20).await;
    assert_eq!(third.with_machine(|machine| machine.count), 5);
}
