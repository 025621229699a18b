//! What a store offers to the group host.

use std::fmt;
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use pinerill_replica::{GroupId, ReplicaId, RestoredState, SnapshotMeta};

use crate::{StateEntry, StorageError, WriteBatch};

/// Identifies a cluster; written into each folder that joins it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Who a data folder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn at random when the folder was first opened.
    pub replica: ReplicaId,
    /// The cluster the folder belongs to; `None` for a stranger.
    pub cluster: Option<ClusterId>,
}

/// What the store holds of a group.
#[derive(Clone, Debug)]
pub struct RestoredGroup {
    /// Log, election state and what the snapshot covers.
    pub state: RestoredState,
    /// The snapshot's in-memory part; empty if there is no snapshot.
    pub memory: Vec<u8>,
}

/// Called once when a batch is durable or has failed.
pub type Completion = Box<dyn FnOnce(Result<(), StorageError>) + Send>;

/// A consistent view of one group at one moment.
pub trait GroupReader: Send {
    /// The value of a key in the state table.
    fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError>;

    /// At most `limit` entries of the state table in key order.
    fn scan(
        &self,
        from: Bound<&[u8]>,
        to: Bound<&[u8]>,
        limit: usize,
    ) -> Result<Vec<StateEntry>, StorageError>;

    /// The stored snapshot: what it covers and its in-memory part.
    fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StorageError>;
}

/// Durable state of many groups in one data folder.
pub trait GroupStore: Send + Sync + 'static {
    /// Who the folder is.
    fn identity(&self) -> Identity;

    /// Makes the folder a member of the cluster, durably. The same cluster
    /// again is fine; another one is refused.
    fn join_cluster(&self, cluster: ClusterId) -> Result<(), StorageError>;

    /// Groups that have any durable state.
    fn groups(&self) -> Result<Vec<GroupId>, StorageError>;

    /// What is durable of a group; `None` if nothing ever was.
    fn restore(&self, group: GroupId) -> Result<Option<RestoredGroup>, StorageError>;

    /// Queues a batch; never blocks on the disk. Batches become durable in
    /// the order in which they were queued, and completions run in that
    /// order. A completion must be short: other batches wait for it.
    fn write(&self, batch: WriteBatch, completion: Completion);

    /// A consistent view of what is durable now.
    ///
    /// # Errors
    /// When the store can't be read, or just now replaces the group's state by a
    /// received snapshot.
    fn reader(&self, group: GroupId) -> Result<Box<dyn GroupReader>, StorageError>;

    /// Counters since the start.
    fn counters(&self) -> CountersSnapshot;
}

/// Counters of a store.
#[derive(Debug, Default)]
pub struct StoreCounters {
    batches: AtomicU64,
    syncs: AtomicU64,
    bytes: AtomicU64,
}

/// Values of the counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CountersSnapshot {
    /// Batches made durable.
    pub batches: u64,
    /// Transactions, each with one sync.
    pub syncs: u64,
    /// Approximate bytes in the batches.
    pub bytes: u64,
}

impl StoreCounters {
    pub(crate) fn count_sync(&self, batches: u64, bytes: u64) {
        self.batches.fetch_add(batches, Ordering::Relaxed);
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// The values now.
    pub fn snapshot(&self) -> CountersSnapshot {
        CountersSnapshot {
            batches: self.batches.load(Ordering::Relaxed),
            syncs: self.syncs.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
