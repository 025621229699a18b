//! Settings of a node.

use std::net::SocketAddr;

use serde::Deserialize;

use super::control::with_port;
use super::{require, SettingsError};

/// Settings of a node; the section `[node]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name, unique in the cluster.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address (UDP) at which the nodes of a zone hear each other.
    pub peer_listen: SocketAddr,
    /// Address of the readiness probe.
    pub ready_listen: SocketAddr,
    /// Address for metrics, liveness and readiness.
    pub admin: SocketAddr,
    /// Addresses of some control machines.
    pub seeds: Vec<SocketAddr>,
    /// Port at which seeds listen for the cluster's own processes, where the
    /// addresses in `seeds` name another one.
    pub seed_port: Option<u16>,
    /// The platform list of workers, read while no control machine answers.
    pub worker_list: SocketAddr,
    /// Time for a planned stop, seconds.
    pub stop_s: f64,
    /// Part of a worker's slots up to which items of jobs begin there; calls count.
    #[serde(default = "default_batch_share")]
    pub batch_share: f64,
}

fn default_batch_share() -> f64 {
    0.75
}

impl NodeSettings {
    /// Internal addresses of the seeds.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.seeds, self.seed_port)
    }

    pub(super) fn check(&self) -> Result<(), SettingsError> {
        require(!self.name.is_empty(), "node.name", "must not be empty")?;
        require(!self.seeds.is_empty(), "node.seeds", "must not be empty")?;
        require(
            (0.0..=1.0).contains(&self.batch_share),
            "node.batch_share",
            "must lie between 0 and 1",
        )?;
        require(self.stop_s > 0.0, "node.stop_s", "must be above 0")
    }
}
