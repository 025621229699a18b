//! A whole fleet end to end in under a minute: start, serve, run a batch job,
//! move a service off the old script, check against the ledgers, stop.

mod moving;
mod serving;
mod summary;

use std::sync::Arc;

use anyhow::{ensure, Context};
use clap::Args;

use crate::check::{check_history, History, LedgerIndex};
use crate::fleet::launcher::Launcher;
use crate::preset::PresetName;
use crate::rehearsal::{
    keep_folder_of_failure, until_interrupted, Progress, Rehearsal, RehearsalOptions,
};
use summary::Summary;

/// Arguments of `demo`.
#[derive(Args, Debug, Clone)]
pub struct DemoArguments {
    /// Preset of the site.
    #[arg(long, value_enum)]
    pub preset: PresetName,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Runs the demo and prints a summary.
///
/// # Errors
/// When a step fails or a promise is broken; logs and data are then kept and
/// the last line names their folder.
pub async fn run(arguments: DemoArguments) -> anyhow::Result<()> {
    let launcher = Arc::new(Launcher::new("demo")?);
    let result = until_interrupted(play(launcher.clone(), &arguments)).await;
    match result {
        Ok(summary) => {
            print!("{summary}");
            Ok(())
        }
        Err(error) => Err(keep_folder_of_failure(&launcher, &error)),
    }
}

async fn play(launcher: Arc<Launcher>, arguments: &DemoArguments) -> anyhow::Result<Summary> {
    let progress = Progress::start();
    let preset = arguments.preset.preset();
    let options = RehearsalOptions::default();
    let mut rehearsal = Rehearsal::start(launcher, preset, &options, &progress).await?;
    let mut history = History::default();
    serving::serve(&rehearsal, arguments, &mut history, &progress)
        .await
        .context("serving online requests and a batch job")?;
    let moved = moving::move_service(&mut rehearsal, arguments, &mut history, &progress)
        .await
        .context("moving a service off the old script")?;
    serving::read_again(&rehearsal, &mut history).await?;
    let processes = rehearsal.process_count();
    progress.step("planned stop of everything");
    rehearsal.stop().await.context("planned stop")?;
    progress.step("checking every answer against the engines' ledgers");
    let lines = rehearsal.standins.ledger()?;
    let ledger = LedgerIndex::new(&lines);
    let mut verdict = check_history(&history, &ledger);
    verdict.add(moved.check(&ledger));
    ensure!(verdict.is_clean(), "promises were broken:\n{verdict}");
    summary::ensure_all_served(&history)?;
    Ok(Summary::new(&history, &lines, verdict, processes, progress))
}
