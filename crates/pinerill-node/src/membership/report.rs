//! JSON format of the load report that a worker serves at `/worker`.

use serde::Deserialize;

/// Phases of a request that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs prefill and decode.
    #[default]
    Both,
    /// Runs only prefill.
    Prefill,
    /// Runs only decode.
    Decode,
}

/// State of one engine in a load report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct EngineReport {
    /// Number of the engine at its worker, counted from 0.
    pub engine: u16,
    /// Phases that the engine runs; `Both` if the report omits it.
    #[serde(default)]
    pub role: Role,
    /// Number of requests that hold a slot, including batch requests.
    pub running: u32,
    /// Number of requests queued for a slot.
    pub waiting: u32,
    /// Number of batch requests that hold a slot.
    #[serde(default)]
    pub batch_running: u32,
    /// Number of batch requests that are paused or preempted.
    #[serde(default)]
    pub batch_paused: u32,
    /// Number of slots, the limit of requests that run concurrently.
    pub slots: u32,
    /// Number of preemptions since the engine started.
    #[serde(default)]
    pub preemptions: u64,
    /// Loaded models as `model@version`.
    #[serde(default)]
    pub models: Vec<String>,
    /// Loaded adapters as `adapter@version`.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Load report of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WorkerReport {
    /// Random number that the worker picks at each start.
    pub incarnation: u64,
    /// Whether the worker is shutting down and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Reports of the worker's engines.
    pub engines: Vec<EngineReport>,
}
