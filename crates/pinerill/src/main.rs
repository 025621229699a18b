//! The `pinerill` command line: the fleet's processes and the commands of
//! operators and callers.

mod command;
mod exit;
mod logging;
mod operator;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use command::{bundle, cluster, job, process, settings};

/// Serves online and batch inference on one fleet.
#[derive(Parser)]
#[command(name = "pinerill", version, about, after_help = exit::HELP)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a control machine: bundles, membership, placement, batch jobs.
    Control(process::ProcessArguments),
    /// Runs a node: callers' requests, routing, batch items.
    Node(process::ProcessArguments),
    /// Makes, signs, proposes and shows bundles.
    #[command(subcommand)]
    Bundle(bundle::BundleCommand),
    /// Submits and follows batch jobs, as a caller.
    #[command(subcommand)]
    Job(job::JobCommand),
    /// Founds, inspects and repairs the control machines.
    #[command(subcommand)]
    Cluster(cluster::ClusterCommand),
    /// Checks settings and prints an example.
    #[command(subcommand)]
    Settings(settings::SettingsCommand),
}

fn main() -> ExitCode {
    // Fail points of the environment, for the fault scenarios' own proof.
    #[cfg(feature = "failpoints")]
    let _defects = fail::FailScenario::setup();
    let arguments = Arguments::parse();
    let result = match arguments.command {
        Command::Control(arguments) => process::run_control(arguments),
        Command::Node(arguments) => process::run_node(arguments),
        Command::Bundle(command) => bundle::run(command),
        Command::Job(command) => job::run(command),
        Command::Cluster(command) => cluster::run(command),
        Command::Settings(command) => settings::run(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit::report(&error),
    }
}
