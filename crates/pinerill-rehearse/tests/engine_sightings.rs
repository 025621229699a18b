//! What scenarios see of engines over time, and whether answers come from one
//! version of a model.

mod common;

use std::collections::BTreeMap;

use common::records::{ledger_line, online_record};
use pinerill_control::placement::engine_state::{EngineRole, EngineState, HeldModel, LoadState};
use pinerill_rehearse::check::{check_versions, History, LedgerIndex};
use pinerill_rehearse::faults::engines::{count_role, EngineStates, Sightings};
use pinerill_rehearse::ledger::{LedgerEvent, LedgerLine};
use pinerill_rehearse::load::record::OnlineEnd;
use pinerill_types::Fence;

fn state(models: &[(&str, LoadState)]) -> EngineState {
    let held = models.iter().map(|(version, state)| HeldModel {
        name: "lamp".into(),
        version: (*version).to_owned(),
        adapters: Vec::new(),
        state: *state,
    });
    EngineState {
        incarnation: 1,
        role: EngineRole::Both,
        leaving: false,
        models: held.collect(),
        fence: Fence::default(),
    }
}

fn states(engines: &[(&str, EngineState)]) -> EngineStates {
    let engines = engines.iter().cloned();
    engines
        .map(|(name, state)| (name.to_owned(), state))
        .collect::<BTreeMap<_, _>>()
}

#[test]
fn a_replacement_beside_the_old_version_lets_nothing_go() {
    let (ready, loading) = (LoadState::Ready, LoadState::Loading);
    let mut seen = Sightings::default();
    let old = state(&[("1", ready)]);
    for step in [
        state(&[("1", ready)]),
        state(&[("1", ready), ("2", loading)]),
        state(&[("1", ready), ("2", ready)]),
        state(&[("2", ready)]),
    ] {
        seen.take("lamp", &states(&[("a/0", step), ("b/0", old.clone())]));
    }
    assert_eq!((seen.looks, seen.gaps, seen.most_loading), (4, 0, 1));
    assert_eq!(seen.let_go, Vec::<String>::new());
}

#[test]
fn an_engine_that_unloads_first_is_seen_and_so_is_a_gap() {
    let (ready, loading) = (LoadState::Ready, LoadState::Loading);
    let mut seen = Sightings::default();
    seen.take("lamp", &states(&[("a/0", state(&[("1", ready)]))]));
    seen.take("lamp", &states(&[("a/0", state(&[("2", loading)]))]));
    assert_eq!(seen.let_go, vec!["a/0".to_owned()]);
    assert_eq!(seen.gaps, 1);
}

#[test]
fn an_engine_that_does_not_answer_has_not_let_go() {
    let mut seen = Sightings::default();
    let ready = state(&[("1", LoadState::Ready)]);
    seen.take(
        "lamp",
        &states(&[("a/0", ready.clone()), ("b/0", ready.clone())]),
    );
    seen.take("lamp", &states(&[("a/0", ready)]));
    assert_eq!((seen.let_go.len(), seen.gaps), (0, 0));
}

#[test]
fn roles_are_counted() {
    let mut prefill = state(&[]);
    prefill.role = EngineRole::Prefill;
    let all = states(&[("a/0", prefill), ("b/0", state(&[]))]);
    assert_eq!(count_role(&all, EngineRole::Prefill), 1);
    assert_eq!(count_role(&all, EngineRole::Decode), 0);
}

fn line(engine: &str, model: &str, continue_from: u32, time_us: u64) -> LedgerLine {
    LedgerLine {
        time_us,
        arrived_us: time_us,
        engine: engine.to_owned(),
        model: model.to_owned(),
        continue_from,
        generated: continue_from,
        ..ledger_line(1, LedgerEvent::Started)
    }
}

fn violations(lines: &[LedgerLine]) -> usize {
    let history = History {
        online: vec![online_record(1, OnlineEnd::Completed)],
        ..History::default()
    };
    check_versions(&history, &LedgerIndex::new(lines))
        .violations
        .len()
}

#[test]
fn an_answer_goes_on_only_with_the_version_that_began_it() {
    let begun = line("a/0", "m@1", 0, 1);
    assert_eq!(violations(&[begun.clone(), line("b/0", "m@1", 3, 2)]), 0);
    assert_eq!(violations(&[begun.clone(), line("b/0", "m@2", 3, 2)]), 1);
    assert_eq!(
        violations(&[begun.clone(), line("b/0", "m@2", 0, 2)]),
        0,
        "from the start"
    );
    let later = [begun, line("b/0", "m@1", 3, 2), line("c/0", "m@1", 5, 3)];
    assert_eq!(violations(&later), 0);
    assert_eq!(
        violations(&[line("b/0", "m@1", 3, 2)]),
        1,
        "nobody began it"
    );
}
