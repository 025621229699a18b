//! What requests look up of the fleet, replaced as a whole.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use pinerill_types::{EngineId, ServiceName, WorkerName};

use super::engine::{Engine, WorkerEntry};
use super::report::Role;
use super::serving::{select_serving, Served};
use crate::configuration::{Catalog, ServicePlan};

/// Engines that serve one service.
#[derive(Debug, Default)]
pub struct ServiceEngines {
    /// Those that answer requests.
    pub decode: Vec<Arc<Engine>>,
    /// Those that only do prefill.
    pub prefill: Vec<Arc<Engine>>,
    /// Place of an engine in `decode`.
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

/// All that requests look up, replaced as a whole.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Workers by name.
    pub workers: BTreeMap<WorkerName, WorkerEntry>,
    /// Engines by service.
    pub services: HashMap<ServiceName, ServiceEngines>,
}

/// The engines of each service of a bundle.
pub(super) fn engines_by_service(
    workers: &BTreeMap<WorkerName, WorkerEntry>,
    catalog: &Catalog,
) -> HashMap<ServiceName, ServiceEngines> {
    let plans = catalog.services();
    plans
        .map(|plan| (plan.name.clone(), engines_of(workers, plan)))
        .collect()
}

fn engines_of(workers: &BTreeMap<WorkerName, WorkerEntry>, plan: &ServicePlan) -> ServiceEngines {
    let mut holders: [Vec<(Arc<Engine>, Served)>; 2] = Default::default();
    for engine in workers.values().flat_map(|entry| &entry.engines) {
        // A leaving engine must not keep the others of its version out.
        if engine.worker.is_leaving() {
            continue;
        }
        if let Some(served) = engine.serves(plan) {
            let prefills = engine.role() == Role::Prefill;
            holders[usize::from(prefills)].push((engine.clone(), served));
        }
    }
    let mut engines = ServiceEngines::default();
    for (engine, _) in holders.into_iter().flat_map(select_serving) {
        engines.insert(&engine);
    }
    engines
}
