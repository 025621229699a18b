//! What runs at which engine, and how much may. Pure.

use std::collections::BTreeMap;

use pinerill_types::{EngineId, ServiceName};
use pinerill_wire::message::AttemptRef;

use super::message::EngineView;
use super::window::{OnlineSign, Window, WindowPolicy};

/// First pause of an engine after a failure, milliseconds; it doubles.
const FAULT_PAUSE_MS: u64 = 250;
/// Longest pause of an engine, milliseconds.
const FAULT_PAUSE_LIMIT_MS: u64 = 8_000;
/// How long before an engine takes starts again items are leased for it,
/// milliseconds.
const LEASE_AHEAD_MS: u64 = 100;
/// How long an item stays paused before it may go elsewhere, at weights 0.0
/// and 1.0, milliseconds.
const PAUSED_LIMIT_MS: (f64, f64) = (30_000.0, 5_000.0);

/// An attempt at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Occupant {
    attempt: AttemptRef,
    service: ServiceName,
    /// When it was paused, or started.
    since_ms: u64,
}

#[derive(Debug)]
struct EngineState {
    view: EngineView,
    policy: WindowPolicy,
    window: Window,
    /// In the order of their starts.
    running: Vec<Occupant>,
    /// In the order of their pauses.
    paused: Vec<Occupant>,
    faults: u32,
    faulty_until_ms: u64,
}

impl EngineState {
    /// Items that may be started here now.
    fn room(&self, now_ms: u64) -> u32 {
        match self.window.takes_starts(now_ms) {
            true => self.places(now_ms),
            false => 0,
        }
    }

    /// Items that may be started here now or soon.
    fn places(&self, now_ms: u64) -> u32 {
        let usable = self.view.accepts_batch
            && self.paused.is_empty()
            && self.faulty_until_ms <= now_ms
            && self.window.takes_starts(now_ms + LEASE_AHEAD_MS);
        if !usable {
            return 0;
        }
        let running = self.running.len() as u32;
        self.window.open().saturating_sub(running)
    }

    fn count(&self, service: &ServiceName) -> u32 {
        let all = self.running.iter().chain(&self.paused);
        all.filter(|one| one.service == *service).count() as u32
    }
}

/// All engines of the node.
#[derive(Debug, Default)]
pub struct EngineBoard {
    policies: BTreeMap<ServiceName, WindowPolicy>,
    engines: BTreeMap<EngineId, EngineState>,
}

impl EngineBoard {
    /// The sharing rules changed.
    pub fn set_policies(&mut self, policies: BTreeMap<ServiceName, WindowPolicy>) {
        self.policies = policies;
        for engine in self.engines.values_mut() {
            engine.policy = combined(&self.policies, &engine.view.services);
        }
    }

    /// Takes the engines as they are now. One that is no longer among them
    /// stays while something runs there.
    pub fn observe(&mut self, now_ms: u64, views: Vec<EngineView>) {
        for engine in self.engines.values_mut() {
            engine.view.accepts_batch = false;
        }
        for view in views {
            let policy = combined(&self.policies, &view.services);
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

    /// Time has passed: windows grow.
    pub fn tick(&mut self, now_ms: u64) {
        for engine in self.engines.values_mut() {
            engine.window.tick(now_ms, engine.view.load, engine.policy);
        }
    }

    /// Attempts that must step aside now, the newest of each engine first.
    pub fn take_yields(&mut self, now_ms: u64) -> Vec<AttemptRef> {
        let mut yields = Vec::new();
        for engine in self.engines.values_mut() {
            while engine.running.len() > engine.window.allowed() as usize {
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

    /// Paused attempts that may go on, the oldest of each engine first.
    pub fn take_resumes(&mut self, now_ms: u64) -> Vec<AttemptRef> {
        let mut resumes = Vec::new();
        for engine in self.engines.values_mut() {
            let room = (engine.window.open() as usize).saturating_sub(engine.running.len());
            let count = room.min(engine.paused.len());
            for mut occupant in engine.paused.drain(..count) {
                occupant.since_ms = now_ms;
                resumes.push(occupant.attempt);
                engine.running.push(occupant);
            }
        }
        resumes
    }

    /// Attempts that have been paused for too long by their service's weight.
    pub fn paused_too_long(&self, now_ms: u64) -> Vec<AttemptRef> {
        let engines = self.engines.values();
        let long = engines.flat_map(|engine| {
            let limit = engine.policy.between(PAUSED_LIMIT_MS);
            let paused = engine.paused.iter();
            paused.filter(move |one| one.since_ms + limit <= now_ms)
        });
        long.map(|one| one.attempt).collect()
    }

    /// All attempts that are paused.
    pub fn paused(&self) -> impl Iterator<Item = AttemptRef> + '_ {
        let engines = self.engines.values();
        engines.flat_map(|engine| engine.paused.iter().map(|one| one.attempt))
    }

    /// Lets a paused attempt run whatever the window says.
    pub fn force_resume(&mut self, now_ms: u64, attempt: AttemptRef) {
        for engine in self.engines.values_mut() {
            if let Some(at) = engine.paused.iter().position(|one| one.attempt == attempt) {
                let mut occupant = engine.paused.remove(at);
                occupant.since_ms = now_ms;
                // At the front, where it is the last to step aside again.
                engine.running.insert(0, occupant);
            }
        }
    }

    /// The engine with the most room for one item of a service that is not
    /// among `tried`.
    pub fn choose(
        &self,
        now_ms: u64,
        service: &ServiceName,
        tried: &[EngineId],
    ) -> Option<EngineId> {
        let limit = self.policies.get(service)?.limit;
        let serving = self.serving(service);
        let usable = serving.filter(|(id, engine)| {
            engine.room(now_ms) > 0 && engine.count(service) < limit && !tried.contains(id)
        });
        let best = usable.max_by_key(|(_, engine)| engine.room(now_ms))?;
        Some(best.0.clone())
    }

    /// Whether an engine that is not among `tried` could run an item of a
    /// service once it has room.
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

    /// An attempt begins at an engine.
    pub fn start(
        &mut self,
        now_ms: u64,
        engine: &EngineId,
        attempt: AttemptRef,
        service: &ServiceName,
    ) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.window.note_start(now_ms, state.policy);
            state.running.push(Occupant {
                attempt,
                service: service.clone(),
                since_ms: now_ms,
            });
        }
    }

    /// An attempt is no longer at its engine.
    pub fn end(&mut self, engine: &EngineId, attempt: AttemptRef) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.running.retain(|one| one.attempt != attempt);
            state.paused.retain(|one| one.attempt != attempt);
        }
    }

