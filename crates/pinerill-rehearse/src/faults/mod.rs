//! Brings about failures in a fleet of real processes, one scenario after the
//! other, each with a fleet of its own, and checks what came of it.

pub mod engines;
mod load;
mod report;
mod scenario;
mod scenarios;
mod stage;

use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{ensure, Context};
use clap::Args;

use crate::fleet::launcher::Launcher;
use crate::rehearsal::{until_interrupted, Progress};
use report::{Played, Report, Row};
use scenario::Scenario;
use stage::Stage;

/// Arguments of `faults`.
#[derive(Args, Debug, Clone)]
pub struct FaultsArguments {
    /// Only this scenario; may be given again. Without it, all of them.
    #[arg(long = "scenario")]
    pub scenarios: Vec<String>,
    /// Seed of the load and of the moments at which things fail.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Plays the scenarios that have a deliberate defect, with it: each must
    /// find it. Needs `pinerill` built with its feature `failpoints`.
    #[arg(long)]
    pub with_defects: bool,
    /// Where the rows go, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Plays the scenarios and prints a row for each.
///
/// # Errors
/// When a promise was broken or a scenario could not be played to its end;
/// logs and data of that scenario are then kept and named. With deliberate
/// defects: when one was not found.
pub async fn run(arguments: FaultsArguments) -> anyhow::Result<()> {
    let chosen = choose(&arguments.scenarios)?;
    let mut report = Report::new(arguments.seed);
    for scenario in chosen {
        let defect = scenario.defect().filter(|_| arguments.with_defects);
        if arguments.with_defects && defect.is_none() {
            continue;
        }
        println!("\n== {}: {}", scenario.name(), scenario.what());
        let row = play(scenario.as_ref(), arguments.seed, defect).await?;
        println!("{row}");
        report.rows.push(row);
    }
    println!("\n{report}");
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    let failed = report.failed();
    ensure!(failed.is_empty(), "failed: {}", failed.join(", "));
    Ok(())
}

fn choose(names: &[String]) -> anyhow::Result<Vec<Box<dyn Scenario>>> {
    let all = scenarios::all();
    for name in names {
        let known = all.iter().any(|scenario| scenario.name() == name);
        let known_names: Vec<&str> = all.iter().map(|scenario| scenario.name()).collect();
        ensure!(
            known,
            "no scenario {name}; there are {}",
            known_names.join(", ")
        );
    }
    let chosen = all
        .into_iter()
        .filter(|scenario| names.is_empty() || names.iter().any(|name| name == scenario.name()));
    Ok(chosen.collect())
}

/// Plays one scenario. Only an interruption is an error: what fails in the
/// scenario is in its row.
async fn play(
    scenario: &dyn Scenario,
    seed: u64,
    defect: Option<&'static str>,
) -> anyhow::Result<Row> {
    let mut launcher = Launcher::new(&format!("faults-{}", scenario.name()))?;
    if let Some(fail_points) = defect {
        launcher = launcher.with_defect(fail_points);
    }
    let launcher = Arc::new(launcher);
    let work = async { Ok(play_to_end(scenario, launcher.clone(), seed).await) };
    let result = until_interrupted(work).await?;
    let mut row = Row::new(scenario.name(), scenario.what());
    row.defect = defect;
    match result {
        Ok(played) => row.take(played),
        Err(error) => row.error = Some(format!("{error:#}")),
    }
    if row.is_failed() {
        launcher.keep_folder();
        row.folder = Some(launcher.folder().to_path_buf());
    }
    Ok(row)
}

async fn play_to_end(
    scenario: &dyn Scenario,
    launcher: Arc<Launcher>,
    seed: u64,
) -> anyhow::Result<Played> {
    let progress = Progress::start();
    let mut stage = Stage::start(launcher, &scenario.options(), seed, progress).await?;
    scenario.play(&mut stage).await?;
    stage.end().await
}
