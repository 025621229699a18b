//! Turns the difference between assignment and observation into orders: pure.
//!
//! Invariants:
//! - at most `concurrent_loads` loads run at once in the fleet, because the
//!   weight store is rate-limited;
//! - the last engine that serves a model of the bundle is never told to let
//!   it go: a new version is loaded beside the old one, and the old one goes
//!   engine by engine, each only after that engine serves the new one;
//! - an engine's role changes only if every model it serves still has an
//!   engine that does everything, or one that prefills and one that decodes.

use std::collections::BTreeMap;

use pinerill_types::bundle::Model;
use pinerill_types::{EngineId, ModelName};

use super::assignment::{assign, Assignment, EngineAssignment, Models, ObservedEngines};
use super::engine_state::{EngineRole, EngineState, HeldModel, LoadState, Order};

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub engine: EngineId,
    /// The order.
    pub order: Order,
}

/// Orders of one round, in the order in which they should be posted.
pub fn plan(
    models: &Models,
    engines: &ObservedEngines,
    concurrent_loads: u32,
) -> Vec<PlannedOrder> {
    let assignment = assign(models, engines);
    let mut round = Round {
        models,
        engines,
        serving: count_serving(engines),
        loads_left: loads_left(engines, concurrent_loads),
        orders: Vec::new(),
    };
    round.plan_models(&assignment);
    round.plan_roles(&assignment);
    round.orders
}

/// Whether nothing is left to do: no orders, and none that is still being
/// carried out. While loads run, their limit may be all that keeps further
/// orders back.
pub fn is_settled(orders: &[PlannedOrder], engines: &ObservedEngines) -> bool {
    orders.is_empty() && loads_running(engines) == 0
}

/// How many engines serve a model, by role.
type Serving = BTreeMap<(ModelName, EngineRole), u32>;

struct Round<'a> {
    models: &'a Models,
    engines: &'a ObservedEngines,
    serving: Serving,
    loads_left: u32,
    orders: Vec<PlannedOrder>,
}

fn count_serving(engines: &ObservedEngines) -> Serving {
    let mut serving = Serving::new();
    for state in engines.values() {
        for model in ready_models(state) {
            *serving.entry((model, state.role)).or_default() += 1;
        }
    }
    serving
}

/// Models that an engine serves in any version, each once.
fn ready_models(state: &EngineState) -> std::collections::BTreeSet<ModelName> {
    state
        .models
        .iter()
        .filter(|held| held.state == LoadState::Ready)
        .map(|held| held.name.clone())
        .collect()
}

fn loads_left(engines: &ObservedEngines, concurrent_loads: u32) -> u32 {
    concurrent_loads.saturating_sub(loads_running(engines))
}

fn loads_running(engines: &ObservedEngines) -> u32 {
    let held = engines.values().flat_map(|state| &state.models);
    let running = held.filter(|held| held.state == LoadState::Loading);
    running.count() as u32
}

