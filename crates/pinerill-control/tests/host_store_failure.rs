//! A store that fails: the group ends, and whoever follows its status hears of
//! it. What a failed write left behind only a new start can tell.

mod host_support;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use host_support::{CountingMachine, Network, GROUP, WAIT};
use pinerill_control::host::{GroupHost, HostSettings, ProposeError};
use pinerill_replica::{GroupId, ReplicaId};
use pinerill_storage::{
    ClusterId, Completion, CountersSnapshot, GroupReader, GroupStore, Identity, MemoryStore,
    RestoredGroup, StorageCause, StorageError, WriteBatch,
};
use tokio::time::timeout;

/// A store whose disk becomes full.
struct Filling {
    inner: MemoryStore,
    full: AtomicBool,
}

impl GroupStore for Filling {
    fn identity(&self) -> Identity {
        self.inner.identity()
    }

    fn join_cluster(&self, cluster: ClusterId) -> Result<(), StorageError> {
        self.inner.join_cluster(cluster)
    }

    fn groups(&self) -> Result<Vec<GroupId>, StorageError> {
        self.inner.groups()
    }

    fn restore(&self, group: GroupId) -> Result<Option<RestoredGroup>, StorageError> {
        self.inner.restore(group)
    }

    fn write(&self, batch: WriteBatch, completion: Completion) {
        if self.full.load(Ordering::SeqCst) {
            let cause = StorageCause::Io("no space left on device".to_owned());
            completion(Err(StorageError {
                step: "write",
                path: Path::new("full").to_owned(),
                cause,
            }));
            return;
        }
        self.inner.write(batch, completion);
        self.inner.sync();
    }

    fn reader(&self, group: GroupId) -> Result<Box<dyn GroupReader>, StorageError> {
        self.inner.reader(group)
    }

    fn counters(&self) -> CountersSnapshot {
        self.inner.counters()
    }
}

#[tokio::test]
async fn a_group_whose_store_fails_ends_and_its_followers_hear_of_it() {
    let store = Arc::new(Filling {
        inner: MemoryStore::new(ReplicaId(1)),
        full: AtomicBool::new(false),
    });
    let network = Arc::new(Network::default());
    let host = GroupHost::start(store.clone(), network, HostSettings::default());
    let group = host
        .add_group(GROUP, &[ReplicaId(1)], CountingMachine::default())
        .expect("it starts");
    let mut status = group.watch_status();
    let leads = timeout(WAIT, status.wait_for(|status| status.leads()));
    leads.await.expect("in time").expect("it runs");
    assert!(group.propose(b"a".to_vec()).await.is_ok());
    store.full.store(true, Ordering::SeqCst);
    let refused = group.propose(b"b".to_vec()).await;
    assert!(matches!(
        refused,
        Err(ProposeError::Unknown | ProposeError::Stopped)
    ));
    let ended = async { while status.changed().await.is_ok() {} };
    timeout(WAIT, ended).await.expect("the status ends");
}
