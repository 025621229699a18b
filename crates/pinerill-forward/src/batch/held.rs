//! The items leased to this node: their tasks, how many of them wait for slots, and which the node has
//! returned.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::job::ItemRef;
use pinerill_process::clock::BootTime;
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

/// Time without a renewal after which no item is sent to a worker: the job may have ended, or
/// the item may be leased to another node.
const RENEWAL_TTL: Duration = Duration::from_millis(1_800);

/// The items leased to this node, with the tasks that run them.
#[derive(Default)]
pub(super) struct HeldLeases {
    tasks: Mutex<HashMap<ItemRef, AbortOnDropHandle<()>>>,
    /// Number of items that wait for a slot, by service.
    waiting: Mutex<HashMap<String, u32>>,
    /// Items that no worker took, until a request that lists them is answered.
    returned: Mutex<Vec<ItemRef>>,
    /// Start of the last request whose leases the leader confirmed; None before the first.
    renewed_at: Mutex<Option<BootTime>>,
    /// Notified when an item is released, which may have freed a slot.
    pub(super) changed: Notify,
}

/// Counts an item as waiting for a slot until it is dropped.
pub(super) struct WaitingItem<'held> {
    held: &'held HeldLeases,
    service: String,
}

impl HeldLeases {
    /// Records that the leader confirmed the leases in answer to a request begun at `started`.
    pub(super) fn mark_renewed(&self, started: BootTime) {
        *self.renewed_at.lock() = Some(started);
    }

    /// Returns whether the leader confirmed the leases within `RENEWAL_TTL`.
    pub(super) fn is_renewed(&self) -> bool {
        self.is_renewed_within(RENEWAL_TTL)
    }

    /// Returns whether the leader confirmed the leases within this time.
    pub(super) fn is_renewed_within(&self, time: Duration) -> bool {
        let renewed_at = *self.renewed_at.lock();
        renewed_at.is_some_and(|at| at.elapsed() < time)
    }

    /// Adds an item with the task that runs it.
    pub(super) fn insert(&self, item: ItemRef, task: AbortOnDropHandle<()>) {
        self.tasks.lock().insert(item, task);
    }

    /// Removes an item and aborts its task, which closes its connection to the worker. Returns false
    /// if the node does not hold it.
    pub(super) fn stop(&self, item: &ItemRef) -> bool {
        let task = self.tasks.lock().remove(item);
        task.is_some()
    }

    /// Removes an item whose result is recorded, and aborts its task.
    pub(super) fn release(&self, item: &ItemRef) {
        self.stop(item);
        self.changed.notify_one();
    }

    /// Removes an item that no worker took, and aborts its task.
    pub(super) fn give_back(&self, item: &ItemRef) {
        self.returned.lock().push(item.clone());
        self.release(item);
    }

    /// Returns the items that the next request lists as returned.
    pub(super) fn returned(&self) -> Vec<ItemRef> {
        self.returned.lock().clone()
    }

    /// Removes the items that an answered request listed, which are the first ones.
    pub(super) fn forget_returned(&self, listed: &[ItemRef]) {
        self.returned.lock().drain(..listed.len());
    }

    /// Counts an item of a service as waiting for a slot.
    pub(super) fn count_waiting(&self, service: &str) -> WaitingItem<'_> {
        *self.waiting.lock().entry(service.to_owned()).or_default() += 1;
        WaitingItem {
            held: self,
            service: service.to_owned(),
        }
    }

    /// Returns the number of items of a service that wait for a slot.
    pub(super) fn waiting(&self, service: &str) -> u32 {
        self.waiting.lock().get(service).copied().unwrap_or(0)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tasks.lock().is_empty()
    }

    pub(super) fn items(&self) -> Vec<ItemRef> {
        self.tasks.lock().keys().cloned().collect()
    }
}

impl Drop for WaitingItem<'_> {
    fn drop(&mut self) {
        let mut waiting = self.held.waiting.lock();
        let Some(count) = waiting.get_mut(&self.service) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            waiting.remove(&self.service);
        }
    }
}