impl Round<'_> {
    /// Engines in turn; what serves nothing yet comes first, so that a model
    /// without any engine is not kept waiting by the replacement of another.
    fn plan_models(&mut self, assignment: &Assignment) {
        let mut wanted: Vec<(&EngineId, &ModelName)> = assignment
            .iter()
            .flat_map(|(engine, entry)| entry.models.iter().map(move |model| (engine, model)))
            .collect();
        wanted.sort_by_key(|(engine, model)| (self.serving_anywhere(model), *engine));
        for (engine, name) in wanted {
            if let Some(model) = self.models.get(name) {
                self.plan_model(engine, name, model);
            }
        }
        for (engine, state) in self.engines {
            self.plan_unwanted(engine, state, assignment.get(engine));
        }
    }

    fn serving_anywhere(&self, model: &ModelName) -> u32 {
        [EngineRole::Both, EngineRole::Prefill, EngineRole::Decode]
            .into_iter()
            .filter_map(|role| self.serving.get(&(model.clone(), role)))
            .sum()
    }

    fn plan_model(&mut self, engine: &EngineId, name: &ModelName, model: &Model) {
        let held = self.held(engine, name, &model.version);
        match held {
            None => self.load(
                engine,
                Order::LoadModel {
                    model: name.clone(),
                    version: model.version.clone(),
                    weights: model.weights.clone(),
                },
            ),
            Some(held) if held.state == LoadState::Ready => {
                self.plan_adapters(engine, name, model, &held);
            }
            Some(_) => {}
        }
    }

    fn held(&self, engine: &EngineId, name: &ModelName, version: &str) -> Option<HeldModel> {
        let state = self.engines.get(engine)?;
        state
            .models
            .iter()
            .find(|held| held.name == *name && held.version == version)
            .cloned()
    }

    fn plan_adapters(
        &mut self,
        engine: &EngineId,
        name: &ModelName,
        model: &Model,
        held: &HeldModel,
    ) {
        for (adapter_name, adapter) in &model.adapters {
            let has = held
                .adapters
                .iter()
                .any(|one| one.name == *adapter_name && one.version == adapter.version);
            if !has {
                let order = Order::LoadAdapter {
                    model: name.clone(),
                    adapter: adapter_name.clone(),
                    version: adapter.version.clone(),
                    weights: adapter.weights.clone(),
                };
                self.load(engine, order);
            }
        }
        for one in &held.adapters {
            if !model.adapters.contains_key(&one.name) {
                let order = Order::UnloadAdapter {
                    model: name.clone(),
                    adapter: one.name.clone(),
                };
                self.push(engine, order);
            }
        }
    }

    fn load(&mut self, engine: &EngineId, order: Order) {
        if self.loads_left == 0 {
            return;
        }
        self.loads_left -= 1;
        self.push(engine, order);
    }

    fn push(&mut self, engine: &EngineId, order: Order) {
        self.orders.push(PlannedOrder {
            engine: engine.clone(),
            order,
        });
    }

    /// Lets go what the engine should not hold.
    fn plan_unwanted(
        &mut self,
        engine: &EngineId,
        state: &EngineState,
        entry: Option<&EngineAssignment>,
    ) {
        for held in &state.models {
            let model = self.models.get(&held.name);
            let assigned = entry.is_some_and(|entry| entry.models.contains(&held.name));
            let may_go = match model {
                None => true,
                Some(model) if assigned => {
                    held.version != model.version && serves(state, &held.name, &model.version)
                }
                Some(_) => self.take_from_serving(state, &held.name),
            };
            if may_go {
                let order = Order::UnloadModel {
                    model: held.name.clone(),
                    version: held.version.clone(),
                };
                self.push(engine, order);
            }
        }
    }

    /// Counts one engine less for the model, unless it would then be served
    /// no more.
    fn take_from_serving(&mut self, state: &EngineState, model: &ModelName) -> bool {
        if !ready_models(state).contains(model) {
            return true;
        }
        self.move_serving(model, state.role, None)
    }

    /// Moves one engine of `model` from a role to another, or away, unless
    /// the model would then be served no more.
    fn move_serving(
        &mut self,
        model: &ModelName,
        from: EngineRole,
        to: Option<EngineRole>,
    ) -> bool {
        let mut after = self.serving.clone();
        if let Some(count) = after.get_mut(&(model.clone(), from)) {
            *count -= 1;
        }
        if let Some(to) = to {
            *after.entry((model.clone(), to)).or_default() += 1;
        }
        let served = is_served(&after, model);
        if served {
            self.serving = after;
        }
        served
    }

    fn plan_roles(&mut self, assignment: &Assignment) {
        for (engine, entry) in assignment {
            let state = &self.engines[engine];
            if state.role != entry.role && self.may_change_role(state, entry.role) {
                self.push(engine, Order::SetRole { role: entry.role });
            }
        }
    }

    /// Counts the engine into its new role, unless some model of the bundle
    /// would be served no more.
    fn may_change_role(&mut self, state: &EngineState, role: EngineRole) -> bool {
        let before = self.serving.clone();
        let models = ready_models(state);
        let mut wanted = models
            .iter()
            .filter(|model| self.models.contains_key(*model));
        let may = wanted.all(|model| self.move_serving(model, state.role, Some(role)));
        if !may {
            self.serving = before;
        }
        may
    }
}

/// A request needs an engine that does everything, or one of each kind.
fn is_served(serving: &Serving, model: &ModelName) -> bool {
    let count = |role| serving.get(&(model.clone(), role)).copied().unwrap_or(0);
    let split = count(EngineRole::Prefill) > 0 && count(EngineRole::Decode) > 0;
    count(EngineRole::Both) > 0 || split
}

fn serves(state: &EngineState, model: &ModelName, version: &str) -> bool {
    state.models.iter().any(|held| {
        held.name == *model && held.version == version && held.state == LoadState::Ready
    })
}