    /// An attempt failed for a fault of its engine.
    pub fn fault(&mut self, now_ms: u64, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            let doublings = state.faults.min(16);
            let pause = (FAULT_PAUSE_MS << doublings).min(FAULT_PAUSE_LIMIT_MS);
            // Failures of attempts that ran together are one fault.
            if state.faulty_until_ms <= now_ms {
                state.faults += 1;
            }
            state.faulty_until_ms = now_ms + pause;
        }
    }

    /// An attempt came through at its engine.
    pub fn success(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.faults = 0;
        }
    }

    /// Places of each open engine with the services that may use it.
    pub fn rooms(&self, now_ms: u64) -> impl Iterator<Item = (u32, &[ServiceName])> {
        let engines = self.engines.values();
        engines.map(move |engine| (engine.places(now_ms), &*engine.view.services))
    }

    /// Items of each service that run here.
    pub fn running_by_service(&self) -> BTreeMap<ServiceName, u32> {
        let mut counts = BTreeMap::new();
        for one in self.engines.values().flat_map(|engine| &engine.running) {
            *counts.entry(one.service.clone()).or_default() += 1;
        }
        counts
    }

    /// Sums over all engines.
    pub fn totals(&self) -> BoardTotals {
        let mut totals = BoardTotals::default();
        for engine in self.engines.values() {
            totals.running += engine.running.len();
            totals.paused += engine.paused.len();
            if engine.view.accepts_batch {
                totals.window += engine.window.allowed() as usize;
            }
        }
        totals
    }
}

/// Sums over all engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BoardTotals {
    /// Attempts that run.
    pub running: usize,
    /// Attempts that are paused.
    pub paused: usize,
    /// Attempts that may run at open engines.
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
        let signs = [
            (view.arrivals != self.view.arrivals, OnlineSign::Arrival),
            (
                view.preemptions != self.view.preemptions,
                OnlineSign::Preemption,
            ),
            (view.waiting, OnlineSign::Waiting),
        ];
        self.view = view;
        self.policy = policy;
        for (_, sign) in signs.into_iter().filter(|(seen, _)| *seen) {
            self.window.sign(now_ms, sign, self.view.load, policy);
        }
    }
}

/// The rules of an engine that serves several services: the strictest of each.
fn combined(
    policies: &BTreeMap<ServiceName, WindowPolicy>,
    services: &[ServiceName],
) -> WindowPolicy {
    let known = services.iter().filter_map(|service| policies.get(service));
    let strictest = known.copied().reduce(|left, right| WindowPolicy {
        tail_weight: left.tail_weight.max(right.tail_weight),
        limit: left.limit.max(right.limit),
    });
    strictest.unwrap_or(WindowPolicy {
        tail_weight: 1.0,
        limit: 0,
    })
}
