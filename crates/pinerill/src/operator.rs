//! An operator's connection to the control machines.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use pinerill_types::settings::{self, Settings};
use pinerill_wire::api::Role;
use pinerill_wire::client::ControlClient;
use pinerill_wire::connection::{ClusterKey, Identity};

/// Name under which operators' commands connect.
const OPERATOR_NAME: &str = "operator";

/// How to reach the cluster.
#[derive(Args)]
pub struct ClusterArguments {
    /// Settings file; only its section [cluster] is read.
    #[arg(
        long,
        env = "PINERILL_SETTINGS",
        default_value = "/etc/pinerill/pinerill.toml"
    )]
    pub settings: PathBuf,
    /// Longest wait for an answer, seconds.
    #[arg(long, default_value_t = 10)]
    pub timeout_seconds: u64,
}

impl ClusterArguments {
    /// Reads the settings.
    ///
    /// # Errors
    /// When they are missing or wrong.
    pub fn load(&self) -> anyhow::Result<Settings> {
        Ok(settings::load(&self.settings, &[])?)
    }

    /// A client of the cluster's control machines.
    ///
    /// # Errors
    /// When settings or cluster key can't be read.
    pub fn client(&self) -> anyhow::Result<ControlClient> {
        let settings = self.load()?;
        let key = ClusterKey::load(&settings.cluster.key_file)?;
        let name = &settings.cluster.name;
        let identity = Identity::new(name, key, Role::Operator, OPERATOR_NAME, "");
        Ok(ControlClient::new(identity, &settings.cluster.controls))
    }

    /// Longest wait for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_secs(self.timeout_seconds)
    }
}

/// Runs one command's work on a runtime of its own.
///
/// # Errors
/// What the work fails with, or that no runtime can be had.
pub fn block_on<T>(
    work: impl std::future::Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(work)
}
