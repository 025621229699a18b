//! Immutable snapshot of the fleet that requests use for lookups. Each change
//! of the fleet replaces it as a whole.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use pinerill_types::{EngineId, ServiceName, WorkerName};

use super::engine::{Engine, WorkerEntry};
use super::report::Role;
use super::serving::{select_serving, Served};
use crate::configuration::{Catalog, ServicePlan};

/// Engines that serve one service, split by role.
#[derive(Debug, Default)]
pub struct ServiceEngines {
    /// Engines that decode, and so answer requests.
    pub decode: Vec<Arc<Engine>>,
    /// Engines that only prefill.
    pub prefill: Vec<Arc<Engine>>,
    /// Index of each engine in `decode`.
    pub index: HashMap<EngineId, usize>,
}

impl ServiceEngines {
    fn insert(&mut self, engine: &Arc<Engine>) {
        if engine.role() == Role::Prefill {
            self.prefill.push(engine.clone());
            return;
        }
        self.index.insert(engine.id.clone(), self.decode.len());
        self.decode.push(engine.clone());
    }
}

/// Snapshot of the workers that this node uses and of the engines that serve
/// each service.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Selected workers by name.
    pub workers: BTreeMap<WorkerName, WorkerEntry>,
    /// Engines by service name; empty until a configuration bundle is in force.
    pub services: HashMap<ServiceName, ServiceEngines>,
}

/// Returns the engines that serve each service of the bundle.
pub(super) fn engines_by_service(
    workers: &BTreeMap<WorkerName, WorkerEntry>,
    catalog: &Catalog,
) -> HashMap<ServiceName, ServiceEngines> {
    let plans = catalog.services();
    plans
        .map(|plan| (plan.name.clone(), engines_for_service(workers, plan)))
        .collect()
}

fn engines_for_service(
    workers: &BTreeMap<WorkerName, WorkerEntry>,
    plan: &ServicePlan,
) -> ServiceEngines {
    let mut loaded_engines: [Vec<(Arc<Engine>, Served)>; 2] = Default::default();
    for engine in workers.values().flat_map(|entry| &entry.engines) {
        // Leaving engines take no work, so they must not count towards the
        // half at which engines with another version stop serving.
        if engine.worker.is_leaving() {
            continue;
        }
        if let Some(served) = engine.serves(plan) {
            let prefills = engine.role() == Role::Prefill;
            loaded_engines[usize::from(prefills)].push((engine.clone(), served));
        }
    }
    let mut engines = ServiceEngines::default();
    for (engine, _) in loaded_engines.into_iter().flat_map(select_serving) {
        engines.insert(&engine);
    }
    engines
}
