//! Many seeds in parallel, and the mutants.

use std::collections::BTreeMap;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use serde::Serialize;

use crate::defect::Defect;
use crate::registry;
use crate::scenario::{Mutant, RunReport, Scenario, Violation};
use crate::trace::Tracing;

/// Most threads of a sweep.
pub const MAX_THREADS: usize = 6;

/// A seed that broke a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FailedSeed {
    /// The seed.
    pub seed: u64,
    /// What it broke.
    pub violations: Vec<Violation>,
    /// The command that shows it step by step.
    pub replay: String,
}

/// What a scenario yielded over all seeds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ScenarioSummary {
    /// Its name.
    pub scenario: String,
    /// Seeds run.
    pub seeds: u64,
    /// Client operations begun.
    pub operations: u64,
    /// Client operations whose outcome was never learnt.
    pub unknown_outcomes: u64,
    /// Faults brought about, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// What the checks saw happen, by kind.
    pub observed: BTreeMap<&'static str, u64>,
    /// Seeds that broke a rule, in order.
    pub failed: Vec<FailedSeed>,
}

/// Runs one seed; a panic is a violation too.
pub fn run_seed(
    scenario: &dyn Scenario,
    seed: u64,
    defect: Option<Defect>,
    tracing: Tracing,
) -> RunReport {
    let run = AssertUnwindSafe(|| scenario.run(seed, defect, tracing));
    catch_unwind(run).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        let violation = Violation {
            at_ms: 0,
            rule: "no panic",
            detail: text.unwrap_or_default(),
        };
        RunReport {
            violations: vec![violation],
            ..RunReport::default()
        }
    })
}

/// Runs a scenario over seeds in at most `threads` threads.
pub fn sweep(scenario: &dyn Scenario, seeds: Range<u64>, threads: usize) -> ScenarioSummary {
    let summary = Mutex::new(ScenarioSummary {
        scenario: scenario.name().to_owned(),
        ..ScenarioSummary::default()
    });
    let next = AtomicU64::new(seeds.start);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let report = run_seed(scenario, seed, None, Tracing::Off);
                summary.lock().add(seed, report);
            });
        }
    });
    let mut summary = summary.into_inner();
    summary.failed.sort_by_key(|failed| failed.seed);
    summary
}

impl ScenarioSummary {
    fn add(&mut self, seed: u64, report: RunReport) {
        self.seeds += 1;
        self.operations += report.operations;
        self.unknown_outcomes += report.unknown_outcomes;
        for (kind, count) in report.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        for (kind, count) in report.observed {
            *self.observed.entry(kind).or_default() += count;
        }
        if !report.violations.is_empty() {
            let replay = replay_command(&self.scenario, seed);
            self.failed.push(FailedSeed {
                seed,
                violations: report.violations,
                replay,
            });
        }
    }
}

/// The command that shows a seed step by step.
pub fn replay_command(scenario: &str, seed: u64) -> String {
    format!("pinerill-sim replay --scenario {scenario} --seed {seed}")
}

/// How a mutant was caught.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Caught {
    /// The seed that caught it.
    pub seed: u64,
    /// The rules that it broke.
    pub violations: Vec<Violation>,
}

/// Runs a mutant until a seed catches it; the lowest such seed that was run.
pub fn hunt(mutant: &Mutant, threads: usize) -> Option<Caught> {
    let scenario = registry::scenario(mutant.scenario)?;
    let caught: Mutex<Option<Caught>> = Mutex::new(None);
    let next = AtomicU64::new(0);
    let found = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= mutant.seeds || found.load(Ordering::Relaxed) {
                    return;
                }
                let defect = Some(mutant.defect);
                let report = run_seed(scenario.as_ref(), seed, defect, Tracing::Off);
                if report.violations.is_empty() {
                    continue;
                }
                found.store(true, Ordering::Relaxed);
                let mut lowest = caught.lock();
                if lowest.as_ref().is_none_or(|one| seed < one.seed) {
                    let violations = report.violations;
                    *lowest = Some(Caught { seed, violations });
                }
            });
        }
    });
    caught.into_inner()
}
