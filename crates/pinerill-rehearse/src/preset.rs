//! The sites that are rehearsed: zones, services, workers and control machines,
//! in the required sizes.

use std::time::Duration;

use clap::ValueEnum;

/// Which site is rehearsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum PresetName {
    /// Lighting fault desk: the online tail weighs more.
    Lumadar,
    /// Quiz questions: batch throughput weighs more.
    Harrowgate,
}

/// One worker of a preset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPlace {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Number of its engines.
    pub engines: usize,
}

/// A site with its fleet and services.
#[derive(Clone, Debug)]
pub struct Preset {
    /// Name of the preset and of its cluster.
    pub name: &'static str,
    /// Its zones.
    pub zones: &'static [&'static str],
    /// Zone of each control machine.
    pub control_zones: &'static [&'static str],
    /// The service that engines back from the start.
    pub service: &'static str,
    /// The service that the old script backs at first.
    pub script_service: &'static str,
    /// The model behind both.
    pub model: &'static str,
    /// The adapter of `script_service` once engines back it.
    pub adapter: &'static str,
    /// The tenant of all load.
    pub tenant: &'static str,
    /// What weighs more: 1.0 only the online tail, 0.0 only batch throughput.
    pub tail_weight: f64,
    /// Its workers.
    pub workers: Vec<WorkerPlace>,
    /// Time between heaps of batch jobs.
    pub heap_period: Duration,
    /// One-way latency between zones.
    pub zone_latency: Duration,
}

/// Version of the model and of the adapter.
pub const VERSION: &str = "1";

impl PresetName {
    /// The preset with this name.
    pub fn preset(self) -> Preset {
        match self {
            Self::Lumadar => lumadar(),
            Self::Harrowgate => harrowgate(),
        }
    }
}

impl Preset {
    /// Number of engines of all workers.
    pub fn engines(&self) -> usize {
        self.workers.iter().map(|worker| worker.engines).sum()
    }

    /// The model with its version, `name@version`.
    pub fn versioned_model(&self) -> String {
        format!("{}@{VERSION}", self.model)
    }

    /// The adapter with model and version, `model/name@version`.
    pub fn versioned_adapter(&self) -> String {
        format!("{}/{}@{VERSION}", self.model, self.adapter)
    }

    /// The same site with other workers: one for each number of engines.
    pub fn with_workers(self, engines: &[usize]) -> Self {
        let workers = workers(self.zones, engines);
        Self { workers, ..self }
    }

    /// The other zones, seen from `zone`.
    pub fn neighbours(&self, zone: &str) -> Vec<&'static str> {
        let zones = self.zones.iter().copied();
        zones.filter(|other| *other != zone).collect()
    }
}

fn lumadar() -> Preset {
    let zones = &["ain-sebaa", "sidi-maarouf", "berrechid"];
    let engines = [5; 12];
    Preset {
        name: "lumadar",
        zones,
        control_zones: &[
            "ain-sebaa",
            "sidi-maarouf",
            "berrechid",
            "ain-sebaa",
            "sidi-maarouf",
        ],
        service: "fanar",
        script_service: "fanar-orders",
        model: "fanar-8b",
        adapter: "orders",
        tenant: "lumadar",
        tail_weight: 0.8,
        workers: workers(zones, &engines),
        heap_period: Duration::from_secs(8),
        zone_latency: Duration::from_millis(1),
    }
}

fn harrowgate() -> Preset {
    let zones = &["akl-a", "akl-b", "ham-a", "tga-a"];
    let mut engines = [3; 18];
    engines[14..].fill(2);
    Preset {
        name: "harrowgate",
        zones,
        control_zones: &["akl-a", "akl-b", "ham-a", "tga-a", "akl-a"],
        service: "quizmaster",
        script_service: "quizmaster-banks",
        model: "quizmaster-8b",
        adapter: "banks",
        tenant: "harrowgate",
        tail_weight: 0.2,
        workers: workers(zones, &engines),
        heap_period: Duration::from_secs(9),
        zone_latency: Duration::from_millis(1),
    }
}

/// Spreads workers over the zones in turn.
fn workers(zones: &[&'static str], engines: &[usize]) -> Vec<WorkerPlace> {
    let places = engines.iter().enumerate();
    places
        .map(|(index, engines)| WorkerPlace {
            name: format!("worker-{}", index + 1),
            zone: zones[index % zones.len()],
            engines: *engines,
        })
        .collect()
}
