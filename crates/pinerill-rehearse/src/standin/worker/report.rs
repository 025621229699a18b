//! The load report of a worker: computed now and then, so it lags.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::catalog::{LoadState, Role};
use super::host::EngineHost;
use super::Worker;
use crate::ledger::unix_ms;

/// Load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of the engine.
    pub engine: usize,
    /// Role.
    pub role: Role,
    /// Requests with a slot.
    pub running: u32,
    /// Requests that wait for their first slot.
    pub waiting: u32,
    /// Batch requests among `running`.
    pub batch_running: u32,
    /// Batch requests paused or preempted.
    pub batch_paused: u32,
    /// Slots.
    pub slots: u32,
    /// KV cache in use, in tokens.
    pub kv_used: u64,
    /// KV cache in all, in tokens.
    pub kv_total: u64,
    /// Preemptions since start.
    pub preemptions: u64,
    /// Ready models, `name@version`.
    pub models: Vec<String>,
    /// Ready adapters, `name@version`.
    pub adapters: Vec<String>,
}

/// Load of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the worker.
    pub worker: String,
    /// Its zone.
    pub zone: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// When the report was computed, Unix time in milliseconds.
    pub as_of_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its engines.
    pub engines: Vec<EngineReport>,
}

/// Holds the last report.
#[derive(Debug, Default)]
pub struct ReportBoard {
    last: Mutex<String>,
}

impl ReportBoard {
    /// Computes the report anew.
    pub fn refresh(&self, worker: &Worker) {
        let report = compute(worker);
        if let Ok(text) = serde_json::to_string(&report) {
            *self.last.lock() = text;
        }
    }

    /// The last report as JSON.
    pub fn last(&self) -> String {
        self.last.lock().clone()
    }
}

/// Computes the report at the worker's interval, for ever.
pub async fn run(worker: Arc<Worker>) {
    let interval = Duration::from_millis(worker.arguments.report_interval_ms.max(1));
    loop {
        tokio::time::sleep(interval).await;
        worker.report.refresh(&worker);
    }
}

fn compute(worker: &Worker) -> LoadReport {
    LoadReport {
        worker: worker.arguments.name.clone(),
        zone: worker.arguments.zone.clone(),
        incarnation: worker.incarnation,
        as_of_ms: unix_ms(),
        leaving: worker.engines.iter().any(|engine| engine.is_leaving()),
        engines: worker
            .engines
            .iter()
            .map(|engine| engine_report(engine, worker.arguments.parameters.slots))
            .collect(),
    }
}

fn engine_report(engine: &EngineHost, slots: u32) -> EngineReport {
    let load = engine.load();
    let catalog = engine.catalog();
    let ready_models = catalog
        .models
        .iter()
        .filter(|(_, state)| **state == LoadState::Ready)
        .map(|(name, _)| name.to_string());
    let ready_adapters = catalog
        .adapters
        .iter()
        .filter(|(_, state)| **state == LoadState::Ready)
        .map(|((_, name), _)| name.to_string());
    EngineReport {
        engine: engine.identity.number,
        role: catalog.role,
        running: load.running,
        waiting: load.waiting,
        batch_running: load.batch_running,
        batch_paused: load.batch_paused,
        slots,
        kv_used: load.kv_used,
        kv_total: load.kv_total,
        preemptions: load.preemptions,
        models: ready_models.collect(),
        adapters: ready_adapters.collect(),
    }
}
