//! Tracks which attempts run or are paused at which engine, and how many may.
//!
//! This module does no I/O and reads no clock; the planner passes in the time.

use std::collections::BTreeMap;

use pinerill_types::{EngineId, ServiceName};
use pinerill_wire::message::AttemptRef;

use super::message::EngineView;
use super::window::{OnlineSignal, Window, WindowPolicy};

/// First backoff of an engine after a fault, milliseconds. It doubles with every
/// further fault.
const FAULT_BACKOFF_MS: u64 = 250;
/// Longest backoff of an engine, milliseconds.
const MAX_FAULT_BACKOFF_MS: u64 = 8_000;
/// How long before an engine allows starts again the node already leases items
/// for it, milliseconds.
const LEASE_AHEAD_MS: u64 = 100;
/// How long an item stays paused before it may move to another engine, at tail
/// weights 0.0 and 1.0, milliseconds.
const MAX_PAUSED_MS: (f64, f64) = (30_000.0, 5_000.0);

/// An attempt that runs or is paused at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlacedAttempt {
    attempt: AttemptRef,
    service: ServiceName,
    /// When the attempt was last started, paused or resumed, in milliseconds.
    since_ms: u64,
}

#[derive(Debug)]
struct EngineState {
    view: EngineView,
    policy: WindowPolicy,
    window: Window,
    /// Running attempts. The last one is the first to be paused.
    running: Vec<PlacedAttempt>,
    /// Paused attempts. The first one is the first to be resumed.
    paused: Vec<PlacedAttempt>,
    faults: u32,
    faulty_until_ms: u64,
}

impl EngineState {
    /// Returns the number of items that may be started at this engine now.
    fn slots_for_starting(&self, now_ms: u64) -> u32 {
        match self.window.allows_start(now_ms) {
            true => self.slots_for_leasing(now_ms),
            false => 0,
        }
    }

    /// Returns the number of items that may be started at this engine within
    /// [`LEASE_AHEAD_MS`].
    fn slots_for_leasing(&self, now_ms: u64) -> u32 {
        let usable = self.view.accepts_batch
            && self.paused.is_empty()
            && self.faulty_until_ms <= now_ms
            && self.window.allows_start(now_ms + LEASE_AHEAD_MS);
        if !usable {
            return 0;
        }
        let running = self.running.len() as u32;
        self.window.start_limit().saturating_sub(running)
    }

    fn count(&self, service: &ServiceName) -> u32 {
        let all = self.running.iter().chain(&self.paused);
        all.filter(|one| one.service == *service).count() as u32
    }
}

/// All engines of the node, with the attempts placed at them.
#[derive(Debug, Default)]
pub struct EngineTable {
    policies: BTreeMap<ServiceName, WindowPolicy>,
    engines: BTreeMap<EngineId, EngineState>,
}

impl EngineTable {
    /// Replaces the sharing policies of all services.
    pub fn set_policies(&mut self, policies: BTreeMap<ServiceName, WindowPolicy>) {
        self.policies = policies;
        for engine in self.engines.values_mut() {
            engine.policy = combine_policies(&self.policies, &engine.view.services);
        }
    }

    /// Updates the engines to `views`. An engine that is missing from `views`
    /// accepts no more items; it is kept while attempts are placed there and
    /// until its backoff has ended.
    pub fn observe(&mut self, now_ms: u64, views: Vec<EngineView>) {
        for engine in self.engines.values_mut() {
            engine.view.accepts_batch = false;
        }
        for view in views {
            let policy = combine_policies(&self.policies, &view.services);
            match self.engines.get_mut(&view.id) {
                Some(engine) => engine.observe(now_ms, view, policy),
                None => {
                    self.engines
                        .insert(view.id.clone(), EngineState::new(view, policy));
                }
            }
        }
        self.engines.retain(|_, engine| {
            let occupied = !engine.running.is_empty() || !engine.paused.is_empty();
            engine.view.accepts_batch || occupied || now_ms < engine.faulty_until_ms
        });
    }

