//! The store's views for snapshots in transfer: a store can't use pages again that
//! an open view may read, so a view must not stay open while a follower is waited
//! for, least of all for one that stops asking.

mod host_support;

use std::ops::Bound;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use host_support::{eventually, Cluster, CountingMachine};
use pinerill_replica::{GroupId, ReplicaId, SnapshotMeta};
use pinerill_storage::{
    ClusterId, Completion, CountersSnapshot, GroupReader, GroupStore, Identity, MemoryStore,
    RestoredGroup, StateEntry, StorageError, WriteBatch,
};
use tokio::time::{sleep, timeout};

/// Looks at the views, over a time in which a transfer begins anew.
const LOOKS: usize = 60;
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Far beyond the reading of one part from memory, far below a transfer's time.
const LONGEST_VIEW: Duration = Duration::from_millis(200);

/// A store that counts the views that are open.
struct Counted {
    inner: MemoryStore,
    views: Arc<AtomicUsize>,
}

struct CountedView {
    inner: Box<dyn GroupReader>,
    views: Arc<AtomicUsize>,
}

impl Drop for CountedView {
    fn drop(&mut self) {
        self.views.fetch_sub(1, Ordering::SeqCst);
    }
}

impl GroupReader for CountedView {
    fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        self.inner.get(key)
    }

    fn scan(
        &self,
        from: Bound<&[u8]>,
        to: Bound<&[u8]>,
        limit: usize,
    ) -> Result<Vec<StateEntry>, StorageError> {
        self.inner.scan(from, to, limit)
    }

    fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StorageError> {
        self.inner.snapshot()
    }
}

impl GroupStore for Counted {
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
        self.inner.write(batch, completion);
    }

    fn reader(&self, group: GroupId) -> Result<Box<dyn GroupReader>, StorageError> {
        self.views.fetch_add(1, Ordering::SeqCst);
        Ok(Box::new(CountedView {
            inner: self.inner.reader(group)?,
            views: self.views.clone(),
        }))
    }

    fn counters(&self) -> CountersSnapshot {
        self.inner.counters()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_asks_no_more_does_not_keep_a_view_of_the_store_open() {
    let mut cluster: Cluster<CountingMachine> = Cluster::new();
    let voters = [1, 2, 3].map(ReplicaId);
    let views = Arc::new(AtomicUsize::new(0));
    let stores = voters.map(MemoryStore::synced);
    for inner in stores.clone() {
        let views = views.clone();
        cluster.start(Arc::new(Counted { inner, views }), &voters);
    }
    cluster.propose_many(0, 10).await;
    cluster.halt(ReplicaId(3)).await;
    cluster.propose_many(10, 400).await;
    let network = cluster.network.clone();
    let sent = || network.snapshot_parts_sent.load(Ordering::SeqCst);
    let sent_before = sent();
    cluster
        .network
        .snapshot_answers_lost
        .store(true, Ordering::SeqCst);
    cluster.start(Arc::new(stores[2].clone()), &[]);
    eventually("a snapshot on its way", || {
        (sent() > sent_before).then_some(())
    })
    .await;
    // Looked at until well after a transfer is given up; a part is read now and
    // then, for a moment.
    for _ in 0..LOOKS {
        let closed = || (views.load(Ordering::SeqCst) == 0).then_some(());
        timeout(LONGEST_VIEW, eventually("no open view", closed))
            .await
            .expect("a view stays open between two parts");
        sleep(LOOK_PAUSE).await;
    }
    cluster
        .network
        .snapshot_answers_lost
        .store(false, Ordering::SeqCst);
    cluster.check_all_have(0, 400).await;
}
