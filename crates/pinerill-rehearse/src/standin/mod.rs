//! Stand-ins for the systems outside pinerill, each its own process.

pub mod http;
pub mod platform;
pub mod relay;
pub mod script;
pub mod weights;
pub mod worker;

use clap::Subcommand;

use crate::fleet::warden;

/// The stand-ins, as hidden subcommands.
#[derive(Subcommand, Debug)]
pub enum StandIn {
    /// A worker with its engines.
    Worker(Box<worker::WorkerArguments>),
    /// The platform's list of machines.
    Platform(platform::PlatformArguments),
    /// The weight store.
    Weights(weights::WeightsArguments),
    /// An old script.
    Script(script::ScriptArguments),
    /// Hollow nodes of a scale run.
    HollowNodes(crate::scale::hollow::HollowArguments),
    /// Hollow workers of a scale run.
    HollowWorkers(crate::scale::hollow::HollowWorkerArguments),
    /// Relays of the links between zones.
    Relay(relay::RelayArguments),
    /// Ends the kit's children when the kit dies.
    Warden,
}

/// Runs a stand-in until SIGTERM or SIGINT. Fails when its address is taken.
pub async fn run(standin: StandIn) -> anyhow::Result<()> {
    match standin {
        StandIn::Worker(arguments) => worker::run(*arguments).await,
        StandIn::Platform(arguments) => platform::run(arguments).await,
        StandIn::Weights(arguments) => weights::run(arguments).await,
        StandIn::Script(arguments) => script::run(arguments).await,
        StandIn::HollowNodes(arguments) => crate::scale::hollow::run_nodes(arguments).await,
        StandIn::HollowWorkers(arguments) => crate::scale::hollow::run_workers(arguments).await,
        StandIn::Relay(arguments) => relay::run(arguments).await,
        StandIn::Warden => warden::run(),
    }
}
