//! Placement against a simulated fleet of engines that obey orders slowly.

use std::collections::BTreeMap;

use pinerill_control::placement::assignment::{Models, ObservedEngines};
use pinerill_control::placement::engine_state::{
    EngineRole, EngineState, HeldAdapter, HeldModel, LoadState, Order,
};
use pinerill_control::placement::planner::{is_settled, plan, PlannedOrder};
use pinerill_types::bundle::{Adapter, Model, WorkPlacement};
use pinerill_types::{EngineId, Fence, ModelName};

/// Rounds that a load takes.
const LOAD_ROUNDS: u32 = 3;
/// Loads at once.
const LOADS: u32 = 2;
/// Rounds after which everything must have settled.
const SETTLED: u32 = 200;

/// Engines that obey.
#[derive(Default)]
struct Engines {
    states: ObservedEngines,
    loading: BTreeMap<(EngineId, ModelName, String), u32>,
    most_loading: usize,
}

fn engine(number: u16) -> EngineId {
    EngineId {
        worker: "worker".into(),
        engine: number,
    }
}

fn empty() -> EngineState {
    EngineState {
        incarnation: 1,
        role: EngineRole::Both,
        leaving: false,
        models: Vec::new(),
        fence: Fence::default(),
    }
}

impl Engines {
    fn new(count: u16) -> Self {
        let states = (0..count).map(|number| (engine(number), empty()));
        Self {
            states: states.collect(),
            ..Self::default()
        }
    }

    fn obey(&mut self, planned: &PlannedOrder) {
        let state = self.states.get_mut(&planned.engine).expect("exists");
        match &planned.order {
            Order::LoadModel { model, version, .. } => {
                state.models.push(HeldModel {
                    name: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                    state: LoadState::Loading,
                });
                let key = (planned.engine.clone(), model.clone(), version.clone());
                self.loading.insert(key, LOAD_ROUNDS);
            }
            Order::UnloadModel { model, version } => state
                .models
                .retain(|held| held.name != *model || held.version != *version),
            Order::LoadAdapter {
                model,
                adapter,
                version,
                ..
            } => {
                let held = state.models.iter_mut().find(|held| held.name == *model);
                let held = held.expect("adapters go to loaded models");
                held.adapters.retain(|one| one.name != *adapter);
                held.adapters.push(HeldAdapter {
                    name: adapter.clone(),
                    version: version.clone(),
                });
            }
            Order::UnloadAdapter { model, adapter } => {
                for held in state.models.iter_mut().filter(|held| held.name == *model) {
                    held.adapters.retain(|one| one.name != *adapter);
                }
            }
            Order::SetRole { role } => state.role = *role,
        }
    }

    fn finish_loads(&mut self) {
        self.most_loading = self.most_loading.max(self.loading.len());
        for rounds in self.loading.values_mut() {
            *rounds -= 1;
        }
        for ((engine, model, version), rounds) in &self.loading {
            if *rounds > 0 {
                continue;
            }
            let state = self.states.get_mut(engine).expect("exists");
            for held in &mut state.models {
                if held.name == *model && held.version == *version {
                    held.state = LoadState::Ready;
                }
            }
        }
        self.loading.retain(|_, rounds| *rounds > 0);
    }

    /// Rounds until nothing is ordered; `look` sees each state in between.
    fn settle(&mut self, models: &Models, mut look: impl FnMut(&Self)) {
        for _ in 0..SETTLED {
            let orders = plan(models, &self.states, LOADS);
            if is_settled(&orders, &self.states) {
                assert!(self.loading.is_empty(), "loads are still running");
                return;
            }
            for order in &orders {
                self.obey(order);
                look(self);
            }
            self.finish_loads();
            look(self);
        }
        panic!("still ordering: {:?}", plan(models, &self.states, LOADS));
    }

    fn serving(&self, name: &str, version: Option<&str>) -> usize {
        let fits = |held: &HeldModel| {
            held.name.as_str() == name
                && held.state == LoadState::Ready
                && version.is_none_or(|version| held.version == version)
        };
        let states = self.states.values();
        states.filter(|state| state.models.iter().any(fits)).count()
    }

    fn in_role(&self, role: EngineRole) -> usize {
        let states = self.states.values();
        states.filter(|state| state.role == role).count()
    }
}

