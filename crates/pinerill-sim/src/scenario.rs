//! What a scenario is and what a run of it yields.
//!
//! To add a family of scenarios: implement [`Scenario`] in one file under
//! `scenarios/`, and name them and their mutants in `registry.rs`. A scenario
//! over a replicated group gives a [`crate::cluster::GroupService`] and a
//! [`crate::cluster::Workload`] to [`crate::cluster::Simulation`].

use std::collections::BTreeMap;

use serde::Serialize;

use crate::defect::Defect;
use crate::trace::Tracing;

/// A simulated situation with its checks. The same seed gives the same run.
pub trait Scenario: Send + Sync {
    /// Its name on the command line.
    fn name(&self) -> &'static str;

    /// What is done to whom, in one line.
    fn summary(&self) -> &'static str;

    /// Runs it once, with at most one deliberate defect.
    fn run(&self, seed: u64, defect: Option<Defect>, tracing: Tracing) -> RunReport;
}

/// What one run did and found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunReport {
    /// Client operations that were begun.
    pub operations: u64,
    /// Client operations whose outcome the client never learnt.
    pub unknown_outcomes: u64,
    /// Faults brought about, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// What the checks saw happen, by kind: without these, a run proves little.
    pub observed: BTreeMap<&'static str, u64>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// The trace, if it was to be kept.
    #[serde(skip)]
    pub trace: Vec<String>,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// When it was seen, in virtual milliseconds.
    pub at_ms: u64,
    /// The rule.
    pub rule: &'static str,
    /// What was seen.
    pub detail: String,
}

/// A deliberate defect, and the scenario that must catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mutant {
    /// Its name on the command line.
    pub name: &'static str,
    /// The defect.
    pub defect: Defect,
    /// Name of the scenario that must catch it.
    pub scenario: &'static str,
    /// How many seeds, from 0, the scenario has to catch it.
    pub seeds: u64,
}
