//! Counters of a group host, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use pinerill_storage::GroupStore;

/// Values of the counters since the start of the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounters {
    /// Proposals taken from callers.
    pub proposals: u64,
    /// Entries applied.
    pub entries_applied: u64,
    /// Reads confirmed.
    pub reads: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Messages for groups that this host does not run.
    pub messages_unknown_group: u64,
    /// Snapshots saved.
    pub snapshots_saved: u64,
    /// Snapshots installed from a leader.
    pub snapshots_installed: u64,
    /// Changes of role, term or leader.
    pub role_changes: u64,
    /// Pauses of the process that a group's task detected.
    pub process_pauses: u64,
    /// Milliseconds of these pauses.
    pub process_pause_ms: u64,
    /// Proposals whose outcome their callers were told to be unknown.
    pub proposals_unknown: u64,
    /// Batches made durable by the store.
    pub store_batches: u64,
    /// Syncs of the store.
    pub store_syncs: u64,
    /// Bytes written to the store.
    pub store_bytes: u64,
}

/// The counters themselves.
#[derive(Default)]
pub(super) struct CounterCells {
    pub(super) proposals: AtomicU64,
    pub(super) entries_applied: AtomicU64,
    pub(super) reads: AtomicU64,
    pub(super) messages_sent: AtomicU64,
    pub(super) messages_received: AtomicU64,
    pub(super) messages_unknown_group: AtomicU64,
    pub(super) snapshots_saved: AtomicU64,
    pub(super) snapshots_installed: AtomicU64,
    pub(super) role_changes: AtomicU64,
    pub(super) process_pauses: AtomicU64,
    pub(super) process_pause_ms: AtomicU64,
    pub(super) proposals_unknown: AtomicU64,
}

pub(super) fn count(cell: &AtomicU64, amount: usize) {
    cell.fetch_add(amount as u64, Ordering::Relaxed);
}

impl CounterCells {
    pub(super) fn values(&self, store: &dyn GroupStore) -> HostCounters {
        let value = |cell: &AtomicU64| cell.load(Ordering::Relaxed);
        let store = store.counters();
        HostCounters {
            proposals: value(&self.proposals),
            entries_applied: value(&self.entries_applied),
            reads: value(&self.reads),
            messages_sent: value(&self.messages_sent),
            messages_received: value(&self.messages_received),
            messages_unknown_group: value(&self.messages_unknown_group),
            snapshots_saved: value(&self.snapshots_saved),
            snapshots_installed: value(&self.snapshots_installed),
            role_changes: value(&self.role_changes),
            process_pauses: value(&self.process_pauses),
            process_pause_ms: value(&self.process_pause_ms),
            proposals_unknown: value(&self.proposals_unknown),
            store_batches: store.batches,
            store_syncs: store.syncs,
            store_bytes: store.bytes,
        }
    }
}
