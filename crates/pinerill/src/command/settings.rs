//! `pinerill settings`: check a file, print an example.

use std::path::PathBuf;

use clap::Subcommand;
use pinerill_types::settings::{self, EXAMPLE};

/// Commands about settings.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Checks a settings file and names every problem.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Prints a commented file that passes the check.
    Example,
}

/// Runs the command.
pub fn run(command: SettingsCommand) -> anyhow::Result<()> {
    match command {
        SettingsCommand::Check { file } => {
            settings::load(&file, &[])?;
            println!("{}: no problems", file.display());
        }
        SettingsCommand::Example => print!("{EXAMPLE}"),
    }
    Ok(())
}
