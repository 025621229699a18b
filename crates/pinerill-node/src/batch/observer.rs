//! Derives the planner's view of the engines from the fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

use pinerill_types::{EngineId, ServiceName};

use super::message::EngineView;
use super::window::{EngineLoad, WindowPolicy};
use crate::clock;
use crate::configuration::{Catalog, Configuration};
use crate::dispatcher::Dispatcher;
use crate::membership::{Engine, Fleet, FleetView};

/// Builds the planner's inputs from the fleet, the dispatcher and the catalog.
pub struct EngineObserver {
    fleet: Arc<Fleet>,
    dispatcher: Arc<Dispatcher>,
    catalog: Option<Arc<Catalog>>,
    /// The fleet view that `services` was derived from.
    view: Arc<FleetView>,
    services: HashMap<EngineId, Arc<[ServiceName]>>,
}

impl EngineObserver {
    /// Creates an observer of the engines of `fleet` and of the online requests
    /// that wait in the queue of `dispatcher`.
    pub fn new(fleet: Arc<Fleet>, dispatcher: Arc<Dispatcher>) -> Self {
        Self {
            fleet,
            dispatcher,
            catalog: None,
            view: Arc::default(),
            services: HashMap::new(),
        }
    }

    /// Returns the sharing policies of all services, or `None` if there is no
    /// catalog or it has not changed since the last call.
    pub fn policies(
        &mut self,
        configuration: &Configuration,
    ) -> Option<BTreeMap<ServiceName, WindowPolicy>> {
        let catalog = configuration.catalog()?;
        let known = self.catalog.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, &catalog)) {
            return None;
        }
        let policies = catalog.services().map(|plan| {
            let sharing = &plan.settings.sharing;
            let policy = WindowPolicy {
                tail_weight: sharing.tail_weight,
                limit: sharing.batch_window_limit,
            };
            (plan.name.clone(), policy)
        });
        let policies = policies.collect();
        self.catalog = Some(catalog);
        Some(policies)
    }

    /// Returns the current state of all engines. Also marks the engines that serve
    /// a service in `backlogged`, so that routing knows where batch work waits.
    pub fn views(&mut self, backlogged: &BTreeSet<ServiceName>) -> Vec<EngineView> {
        let view = self.fleet.view();
        if !Arc::ptr_eq(&view, &self.view) {
            self.services = services_by_engine(&view);
            self.view = view.clone();
        }
        let waiting = self.dispatcher.waiting_services();
        let now_ms = clock::now_ms();
        let engines = view.workers.values().flat_map(|entry| &entry.engines);
        engines
            .filter_map(|engine| {
                let services = self.services.get(&engine.id)?;
                let waits = services.iter().any(|service| waiting.contains(service));
                let backlog = services.iter().any(|service| backlogged.contains(service));
                engine.update_shared_with_batch(backlog);
                Some(engine_view(engine, services, waits, now_ms))
            })
            .collect()
    }
}

fn engine_view(
    engine: &Engine,
    services: &Arc<[ServiceName]>,
    waiting: bool,
    now_ms: u64,
) -> EngineView {
    let load = engine.load.lock();
    let own = engine.online.load(Ordering::Relaxed);
    let elsewhere = load.online_elsewhere(now_ms).round() as u32;
    EngineView {
        id: engine.id.clone(),
        services: services.clone(),
        load: EngineLoad {
            slots: load.slots(),
            online: own + elsewhere,
        },
        // An engine that has not reported its load yet may be full of online
        // requests.
        accepts_batch: load.has_reported()
            && engine.worker.is_driven()
            && engine.worker.accepts_work(now_ms),
        arrivals: engine.online_activity_count.load(Ordering::Relaxed),
        preemptions: engine.preemptions.load(Ordering::Relaxed),
        waiting,
    }
}

/// Returns the services that each engine decodes for, sorted by name.
fn services_by_engine(view: &FleetView) -> HashMap<EngineId, Arc<[ServiceName]>> {
    let mut services: HashMap<EngineId, Vec<ServiceName>> = HashMap::new();
    for (name, engines) in &view.services {
        for engine in &engines.decode {
            services
                .entry(engine.id.clone())
                .or_default()
                .push(name.clone());
        }
    }
    let sorted = services.into_iter().map(|(engine, mut names)| {
        names.sort_unstable();
        (engine, names.into())
    });
    sorted.collect()
}
