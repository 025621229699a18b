//! In-memory record of a job and its items.

use pinerill_calls::job::{CallJobId, ListedState};
use serde::{Deserialize, Serialize};

/// Job that was accepted and not yet deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Identifier assigned by the caller.
    pub id: CallJobId,
    /// Host of the job's route.
    pub host: String,
    /// Name of the job's route.
    pub route: String,
    /// Time of acceptance on the group's clock, milliseconds.
    pub accepted_ms: u64,
    /// Time at which the results are due on the group's clock, milliseconds.
    pub due_ms: u64,
    /// Time after which unfinished items are given up, on the group's clock, milliseconds.
    pub give_up_at_ms: u64,
    /// Number of failed runs after which an item is given up, at least 1.
    pub attempts: u32,
    /// Items in the order of submission.
    pub items: Vec<ItemRecord>,
    /// Results in the order in which they are returned to the caller. Entries are only
    /// appended.
    pub listed: Vec<ListedRecord>,
    /// Whether the caller has ended the job.
    pub ended: bool,
}

/// Item of a job. Its call is kept in the state table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Identifier assigned by the caller.
    pub id: String,
    /// Number of tokens that count against the limit on waiting tokens.
    pub tokens: u64,
    /// Length of the item's call, bytes.
    pub call_bytes: u32,
    /// Numbers of the runs that failed, as their reports gave them. Each number occurs once.
    pub failed_runs: Vec<u64>,
    /// Progress of the item.
    pub phase: ItemPhase,
}

/// Progress of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemPhase {
    /// The item is queued or running.
    Waiting,
    /// The item has an entry in the results.
    Listed,
    /// The job was ended before the item completed.
    Dropped,
}

/// Entry of a job's results. The text of a completed item is kept in the state table.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ListedRecord {
    /// Index of the item in the job.
    pub index: u32,
    /// Whether the item completed or was given up.
    pub state: ListedState,
    /// Length of the result's text, bytes; 0 if the item was given up.
    pub text_bytes: u32,
}

impl JobRecord {
    /// Returns whether no item of the job will run again.
    pub fn is_finished(&self) -> bool {
        self.ended || self.listed.len() == self.items.len()
    }
}
