//! Settings of a node.

use std::collections::BTreeMap;
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
    /// Calls a second that the platform list answers, from all processes together.
    #[serde(default = "default_worker_list_calls_per_s")]
    pub worker_list_calls_per_s: f64,
    /// Time from the moment at which the platform list shows a worker as leaving after which
    /// nothing new may reach it, milliseconds.
    #[serde(default = "default_leave_notice_ms")]
    pub leave_notice_ms: u64,
    /// Time for a planned stop, seconds.
    pub stop_s: f64,
    /// Part of a worker's slots up to which items of jobs begin there; calls count.
    #[serde(default = "default_batch_share")]
    pub batch_share: f64,
    /// The fleet's zones with the region of each. A zone that is not named is in no region, so
    /// that calls with homes don't go there.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Five of six slots. Slots that items leave free between bursts of calls are lost to them,
/// and items that are behind then keep their places in the next burst. On a fleet of 72
/// workers of 6 slots whose calls come in bursts, the worth of three days with faults rose
/// from 0.653, 0.696 and 0.705 with 0.75 to 0.748, 0.786 and 0.683; with 1.0, where each call
/// must wait for an item to give way, it was 0.738, 0.772 and 0.655. On three smaller fleets
/// the means of 5, 5 and 10 days are 0.792, 0.884, 0.686; 0.815, 0.888, 0.692; and 0.826,
/// 0.875, 0.676.
fn default_batch_share() -> f64 {
    0.84
}

/// Half of what the users' lists answer.
pub(super) fn default_worker_list_calls_per_s() -> f64 {
    20.0
}

/// The shortest that the users' deployments set.
pub(super) fn default_leave_notice_ms() -> u64 {
    3_000
}

/// Shortest notice that can be kept, milliseconds: the list is read once a second, and nodes
/// hear of each reading within half a second.
const LEAST_LEAVE_NOTICE_MS: u64 = 1_000;

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
        let rate = self.worker_list_calls_per_s;
        require(
            rate.is_finite() && rate > 0.0,
            "node.worker_list_calls_per_s",
            "must be above 0",
        )?;
        require(
            self.leave_notice_ms >= LEAST_LEAVE_NOTICE_MS,
            "node.leave_notice_ms",
            "must be at least 1000",
        )?;
        require(self.stop_s > 0.0, "node.stop_s", "must be above 0")
    }
}