fn models(entries: &[(&str, &str, WorkPlacement)]) -> Models {
    entries
        .iter()
        .map(|(name, version, placement)| {
            let model = Model {
                version: (*version).to_owned(),
                weights: format!("{name}/{version}"),
                adapters: BTreeMap::new(),
                placement: *placement,
            };
            (ModelName::from(*name), model)
        })
        .collect()
}

fn both(count: u32) -> WorkPlacement {
    WorkPlacement {
        both: count,
        ..WorkPlacement::default()
    }
}

#[test]
fn model_without_placement_goes_to_every_engine() {
    let mut engines = Engines::new(6);
    engines.settle(&models(&[("lamp", "1", both(0))]), |_| {});
    assert_eq!(engines.serving("lamp", Some("1")), 6);
}

#[test]
fn loads_at_once_are_bounded() {
    let mut engines = Engines::new(9);
    engines.settle(&models(&[("lamp", "1", both(0))]), |_| {});
    assert_eq!(engines.most_loading, LOADS as usize);
}

#[test]
fn version_is_replaced_without_a_gap_even_on_one_engine() {
    for count in [1, 2, 5] {
        let mut engines = Engines::new(count);
        engines.settle(&models(&[("lamp", "1", both(0))]), |_| {});
        engines.settle(&models(&[("lamp", "2", both(0))]), |now| {
            assert!(now.serving("lamp", None) >= 1, "a gap with {count} engines");
        });
        assert_eq!(engines.serving("lamp", Some("2")), usize::from(count));
        assert_eq!(engines.serving("lamp", Some("1")), 0);
    }
}

#[test]
fn lost_engine_is_replaced() {
    let wanted = models(&[("lamp", "1", both(2))]);
    let mut engines = Engines::new(4);
    engines.settle(&wanted, |_| {});
    let holder = engines
        .states
        .iter()
        .find(|(_, state)| !state.models.is_empty())
        .map(|(id, _)| id.clone())
        .expect("two hold it");
    engines.states.remove(&holder);
    engines.settle(&wanted, |_| {});
    assert_eq!(engines.serving("lamp", Some("1")), 2);
}

#[test]
fn nothing_moves_when_an_engine_joins() {
    let wanted = models(&[("lamp", "1", both(2)), ("moth", "1", both(2))]);
    let mut engines = Engines::new(4);
    engines.settle(&wanted, |_| {});
    engines.states.insert(engine(9), empty());
    assert_eq!(plan(&wanted, &engines.states, LOADS), Vec::new());
}

#[test]
fn models_spread_over_engines() {
    let wanted = models(&[("lamp", "1", both(2)), ("moth", "1", both(2))]);
    let mut engines = Engines::new(4);
    engines.settle(&wanted, |_| {});
    assert!(engines.states.values().all(|state| state.models.len() == 1));
}

#[test]
fn model_that_left_the_bundle_is_let_go() {
    let mut engines = Engines::new(2);
    engines.settle(&models(&[("lamp", "1", both(0))]), |_| {});
    engines.settle(&models(&[("moth", "1", both(0))]), |_| {});
    assert_eq!(engines.serving("lamp", None), 0);
    assert_eq!(engines.serving("moth", None), 2);
}

#[test]
fn roles_change_without_leaving_a_model_unserved() {
    let mut engines = Engines::new(4);
    engines.settle(&models(&[("lamp", "1", both(0))]), |_| {});
    let split = WorkPlacement {
        both: 0,
        prefill: 1,
        decode: 3,
    };
    engines.settle(&models(&[("lamp", "1", split)]), |now| {
        assert!(now.serving("lamp", None) >= 1);
    });
    assert_eq!(engines.in_role(EngineRole::Prefill), 1);
    assert_eq!(engines.in_role(EngineRole::Decode), 3);
}

#[test]
fn adapters_follow_the_bundle() {
    let mut wanted = models(&[("lamp", "1", both(0))]);
    let model = wanted.get_mut(&ModelName::from("lamp")).expect("there");
    let adapter = Adapter {
        version: "1".to_owned(),
        weights: "tickets/1".to_owned(),
    };
    model.adapters.insert("tickets".into(), adapter);
    let mut engines = Engines::new(3);
    engines.settle(&wanted, |_| {});
    let holds = |state: &EngineState| state.models[0].adapters.len();
    assert!(engines.states.values().all(|state| holds(state) == 1));
    let model = wanted.get_mut(&ModelName::from("lamp")).expect("there");
    model.adapters.clear();
    engines.settle(&wanted, |_| {});
    assert!(engines.states.values().all(|state| holds(state) == 0));
}
