//! Pace of workers: how long work takes at a worker compared with others of its service. Pure.

use serde::{Deserialize, Serialize};

use super::WorkerKey;

/// Pace of one worker as one node has observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPace {
    /// The worker.
    pub worker: WorkerKey,
    /// Usual time between two events of a stream there, in microseconds.
    pub event_gap_us: u32,
    /// Number of gaps behind the observation, up to 255.
    pub samples: u8,
}
