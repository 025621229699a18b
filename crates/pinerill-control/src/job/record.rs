//! What is kept in memory of one job.

use std::collections::BTreeSet;

use pinerill_types::job::{ItemCounts, ItemState, JobState, JobStatus};
use pinerill_types::{Digest, JobId, ServiceName, TenantName};
use pinerill_wire::message::SubmitJob;
use serde::{Deserialize, Serialize};

use super::item::{input_bytes, ItemCell};

/// One job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Job {
    pub(super) tenant: TenantName,
    pub(super) service: ServiceName,
    pub(super) idempotency_key: String,
    pub(super) body_digest: Digest,
    /// Items received so far; `cells` has as many until they are dropped.
    pub(super) received: u32,
    pub(super) deadline_ms: u64,
    pub(super) attempts_limit: u32,
    pub(super) retention_ms: u64,
    /// Size of the largest input, bytes: bounds what a lease's answer takes.
    pub(super) largest_input: u32,
    pub(super) state: JobState,
    pub(super) counts: ItemCounts,
    pub(super) created_ms: u64,
    pub(super) expires_ms: u64,
    /// When the job's timer fires, on the group's clock.
    pub(super) timer_ms: u64,
    /// One cell per received item; empty some time after the job ended.
    pub(super) cells: Vec<ItemCell>,
    pub(super) pending: PendingItems,
}

impl Job {
    /// A job of which nothing has been received.
    pub(super) fn new(part: &SubmitJob) -> Self {
        Self {
            tenant: part.tenant.clone(),
            service: part.service.clone(),
            idempotency_key: part.idempotency_key.clone(),
            body_digest: part.body_digest,
            received: 0,
            deadline_ms: part.deadline_ms,
            attempts_limit: part.attempts_limit,
            retention_ms: part.retention_ms,
            largest_input: 0,
            state: JobState::Receiving,
            counts: ItemCounts {
                total: part.total_items,
                ..ItemCounts::default()
            },
            created_ms: 0,
            expires_ms: 0,
            timer_ms: 0,
            cells: Vec::new(),
            pending: PendingItems::default(),
        }
    }

    /// Whether a part belongs to this job.
    pub(super) fn is_of(&self, part: &SubmitJob) -> bool {
        self.body_digest == part.body_digest
            && self.service == part.service
            && self.counts.total == part.total_items
    }

    /// Takes in the items of a part from the first one that is new.
    pub(super) fn receive(&mut self, part: &SubmitJob, skip: usize) {
        let items = part.items.iter().skip(skip);
        self.cells.reserve_exact(items.len());
        for item in items {
            let bytes = u32::try_from(input_bytes(item)).unwrap_or(u32::MAX);
            self.largest_input = self.largest_input.max(bytes);
            self.cells.push(ItemCell::new(item.at_most_once));
            self.received += 1;
            self.counts.pending += 1;
        }
    }

    /// Whether it takes no more changes to items.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, JobState::Completed | JobState::Cancelled)
    }

    /// Items that have not ended, those not received among them.
    pub(super) fn open_items(&self) -> u32 {
        let counts = &self.counts;
        counts.total - counts.completed - counts.failed - counts.cancelled - counts.indeterminate
    }

    /// Its place in its tenant's queue.
    pub(super) fn slot(&self, sequence: u64) -> JobSlot {
        JobSlot {
            deadline_ms: self.deadline_ms,
            sequence,
        }
    }

    /// Moves one item from one state to another in the counts.
    pub(super) fn recount(&mut self, from: ItemState, to: ItemState) {
        *count_of(&mut self.counts, from) -= 1;
        *count_of(&mut self.counts, to) += 1;
    }

    /// The job as its tenant sees it.
    pub(super) fn status(&self, id: JobId) -> JobStatus {
        JobStatus {
            id,
            tenant: self.tenant.clone(),
            service: self.service.clone(),
            state: self.state,
            counts: self.counts,
            created_ms: self.created_ms,
            deadline_ms: self.deadline_ms,
            expires_ms: self.expires_ms,
        }
    }
}

/// A job's place among those of its tenant: the least slack first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct JobSlot {
    pub(super) deadline_ms: u64,
    pub(super) sequence: u64,
}

/// Which items of a job wait for a lease.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct PendingItems {
    /// Every received item from here on was never leased.
    next_fresh: u32,
    /// Items that came back.
    returned: BTreeSet<u32>,
}

impl PendingItems {
    /// Takes out the next item: those that came back go first.
    pub(super) fn take(&mut self, received: u32) -> Option<u32> {
        if let Some(index) = self.returned.pop_first() {
            return Some(index);
        }
        let fresh = self.next_fresh;
        if fresh >= received {
            return None;
        }
        self.next_fresh += 1;
        Some(fresh)
    }

    /// Puts an item back.
    pub(super) fn put_back(&mut self, index: u32) {
        self.returned.insert(index);
    }

    /// Takes out an item that came back.
    pub(super) fn remove(&mut self, index: u32) {
        self.returned.remove(&index);
    }

    /// Takes out all.
    pub(super) fn clear(&mut self, received: u32) {
        self.next_fresh = received;
        self.returned.clear();
    }
}

fn count_of(counts: &mut ItemCounts, state: ItemState) -> &mut u32 {
    match state {
        ItemState::Pending => &mut counts.pending,
        ItemState::Leased => &mut counts.leased,
        ItemState::Completed => &mut counts.completed,
        ItemState::Failed => &mut counts.failed,
        ItemState::Cancelled => &mut counts.cancelled,
        ItemState::Indeterminate => &mut counts.indeterminate,
    }
}
