//! Each deliberate defect is caught by the scenario that it names.

use pinerill_sim::registry;
use pinerill_sim::sweep::hunt;

const THREADS: usize = 4;

#[test]
fn every_mutant_is_caught() {
    let mutants = registry::mutants();
    assert!(!mutants.is_empty(), "the tests are built with mutants");
    let escaped: Vec<&str> = mutants
        .iter()
        .filter(|mutant| hunt(mutant, THREADS).is_none())
        .map(|mutant| mutant.name)
        .collect();
    assert!(escaped.is_empty(), "not caught: {escaped:?}");
}
