//! Proposals that meet a group's halt. In a file of its own: it takes all the processors' time.

mod host_support;

use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use host_support::{Cluster, CountingMachine, WAIT};
use pinerill_control::host::{GroupHandle, ProposeError};
use pinerill_replica::ReplicaId;
use pinerill_storage::MemoryStore;

/// Halts of a group while callers propose.
const HALTS: usize = 100;
const CALLERS_AT_A_HALT: usize = 8;
const ONLY: ReplicaId = ReplicaId(1);

/// The callers hold the way to the group while they wait, so nothing else would wake them.
#[tokio::test(flavor = "multi_thread")]
async fn a_proposal_that_is_sent_while_the_group_halts_is_answered() {
    for _ in 0..HALTS {
        let mut cluster = Cluster::new();
        cluster.settings.election_min = Duration::from_millis(12);
        cluster.settings.max_pending_proposals = 512;
        cluster.start(Arc::new(MemoryStore::synced(ONLY)), &[ONLY]);
        let group = cluster.leader_group().await;
        let callers: Vec<_> = (0..CALLERS_AT_A_HALT)
            .map(|_| tokio::spawn(propose_without_waiting(group.clone())))
            .collect();
        tokio::time::sleep(Duration::from_millis(1)).await;
        cluster.halt(ONLY).await;
        for caller in callers {
            let ended = tokio::time::timeout(WAIT, caller).await;
            ended.expect("answered").expect("ran");
        }
    }
}

/// Sends proposals until the group is stopped, then waits for what became of each.
async fn propose_without_waiting(group: GroupHandle<CountingMachine>) {
    let mut sent = Vec::new();
    loop {
        let mut proposal = Box::pin(group.propose(b"x".to_vec()));
        match futures::poll!(&mut proposal) {
            Poll::Pending => sent.push(proposal),
            Poll::Ready(Err(ProposeError::Stopped)) => break,
            Poll::Ready(_) => tokio::task::yield_now().await,
        }
    }
    futures::future::join_all(sent).await;
}
