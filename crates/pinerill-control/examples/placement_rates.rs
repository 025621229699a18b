//! Prints what one round of placement's planning costs at several numbers of
//! engines, when every engine holds what it should.

use std::time::Instant;

use pinerill_control::placement::assignment::{Models, ObservedEngines};
use pinerill_control::placement::engine_state::{EngineRole, EngineState, HeldModel, LoadState};
use pinerill_control::placement::planner::plan;
use pinerill_types::bundle::{Model, WorkPlacement};
use pinerill_types::{EngineId, Fence, ModelName};

const MODELS: u32 = 20;
const ENGINES_OF_WORKER: u16 = 4;
const CONCURRENT_LOADS: u32 = 16;

fn models(engines: u32) -> Models {
    let model = |number| {
        let model = Model {
            version: "1".to_owned(),
            weights: format!("model-{number}"),
            adapters: Default::default(),
            placement: WorkPlacement {
                both: engines / MODELS,
                ..WorkPlacement::default()
            },
        };
        (ModelName(format!("model-{number}")), model)
    };
    (0..MODELS).map(model).collect()
}

fn engines(count: u32) -> ObservedEngines {
    let engine = |number: u32| {
        let id = EngineId {
            worker: format!("worker-{}", number / u32::from(ENGINES_OF_WORKER))
                .as_str()
                .into(),
            engine: (number % u32::from(ENGINES_OF_WORKER)) as u16,
        };
        let held = HeldModel {
            name: ModelName(format!("model-{}", number % MODELS)),
            version: "1".to_owned(),
            adapters: Vec::new(),
            state: LoadState::Ready,
        };
        let state = EngineState {
            incarnation: 1,
            role: EngineRole::Both,
            leaving: false,
            models: vec![held],
            fence: Fence::default(),
        };
        (id, state)
    };
    (0..count).map(engine).collect()
}

fn main() {
    for count in [5_000, 15_000, 27_500, 45_000] {
        let models = models(count);
        let engines = engines(count);
        let started = Instant::now();
        let orders = plan(&models, &engines, CONCURRENT_LOADS);
        println!(
            "{count} engines: {:.0} ms, {} orders",
            started.elapsed().as_secs_f64() * 1_000.0,
            orders.len()
        );
    }
}
