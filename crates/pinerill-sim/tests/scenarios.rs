//! A few fixed seeds of each scenario, and that runs repeat exactly.

use pinerill_sim::registry;
use pinerill_sim::sweep::{run_seed, sweep};
use pinerill_sim::trace::Tracing;

/// Seeds of each scenario; far more run in a sweep.
const SEEDS: std::ops::Range<u64> = 0..3;
const THREADS: usize = 4;

#[test]
fn no_scenario_breaks_a_rule() {
    for scenario in registry::scenarios() {
        let summary = sweep(scenario.as_ref(), SEEDS, THREADS);
        assert!(summary.failed.is_empty(), "{summary:#?}");
        assert!(summary.operations > 20, "clients worked: {summary:?}");
        assert!(!summary.faults.is_empty(), "faults happened: {summary:?}");
    }
}

#[test]
fn a_seed_gives_the_same_run_again() {
    let scenario = registry::scenario("everything_at_once").expect("is registered");
    let first = run_seed(scenario.as_ref(), 5, None, Tracing::Keep);
    let again = run_seed(scenario.as_ref(), 5, None, Tracing::Keep);
    assert!(first.trace.len() > 100);
    assert_eq!(first, again);
    let other = run_seed(scenario.as_ref(), 6, None, Tracing::Keep);
    assert_ne!(first.trace, other.trace);
}

#[test]
fn names_are_unique_and_mutants_name_scenarios() {
    let names: Vec<&str> = registry::scenarios().iter().map(|one| one.name()).collect();
    let mut unique = names.clone();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique.len(), names.len());
    for mutant in registry::mutants() {
        assert!(names.contains(&mutant.scenario), "{mutant:?}");
    }
}
