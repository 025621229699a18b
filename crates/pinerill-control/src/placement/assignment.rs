//! What each engine should hold: pure, and stable while engines come and go.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_types::bundle::Model;
use pinerill_types::{Digest, EngineId, ModelName};

use super::engine_state::{EngineRole, EngineState};

/// Engines that answered lately and are not leaving.
pub type ObservedEngines = BTreeMap<EngineId, EngineState>;

/// Models of the bundle in force.
pub type Models = BTreeMap<ModelName, Model>;

/// What one engine should be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineAssignment {
    /// Its role.
    pub role: EngineRole,
    /// Models it should hold, at the bundle's version.
    pub models: BTreeSet<ModelName>,
}

/// What every observed engine should be.
pub type Assignment = BTreeMap<EngineId, EngineAssignment>;

/// Assigns models to engines.
///
/// A model without a placement goes to every engine that may do everything.
/// A model with one goes to that many engines of each role: those that hold
/// it already come first, so that nothing moves without need; then those with
/// the fewest models; then by a hash, so that models spread.
pub fn assign(models: &Models, engines: &ObservedEngines) -> Assignment {
    let mut assignment = Assignment::new();
    for (name, model) in models {
        let placement = model.placement;
        let wanted = [
            (EngineRole::Prefill, placement.prefill),
            (EngineRole::Decode, placement.decode),
            (EngineRole::Both, placement.both),
        ];
        for (role, count) in wanted {
            assign_role(&mut assignment, engines, name, role, count);
        }
    }
    for (name, model) in models {
        let placement = model.placement;
        if placement.both == 0 && placement.prefill == 0 && placement.decode == 0 {
            assign_everywhere(&mut assignment, engines, name);
        }
    }
    assignment
}

fn assign_role(
    assignment: &mut Assignment,
    engines: &ObservedEngines,
    model: &ModelName,
    role: EngineRole,
    count: u32,
) {
    if count == 0 {
        return;
    }
    let mut candidates: Vec<&EngineId> = engines
        .keys()
        .filter(|engine| may_take(assignment, engine, model, role))
        .collect();
    candidates.sort_by_cached_key(|engine| preference(assignment, engines, engine, model, role));
    for engine in candidates.into_iter().take(count as usize) {
        let entry = assignment
            .entry(engine.clone())
            .or_insert_with(|| EngineAssignment {
                role,
                models: BTreeSet::new(),
            });
        entry.models.insert(model.clone());
    }
}

/// An engine has one role for all its models.
fn may_take(
    assignment: &Assignment,
    engine: &EngineId,
    model: &ModelName,
    role: EngineRole,
) -> bool {
    assignment
        .get(engine)
        .is_none_or(|entry| entry.role == role && !entry.models.contains(model))
}

type Preference = (bool, bool, usize, Digest);

fn preference(
    assignment: &Assignment,
    engines: &ObservedEngines,
    engine: &EngineId,
    model: &ModelName,
    role: EngineRole,
) -> Preference {
    let state = &engines[engine];
    let holds = state.models.iter().any(|held| held.name == *model);
    let has_role = state.role == role;
    let models = assignment.get(engine).map_or(0, |entry| entry.models.len());
    let hash = Digest::of(format!("{model} {engine}").as_bytes());
    (!(holds && has_role), !holds, models, hash)
}

fn assign_everywhere(assignment: &mut Assignment, engines: &ObservedEngines, model: &ModelName) {
    for engine in engines.keys() {
        let entry = assignment
            .entry(engine.clone())
            .or_insert_with(|| EngineAssignment {
                role: EngineRole::Both,
                models: BTreeSet::new(),
            });
        if entry.role == EngineRole::Both {
            entry.models.insert(model.clone());
        }
    }
}
