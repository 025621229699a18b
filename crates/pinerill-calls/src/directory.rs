//! The directory of workers, as the platform list tells it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies one start of a worker.
pub type WorkerId = String;

/// One worker of the platform list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// This start of the worker.
    pub id: WorkerId,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Time during which it is still slow after its start, milliseconds.
    pub cold_left_ms: u64,
}

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One page of the platform list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPage {
    /// Workers on this page.
    pub workers: Vec<WorkerEntry>,
    /// Token of the next page; none on the last.
    pub next: Option<String>,
}

/// All workers at one revision of the control machine that tells it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerDirectory {
    /// Grows whenever anything changes.
    pub revision: u64,
    /// All workers.
    pub workers: Vec<WorkerEntry>,
}
