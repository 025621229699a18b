//! `pinerill settings`: check a file, print an example.

use std::path::PathBuf;

use clap::Subcommand;
use pinerill_types::settings::{self, EXAMPLE};

use super::overrides::OverrideArguments;
use crate::output;

/// Commands about settings.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Checks settings as a process would read them now; names every problem.
    Check {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        overrides: OverrideArguments,
    },
    /// Prints a commented file that passes the check.
    Example,
}

/// Runs the command.
pub fn run(command: SettingsCommand) -> anyhow::Result<()> {
    match command {
        SettingsCommand::Check { file, overrides } => {
            settings::load(&file, &overrides.parse()?)?;
            output::line(format!("{}: no problems", file.display()))
        }
        SettingsCommand::Example => output::bytes(EXAMPLE.as_bytes()),
    }
}
