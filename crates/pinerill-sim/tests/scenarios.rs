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

/// Machine 1 gets its votes of term 2, is frozen before it reads them, and becomes leader when
/// a leader of term 3 has committed entries meanwhile: it lacks these, and commits nothing.
#[test]
fn a_leader_of_a_lower_term_that_woke_late_breaks_no_rule() {
    let scenario = registry::scenario("job_everything").expect("is registered");
    let run = run_seed(scenario.as_ref(), 134, None, Tracing::Keep);
    assert!(run.violations.is_empty(), "{:?}", run.violations);
    let woke = |line: &&String| line.contains("machine 1 Leader in term 2");
    assert!(
        run.trace.iter().any(|line| woke(&line)),
        "the run is another one"
    );
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
