//! The simulation's command line.

use std::collections::BTreeMap;
use std::fs;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use clap::{Parser, Subcommand};
use pinerill_sim::registry;
use pinerill_sim::scenario::{Scenario, Violation};
use pinerill_sim::sweep::{hunt, run_seed, sweep, ScenarioSummary, MAX_THREADS};
use pinerill_sim::trace::Tracing;

/// Violations of one scenario that are printed.
const SHOWN_FAILURES: usize = 5;
/// Violations of one run that are printed.
const SHOWN_VIOLATIONS: usize = 3;

/// Seeded simulation of pinerill's deciding parts.
#[derive(Parser)]
#[command(name = "pinerill-sim", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Names the scenarios.
    List,
    /// Runs scenarios over seeds; fails if a rule is broken.
    Sweep {
        /// Seeds, such as 0..1000; the end is not included.
        #[arg(long, default_value = "0..100", value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// Only this scenario; may be given several times.
        #[arg(long)]
        scenario: Vec<String>,
        /// Threads, at most 6.
        #[arg(long, default_value_t = MAX_THREADS)]
        threads: usize,
        /// Writes the results to this file.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Runs one seed and prints what happens.
    Replay {
        /// The scenario.
        #[arg(long)]
        scenario: String,
        /// The seed.
        #[arg(long)]
        seed: u64,
        /// With this mutant's defect.
        #[arg(long)]
        mutant: Option<String>,
    },
    /// Runs deliberate defects; fails if one is not caught. Needs a build
    /// with the feature `mutants`.
    Mutants {
        /// Only this mutant; may be given several times.
        #[arg(long)]
        mutant: Vec<String>,
        /// Threads, at most 6.
        #[arg(long, default_value_t = MAX_THREADS)]
        threads: usize,
    },
}

fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let wrong = || format!("`{text}` is not a range of seeds: use FIRST..END");
    let (first, end) = text.split_once("..").ok_or_else(wrong)?;
    let first = first.parse().map_err(|_| wrong())?;
    let end = end.parse().map_err(|_| wrong())?;
    if first < end {
        Ok(first..end)
    } else {
        Err(wrong())
    }
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::List => {
            list();
            Ok(true)
        }
        Command::Sweep {
            seeds,
            scenario,
            threads,
            json,
        } => sweep_all(seeds, &scenario, threads, json.as_deref()),
        Command::Replay {
            scenario,
            seed,
            mutant,
        } => replay(&scenario, seed, mutant.as_deref()),
        Command::Mutants { mutant, threads } => run_mutants(&mutant, threads),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("pinerill-sim: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn list() {
    for scenario in registry::scenarios() {
        println!("{:<28} {}", scenario.name(), scenario.summary());
    }
}

fn chosen(names: &[String]) -> anyhow::Result<Vec<Box<dyn Scenario>>> {
    if names.is_empty() {
        return Ok(registry::scenarios());
    }
    names
        .iter()
        .map(|name| registry::scenario(name).with_context(|| format!("no scenario `{name}`")))
        .collect()
}

fn sweep_all(
    seeds: Range<u64>,
    names: &[String],
    threads: usize,
    json: Option<&Path>,
) -> anyhow::Result<bool> {
    let mut summaries = Vec::new();
    for scenario in chosen(names)? {
        let summary = sweep(scenario.as_ref(), seeds.clone(), threads);
        print_summary(&summary);
        summaries.push(summary);
    }
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&summaries)?;
        fs::write(path, text).with_context(|| format!("write {}", path.display()))?;
    }
    Ok(summaries.iter().all(|one| one.failed.is_empty()))
}

fn print_summary(summary: &ScenarioSummary) {
    println!(
        "{}: {} seeds, {} operations ({} of unknown outcome), {} violating seeds\n  \
         faults: {}\n  seen: {}",
        summary.scenario,
        summary.seeds,
        summary.operations,
        summary.unknown_outcomes,
        summary.failed.len(),
        list_counts(&summary.faults),
        list_counts(&summary.observed),
    );
    for failed in summary.failed.iter().take(SHOWN_FAILURES) {
        print_violations(&failed.violations);
        println!("    replay: {}", failed.replay);
    }
}

fn list_counts(counts: &BTreeMap<&'static str, u64>) -> String {
    let parts: Vec<String> = counts
        .iter()
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    parts.join(", ")
}

fn print_violations(violations: &[Violation]) {
    for violation in violations.iter().take(SHOWN_VIOLATIONS) {
        println!(
            "  at {} ms, {}: {}",
            violation.at_ms, violation.rule, violation.detail
        );
    }
}

fn replay(name: &str, seed: u64, mutant: Option<&str>) -> anyhow::Result<bool> {
    let scenario = registry::scenario(name).with_context(|| format!("no scenario `{name}`"))?;
    let defect = match mutant {
        Some(wanted) => {
            let mut mutants = registry::mutants().into_iter();
            let found = mutants.find(|one| one.name == wanted);
            Some(found.with_context(|| no_mutant(wanted))?.defect)
        }
        None => None,
    };
    let report = run_seed(scenario.as_ref(), seed, defect, Tracing::Print);
    println!(
        "{} operations, {} violations",
        report.operations,
        report.violations.len()
    );
    print_violations(&report.violations);
    Ok(report.violations.is_empty())
}

fn no_mutant(name: &str) -> String {
    format!("no mutant `{name}` in this build; build with --features mutants")
}

fn run_mutants(names: &[String], threads: usize) -> anyhow::Result<bool> {
    let all = registry::mutants();
    anyhow::ensure!(
        !all.is_empty(),
        "this build has no mutants: cargo run -p pinerill-sim --features mutants -- mutants"
    );
    for name in names {
        anyhow::ensure!(all.iter().any(|one| one.name == *name), no_mutant(name));
    }
    let wanted = |name: &str| names.is_empty() || names.iter().any(|one| one == name);
    let mut escaped = 0;
    let mut run = 0;
    for mutant in all.iter().filter(|one| wanted(one.name)) {
        run += 1;
        match hunt(mutant, threads) {
            Some(caught) => {
                println!(
                    "{}: caught by {} at seed {}",
                    mutant.name, mutant.scenario, caught.seed
                );
                print_violations(&caught.violations);
            }
            None => {
                escaped += 1;
                println!(
                    "{}: NOT CAUGHT by {} in {} seeds",
                    mutant.name, mutant.scenario, mutant.seeds
                );
            }
        }
    }
    println!("{run} mutants, {escaped} not caught");
    Ok(escaped == 0)
}
