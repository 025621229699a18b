//! One job as it is kept in memory.

use pinerill_calls::job::{CallJobId, ListedState};
use serde::{Deserialize, Serialize};

/// A job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The caller's name for it.
    pub id: CallJobId,
    /// Host of its route.
    pub host: String,
    /// Name of its route.
    pub route: String,
    /// When it was accepted, on the group's clock.
    pub accepted_ms: u64,
    /// When its results are due, on the group's clock.
    pub due_ms: u64,
    /// When its items may be given up, on the group's clock.
    pub give_up_at_ms: u64,
    /// Failed runs after which an item is given up.
    pub attempts: u32,
    /// Its items, in the order of submission.
    pub items: Vec<ItemRecord>,
    /// Its results, in the order in which they are told.
    pub listed: Vec<ListedRecord>,
    /// Its caller has ended it.
    pub ended: bool,
}

/// An item.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemRecord {
    /// The caller's name for it.
    pub id: String,
    /// Its tokens.
    pub tokens: u64,
    /// Length of its call, bytes.
    pub call_bytes: u32,
    /// Runs that failed, by the numbers of their reports.
    pub failed_runs: Vec<u64>,
    /// How far it is.
    pub phase: ItemPhase,
}

/// How far an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemPhase {
    /// It is to run, or runs.
    Waiting,
    /// It has its place in the results.
    Listed,
    /// Its job was ended before it was done.
    Dropped,
}

/// An entry of the results; its text lives in the state table.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ListedRecord {
    /// Position of the item in the job.
    pub index: u32,
    /// Its state.
    pub state: ListedState,
    /// Length of its text, bytes.
    pub text_bytes: u32,
}

impl JobRecord {
    /// Whether nothing of it will run any more.
    pub fn is_finished(&self) -> bool {
        self.ended || self.listed.len() == self.items.len()
    }
}
