//! The `pinerill` command line: the fleet's processes and the commands of
//! operators and callers.

mod command;
mod exit;
mod files;
mod operator;
mod output;

use std::process::ExitCode;

use clap::{Command as ClapCommand, CommandFactory, FromArgMatches, Parser, Subcommand};

use command::{bundle, cluster, explain, job, process, settings};

/// Serves online and batch inference on one fleet.
#[derive(Parser)]
#[command(name = "pinerill", version, about, propagate_version = true)]
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
    /// Tells from logs what became of a request.
    Explain(explain::ExplainArguments),
    /// Checks settings and prints an example.
    #[command(subcommand)]
    Settings(settings::SettingsCommand),
}

fn main() -> ExitCode {
    // Fail points of the environment, for the fault scenarios' own proof.
    #[cfg(feature = "failpoints")]
    let _defects = fail::FailScenario::setup();
    let result = match parse().command {
        Command::Control(arguments) => process::run_control(arguments),
        Command::Node(arguments) => process::run_node(arguments),
        Command::Bundle(command) => bundle::run(command),
        Command::Job(command) => job::run(command),
        Command::Cluster(command) => cluster::run(command),
        Command::Explain(arguments) => explain::run(arguments),
        Command::Settings(command) => settings::run(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit::report(&error),
    }
}

fn parse() -> Arguments {
    let matches = with_exit_codes(Arguments::command()).get_matches();
    Arguments::from_arg_matches(&matches).unwrap_or_else(|error| error.exit())
}

/// Every command's help ends with the exit codes.
fn with_exit_codes(command: ClapCommand) -> ClapCommand {
    command
        .after_help(exit::HELP)
        .mut_subcommands(with_exit_codes)
}
