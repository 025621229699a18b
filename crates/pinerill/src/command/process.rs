//! `pinerill control` and `pinerill node`: long-running processes.

use std::path::PathBuf;

use anyhow::Context;
use clap::Args;
use pinerill_types::settings::{self, Settings};

use super::overrides::OverrideArguments;
use crate::exit::WrongInput;
use pinerill_process::logging;

/// Arguments of a long-running process.
#[derive(Args)]
pub struct ProcessArguments {
    /// Settings file.
    #[arg(
        long,
        env = "PINERILL_SETTINGS",
        default_value = "/etc/pinerill/pinerill.toml"
    )]
    settings: PathBuf,
    #[command(flatten)]
    overrides: OverrideArguments,
}

impl ProcessArguments {
    fn load(&self) -> anyhow::Result<Settings> {
        Ok(settings::load(&self.settings, &self.overrides.parse()?)?)
    }
}

/// Runs a control machine until it is told to stop.
pub fn run_control(arguments: ProcessArguments) -> anyhow::Result<()> {
    let settings = arguments.load()?;
    if settings.control.is_none() {
        return Err(missing_section(&arguments, "control"));
    }
    let _log = logging::start(&settings.log.level)?;
    runtime()?.block_on(pinerill_control::run(settings))
}

/// Runs a node until it is told to stop.
pub fn run_node(arguments: ProcessArguments) -> anyhow::Result<()> {
    let settings = arguments.load()?;
    if settings.node.is_none() {
        return Err(missing_section(&arguments, "node"));
    }
    let _log = logging::start(&settings.log.level)?;
    runtime()?.block_on(pinerill_node::run(settings))
}

fn missing_section(arguments: &ProcessArguments, section: &str) -> anyhow::Error {
    let path = arguments.settings.display();
    WrongInput(format!("settings {path}: section [{section}] is missing")).into()
}

fn runtime() -> anyhow::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("start the runtime")
}
