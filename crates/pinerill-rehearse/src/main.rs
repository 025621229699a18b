//! The rehearsal kit command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pinerill_rehearse::standin::{self, StandIn};

/// Rehearses pinerill on one machine: stand-ins, load, fleet and reports.
#[derive(Parser, Debug)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Runs one stand-in; the kit starts these itself.
    #[command(subcommand, hide = true)]
    Standin(StandIn),
    /// Starts a fleet with stand-ins, serves, moves a service, checks, stops.
    Demo(pinerill_rehearse::demo::DemoArguments),
    /// Measures batch throughput and the harm it does to the online tail.
    Bench(pinerill_rehearse::bench::BenchArguments),
    /// Brings about failures, one scenario after the other, and checks.
    Faults(pinerill_rehearse::faults::FaultsArguments),
    /// Measures the durable state: throughput, failover, repair.
    State(pinerill_rehearse::state::StateArguments),
    /// Runs real and hollow processes at several sizes and fits lines.
    Scale(pinerill_rehearse::scale::ScaleArguments),
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match run(command_line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinerill-rehearse: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Demo(arguments) => {
            runtime(KIT_THREADS)?.block_on(pinerill_rehearse::demo::run(arguments))
        }
        Command::Bench(arguments) => {
            runtime(KIT_THREADS)?.block_on(pinerill_rehearse::bench::run(arguments))
        }
        Command::Faults(arguments) => {
            runtime(KIT_THREADS)?.block_on(pinerill_rehearse::faults::run(arguments))
        }
        Command::State(arguments) => {
            runtime(KIT_THREADS)?.block_on(pinerill_rehearse::state::run(arguments))
        }
        Command::Scale(arguments) => {
            runtime(KIT_THREADS)?.block_on(pinerill_rehearse::scale::run(arguments))
        }
        Command::Standin(standin) => runtime(STANDIN_THREADS)?.block_on(standin::run(standin)),
    }
}

/// Threads of a stand-in's runtime: many stand-ins share the machine.
const STANDIN_THREADS: usize = 2;

/// Threads of the kit's own runtime.
const KIT_THREADS: usize = 4;

fn runtime(threads: usize) -> anyhow::Result<tokio::runtime::Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()?;
    Ok(runtime)
}
