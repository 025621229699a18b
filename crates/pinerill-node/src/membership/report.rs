//! A worker's load report as it travels.

use serde::Deserialize;

/// What an engine does of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Only prefill.
    Prefill,
    /// Only decode.
    Decode,
}

/// One engine of a load report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct EngineReport {
    /// Its number.
    pub engine: u16,
    /// Its role.
    #[serde(default)]
    pub role: Role,
    /// Requests with a slot, batch included.
    pub running: u32,
    /// Requests without one.
    pub waiting: u32,
    /// Batch requests with a slot.
    #[serde(default)]
    pub batch_running: u32,
    /// Batch requests that stepped aside.
    #[serde(default)]
    pub batch_paused: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Preemptions since its start.
    #[serde(default)]
    pub preemptions: u64,
    /// `model@version` of the models that are ready.
    #[serde(default)]
    pub models: Vec<String>,
    /// `adapter@version` of the adapters that are ready.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A worker's load report.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WorkerReport {
    /// Random number of this start of the worker.
    pub incarnation: u64,
    /// It takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Its engines.
    pub engines: Vec<EngineReport>,
}