    /// Advances all windows to `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        for engine in self.engines.values_mut() {
            engine.window.tick(now_ms, engine.view.load, engine.policy);
        }
    }

    /// Marks the attempts beyond each engine's window as paused and returns them,
    /// the newest of each engine first.
    pub fn take_yields(&mut self, now_ms: u64) -> Vec<AttemptRef> {
        let mut yields = Vec::new();
        for engine in self.engines.values_mut() {
            while engine.running.len() > engine.window.run_limit() as usize {
                let Some(mut newest) = engine.running.pop() else {
                    break;
                };
                newest.since_ms = now_ms;
                yields.push(newest.attempt);
                engine.paused.push(newest);
            }
        }
        yields
    }

    /// Marks the paused attempts that fit into each engine's window as running and
    /// returns them, the one paused longest first.
    pub fn take_resumes(&mut self, now_ms: u64) -> Vec<AttemptRef> {
        let mut resumes = Vec::new();
        for engine in self.engines.values_mut() {
            let free = (engine.window.start_limit() as usize).saturating_sub(engine.running.len());
            let count = free.min(engine.paused.len());
            for mut occupant in engine.paused.drain(..count) {
                occupant.since_ms = now_ms;
                resumes.push(occupant.attempt);
                engine.running.push(occupant);
            }
        }
        resumes
    }

    /// Returns the attempts that have been paused longer than the tail weight of
    /// their engine's policy allows.
    pub fn paused_too_long(&self, now_ms: u64) -> Vec<AttemptRef> {
        let engines = self.engines.values();
        let long = engines.flat_map(|engine| {
            let limit = engine.policy.interpolate(MAX_PAUSED_MS);
            let paused = engine.paused.iter();
            paused.filter(move |one| one.since_ms + limit <= now_ms)
        });
        long.map(|one| one.attempt).collect()
    }

    /// Returns all paused attempts.
    pub fn paused(&self) -> impl Iterator<Item = AttemptRef> + '_ {
        let engines = self.engines.values();
        engines.flat_map(|engine| engine.paused.iter().map(|one| one.attempt))
    }

    /// Marks a paused attempt as running even if the window has no slot for it.
    pub fn force_resume(&mut self, now_ms: u64, attempt: AttemptRef) {
        for engine in self.engines.values_mut() {
            if let Some(at) = engine.paused.iter().position(|one| one.attempt == attempt) {
                let mut occupant = engine.paused.remove(at);
                occupant.since_ms = now_ms;
                // At the front, where it is the last to be paused again.
                engine.running.insert(0, occupant);
            }
        }
    }

    /// Returns the engine with the most free slots that can start an item of a
    /// service now and is not among `tried`, or `None` if there is none.
    pub fn choose_engine(
        &self,
        now_ms: u64,
        service: &ServiceName,
        tried: &[EngineId],
    ) -> Option<EngineId> {
        let limit = self.policies.get(service)?.limit;
        let serving = self.serving(service);
        let usable = serving.filter(|(id, engine)| {
            engine.slots_for_starting(now_ms) > 0
                && engine.count(service) < limit
                && !tried.contains(id)
        });
        let best = usable.max_by_key(|(_, engine)| engine.slots_for_starting(now_ms))?;
        Some(best.0.clone())
    }

    /// Returns whether an engine that is not among `tried` could run an item of a
    /// service once it has a free slot.
    pub fn has_untried(&self, service: &ServiceName, tried: &[EngineId]) -> bool {
        self.serving(service)
            .any(|(id, engine)| engine.view.accepts_batch && !tried.contains(id))
    }

    fn serving<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a EngineId, &'a EngineState)> {
        let engines = self.engines.iter();
        engines.filter(|(_, engine)| engine.view.services.contains(service))
    }

    /// Records that an attempt starts at an engine.
    pub fn record_start(
        &mut self,
        now_ms: u64,
        engine: &EngineId,
        attempt: AttemptRef,
        service: &ServiceName,
    ) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.window.record_start(now_ms, state.policy);
            state.running.push(PlacedAttempt {
                attempt,
                service: service.clone(),
                since_ms: now_ms,
            });
        }
    }

    /// Records that an attempt has left its engine.
    pub fn record_end(&mut self, engine: &EngineId, attempt: AttemptRef) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.running.retain(|one| one.attempt != attempt);
            state.paused.retain(|one| one.attempt != attempt);
        }
    }

    /// Records that an attempt failed through a fault of its engine, which starts
    /// nothing until its backoff has ended.
    pub fn record_fault(&mut self, now_ms: u64, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            let doublings = state.faults.min(16);
            let pause = (FAULT_BACKOFF_MS << doublings).min(MAX_FAULT_BACKOFF_MS);
            // Attempts that fail together count as one fault.
            if state.faulty_until_ms <= now_ms {
                state.faults += 1;
            }
            state.faulty_until_ms = now_ms + pause;
        }
    }

    /// Records that an attempt completed at its engine, which resets its backoff.
    pub fn record_success(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.faults = 0;
        }
    }

    /// Returns, for each engine, the number of items that it can start now or soon
    /// and the services it serves.
    pub fn startable_items(&self, now_ms: u64) -> impl Iterator<Item = (u32, &[ServiceName])> {
        let engines = self.engines.values();
        engines.map(move |engine| (engine.slots_for_leasing(now_ms), &*engine.view.services))
    }

    /// Returns the number of running attempts of each service.
    pub fn running_by_service(&self) -> BTreeMap<ServiceName, u32> {
        let mut counts = BTreeMap::new();
        for one in self.engines.values().flat_map(|engine| &engine.running) {
            *counts.entry(one.service.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the sums over all engines.
    pub fn totals(&self) -> BatchTotals {
        let mut totals = BatchTotals::default();
        for engine in self.engines.values() {
            totals.running += engine.running.len();
            totals.paused += engine.paused.len();
            if engine.view.accepts_batch {
                totals.window += engine.window.run_limit() as usize;
            }
        }
        totals
    }
}

/// Numbers of batch attempts, summed over all engines of the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BatchTotals {
    /// Attempts that run at engines.
    pub running: usize,
    /// Attempts that are paused at engines.
    pub paused: usize,
    /// Attempts that may run at the engines that accept batch.
    pub window: usize,
}

impl EngineState {
    fn new(view: EngineView, policy: WindowPolicy) -> Self {
        Self {
            view,
            policy,
            window: Window::default(),
            running: Vec::new(),
            paused: Vec::new(),
            faults: 0,
            faulty_until_ms: 0,
        }
    }

    fn observe(&mut self, now_ms: u64, view: EngineView, policy: WindowPolicy) {
        let signals = [
            (view.arrivals != self.view.arrivals, OnlineSignal::Arrival),
            (
                view.preemptions != self.view.preemptions,
                OnlineSignal::Preemption,
            ),
            (view.waiting, OnlineSignal::Waiting),
        ];
        self.view = view;
        self.policy = policy;
        for (_, signal) in signals.into_iter().filter(|(seen, _)| *seen) {
            self.window
                .apply_signal(now_ms, signal, self.view.load, policy);
        }
    }
}

/// Combines the policies of the services of one engine: the highest tail weight
/// and the highest limit. Without a known service nothing may run there.
fn combine_policies(
    policies: &BTreeMap<ServiceName, WindowPolicy>,
    services: &[ServiceName],
) -> WindowPolicy {
    let known = services.iter().filter_map(|service| policies.get(service));
    let combined = known.copied().reduce(|left, right| WindowPolicy {
        tail_weight: left.tail_weight.max(right.tail_weight),
        limit: left.limit.max(right.limit),
    });
    combined.unwrap_or(WindowPolicy {
        tail_weight: 1.0,
        limit: 0,
    })
}
