//! `pinerill settings`: check a file, print an example.

use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::Subcommand;
use pinerill_calls::settings::{self as forwarding, ForwardingSettings};
use pinerill_types::settings::{self, EXAMPLE};

use super::overrides::OverrideArguments;
use crate::exit::WrongInput;
use crate::output;

/// Commands about settings.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Checks settings as a process would read them now; names every problem.
    Check {
        /// The file.
        file: PathBuf,
        /// Settings of a process that forwards calls.
        #[arg(long)]
        forwarding: bool,
        #[command(flatten)]
        overrides: OverrideArguments,
    },
    /// Prints a commented file that passes the check.
    Example {
        /// Settings of processes that forward calls.
        #[arg(long)]
        forwarding: bool,
    },
}

/// Runs the command.
pub fn run(command: SettingsCommand) -> anyhow::Result<()> {
    match command {
        SettingsCommand::Check {
            file,
            forwarding: true,
            ..
        } => {
            check_forwarding(&file)?;
            output::line(format!("{}: no problems", file.display()))
        }
        SettingsCommand::Check {
            file, overrides, ..
        } => {
            settings::load(&file, &overrides.parse()?)?;
            output::line(format!("{}: no problems", file.display()))
        }
        SettingsCommand::Example { forwarding: true } => {
            output::bytes(forwarding::EXAMPLE.as_bytes())
        }
        SettingsCommand::Example { forwarding: false } => output::bytes(EXAMPLE.as_bytes()),
    }
}

fn check_forwarding(file: &Path) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("read settings {}", file.display()))?;
    let checked = ForwardingSettings::read(&text);
    checked.map_err(|error| WrongInput(format!("{}: {error}", file.display())))?;
    Ok(())
}
