//! Measures online tails and batch throughput, alone and together, against
//! the same stand-ins in one run, with baselines beside them.

mod batch_load;
mod compare;
mod failure_page;
pub mod failures;
mod figures;
mod loading;
mod meter;
mod notes;
mod phase;
mod plots;
mod quantiles;
mod report;
mod role_page;
pub mod roles;
mod run;

use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{ensure, Context};
use clap::Args;

use crate::fleet::launcher::Launcher;
use crate::preset::PresetName;
use crate::rehearsal::{keep_folder_of_failure, until_interrupted};

pub use compare::Comparison;
pub use figures::{BenchFigures, PhaseFigures};
pub use phase::Phase;
pub use quantiles::TailQuantiles;

/// Arguments of `bench`.
#[derive(Args, Debug, Clone)]
pub struct BenchArguments {
    /// Preset of the site.
    #[arg(long, value_enum)]
    pub preset: PresetName,
    /// Length of each phase, seconds.
    #[arg(long, default_value_t = 27)]
    pub seconds: u64,
    /// Seed of arrivals and heaps.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Only this phase; may be given again. Without it, all but those that
    /// compare roles.
    #[arg(long = "phase", value_enum)]
    pub phases: Vec<Phase>,
    /// Long prompts a second in the phases `long_both` and `long_split`.
    #[arg(long, default_value_t = 10.0)]
    pub long_per_second: f64,
    /// Share of the engines that only prefill in `long_split`, per cent.
    #[arg(long, default_value_t = 20)]
    pub prefill_percent: usize,
    /// Where all figures go, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Folder for a page with plots; it is made.
    #[arg(long)]
    pub report: Option<PathBuf>,
}

/// Runs all phases, prints the figures and writes what was asked for.
///
/// # Errors
/// When a phase fails or a promise was broken; logs and data are then kept
/// and the last line names their folder. Figures are written in the latter
/// case too.
pub async fn run(arguments: BenchArguments) -> anyhow::Result<()> {
    ensure!(arguments.seconds > 0, "--seconds must be above 0");
    let launcher = Arc::new(Launcher::new("bench")?);
    let work = run::run(launcher.clone(), &arguments);
    let result = until_interrupted(work).await;
    let result = result.and_then(|figures| {
        print!("{}", report::markdown(&figures));
        write(&arguments, &figures)?;
        let verdict = &figures.verdict;
        ensure!(verdict.is_clean(), "promises were broken:\n{verdict}");
        Ok(())
    });
    result.map_err(|error| keep_folder_of_failure(&launcher, &error))
}

fn write(arguments: &BenchArguments, figures: &BenchFigures) -> anyhow::Result<()> {
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(figures)?;
        std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(folder) = &arguments.report {
        report::write(folder, figures)
            .with_context(|| format!("writing a report to {}", folder.display()))?;
    }
    Ok(())
}
