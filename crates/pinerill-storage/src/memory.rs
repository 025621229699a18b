//! A store in memory that loses what a disk would lose.

use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_replica::{GroupId, ReplicaId};

use crate::memory_group::MemoryGroup;
use crate::{
    ClusterId, Completion, CountersSnapshot, GroupReader, GroupStore, Identity, RestoredGroup,
    StorageCause, StorageError, StoreCounters, WriteBatch,
};

/// Stands for a path in errors.
const MEMORY_PATH: &str = "(memory)";

struct Inner {
    identity: Identity,
    groups: BTreeMap<GroupId, MemoryGroup>,
    pending: VecDeque<(WriteBatch, Completion)>,
    sync_at_once: bool,
}

/// A store in memory. Clones share the same contents, as a restarted process
/// shares the disk of the one before.
#[derive(Clone)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
    counters: Arc<StoreCounters>,
}

impl MemoryStore {
    /// An empty store whose writes wait for [`MemoryStore::sync`].
    pub fn new(replica: ReplicaId) -> Self {
        Self::with_mode(replica, false)
    }

    /// An empty store whose writes are durable at once.
    pub fn synced(replica: ReplicaId) -> Self {
        Self::with_mode(replica, true)
    }

    fn with_mode(replica: ReplicaId, sync_at_once: bool) -> Self {
        let identity = Identity {
            replica,
            cluster: None,
        };
        let inner = Inner {
            identity,
            groups: BTreeMap::new(),
            pending: VecDeque::new(),
            sync_at_once,
        };
        MemoryStore {
            inner: Arc::new(Mutex::new(inner)),
            counters: Arc::new(StoreCounters::default()),
        }
    }

    /// Makes every queued batch durable and runs the completions.
    pub fn sync(&self) {
        self.sync_first(usize::MAX);
    }

    /// Makes the first `count` queued batches durable.
    pub fn sync_first(&self, count: usize) {
        let mut completions = Vec::new();
        let mut bytes = 0;
        {
            let mut inner = self.inner.lock();
            while completions.len() < count {
                let Some((batch, completion)) = inner.pending.pop_front() else {
                    break;
                };
                bytes += batch.size();
                inner.apply(batch);
                completions.push(completion);
            }
        }
        if completions.is_empty() {
            return;
        }
        let batches = completions.len() as u64;
        self.counters.count_sync(batches, bytes as u64);
        // Outside the lock: a completion may write again.
        for completion in completions {
            completion(Ok(()));
        }
    }

    /// Number of batches that wait for a sync.
    pub fn pending(&self) -> usize {
        self.inner.lock().pending.len()
    }

    /// Loses every batch that was not synced; their completions never run.
    pub fn crash(&self) {
        self.inner.lock().pending.clear();
    }

    /// Loses everything. The folder comes back as the given new replica.
    pub fn lose_disk(&self, replica: ReplicaId) {
        let mut inner = self.inner.lock();
        inner.pending.clear();
        inner.groups.clear();
        inner.identity = Identity {
            replica,
            cluster: None,
        };
    }
}

impl Inner {
    fn apply(&mut self, batch: WriteBatch) {
        let group = self.groups.entry(batch.group).or_default();
        for operation in batch.operations {
            group.apply(operation);
        }
    }
}

impl GroupStore for MemoryStore {
    fn identity(&self) -> Identity {
        self.inner.lock().identity
    }

    fn join_cluster(&self, cluster: ClusterId) -> Result<(), StorageError> {
        let mut inner = self.inner.lock();
        match inner.identity.cluster {
            Some(found) if found != cluster => {
                let cause = StorageCause::OtherCluster {
                    found,
                    wanted: cluster,
                };
                let path = Path::new(MEMORY_PATH);
                Err(StorageError::new("join of a cluster", path, cause))
            }
            _ => {
                inner.identity.cluster = Some(cluster);
                Ok(())
            }
        }
    }

    fn groups(&self) -> Result<Vec<GroupId>, StorageError> {
        Ok(self.inner.lock().groups.keys().copied().collect())
    }

    fn restore(&self, group: GroupId) -> Result<Option<RestoredGroup>, StorageError> {
        let inner = self.inner.lock();
        Ok(inner.groups.get(&group).map(MemoryGroup::restore))
    }

    fn write(&self, batch: WriteBatch, completion: Completion) {
        let sync_at_once = {
            let mut inner = self.inner.lock();
            inner.pending.push_back((batch, completion));
            inner.sync_at_once
        };
        if sync_at_once {
            self.sync();
        }
    }

    fn reader(&self, group: GroupId) -> Result<Box<dyn GroupReader>, StorageError> {
        let inner = self.inner.lock();
        let reader = inner.groups.get(&group).map(MemoryGroup::reader);
        Ok(Box::new(reader.unwrap_or_default()))
    }

    fn counters(&self) -> CountersSnapshot {
        self.counters.snapshot()
    }
}
