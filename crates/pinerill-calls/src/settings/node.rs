//! Settings of a node and their validation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use super::control::with_port;
use super::{require, SettingsError};

/// Settings of a node; the section `[node]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique in the cluster.
    pub name: String,
    /// Zone in which the node runs.
    pub zone: String,
    /// Listen address for calls.
    pub listen: SocketAddr,
    /// UDP listen address for messages of other nodes.
    pub peer_listen: SocketAddr,
    /// Listen address of the readiness probe.
    pub ready_listen: SocketAddr,
    /// Listen address for metrics, liveness and readiness.
    pub admin: SocketAddr,
    /// Addresses of some control machines.
    pub seeds: Vec<SocketAddr>,
    /// Port for connections to the seeds, which replaces the ports in `seeds`. `None` keeps the
    /// ports in `seeds`.
    pub seed_port: Option<u16>,
    /// Address of the platform's worker list, which the node reads while no control machine
    /// responds.
    pub worker_list: SocketAddr,
    /// Maximum number of requests per second that the worker list accepts from all processes
    /// together.
    #[serde(default = "default_worker_list_calls_per_s")]
    pub worker_list_calls_per_s: f64,
    /// Time after the worker list first shows a worker as leaving from which on no new request may
    /// reach the worker, in milliseconds.
    #[serde(default = "default_leave_notice_ms")]
    pub leave_notice_ms: u64,
    /// Maximum duration of a graceful shutdown, in seconds.
    pub stop_s: f64,
    /// Fraction of a worker's slots, from 0 to 1, up to which items of jobs are started on it.
    /// Slots in use by calls count as well.
    #[serde(default = "default_batch_share")]
    pub batch_share: f64,
    /// Whether tenants share slots while calls wait, if the route table has tenants: of the calls of
    /// one urgency class, those of tenants that use less than their share go first.
    #[serde(default)]
    pub share_slots: bool,
    /// Zones of the fleet, each with its region. The region of any other zone is unknown, so calls
    /// that are restricted to some regions are not sent there.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Returns five of six slots as a fraction. A lower fraction wastes the slots that items leave
/// free between bursts of calls, and items that are late for this reason keep their slots in the
/// next burst. With a fraction of 1, each call has to wait for an item to yield.
fn default_batch_share() -> f64 {
    0.84
}

/// Returns half of the request rate that the worker lists of the deployed platforms accept.
pub(super) fn default_worker_list_calls_per_s() -> f64 {
    20.0
}

/// Returns the shortest leave notice that deployments configure.
pub(super) fn default_leave_notice_ms() -> u64 {
    3_000
}

/// Minimum leave notice that can be met, in milliseconds. The worker list is read once a second,
/// and nodes receive the result of each read within half a second.
const MIN_LEAVE_NOTICE_MS: u64 = 1_000;

impl NodeSettings {
    /// Returns the addresses of the seeds for connections within the cluster, with `seed_port`
    /// applied.
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
            self.leave_notice_ms >= MIN_LEAVE_NOTICE_MS,
            "node.leave_notice_ms",
            "must be at least 1000",
        )?;
        require(self.stop_s > 0.0, "node.stop_s", "must be above 0")
    }
}
