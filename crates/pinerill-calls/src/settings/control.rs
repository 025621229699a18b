//! Settings of a control machine and their validation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pinerill_quota::limit::Tolerance;
use serde::Deserialize;

use super::node::{default_leave_notice_ms, default_worker_list_calls_per_s};
use super::{require, SettingsError};

/// Settings of a control machine; the section `[control]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the machine, unique in the cluster.
    pub name: String,
    /// Zone in which the machine runs.
    pub zone: String,
    /// Listen address for connections of nodes and other control machines.
    pub listen: SocketAddr,
    /// Address to which other processes connect if a proxy forwards connections to `listen`.
    /// `None` means that they connect to `listen`.
    pub advertise: Option<SocketAddr>,
    /// Listen address for requests of operators.
    pub operator_listen: SocketAddr,
    /// Listen address for metrics, liveness and readiness.
    pub admin: SocketAddr,
    /// Folder for all durable state.
    pub data_folder: PathBuf,
    /// Maximum size of the data folder in megabytes; 0 means no limit.
    #[serde(default)]
    pub disk_mb: u64,
    /// Addresses of some control machines. When the cluster is founded, they must be the addresses
    /// of all voters and identical on every machine.
    pub seeds: Vec<SocketAddr>,
    /// Port for connections to the seeds, which replaces the ports in `seeds`. `None` keeps the
    /// ports in `seeds`.
    pub seed_port: Option<u16>,
    /// Whether this start founds a new cluster whose voters are the machines in `seeds`. It must
    /// be true only at the first start, with empty data folders.
    #[serde(default)]
    pub found: bool,
    /// Number `n` of control machines that may fail at the same time. The replicated group has at
    /// least `2n + 1` voters, and up to `4n + 1` if there are enough machines.
    pub tolerated_losses: usize,
    /// Whether leases of items are divided among the tenants whose items wait.
    #[serde(default)]
    pub share_leases: bool,
    /// The platform's worker list.
    pub worker_list: WorkerListSettings,
    /// Time for which the results of a finished job can be read, in seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: f64,
    /// Tolerance of the tenants' request limits.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Tolerance of the rate limits of cold workers.
    #[serde(default)]
    pub slow_start: SlowStartSettings,
    /// Zones of the fleet, each with its region. If empty, evacuation orders for any zone are
    /// accepted.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Length of the window in which requests to a cold worker are counted, in milliseconds.
const SLOW_START_WINDOW_MS: u64 = 1_000;

/// Tolerance by which the requests per second to a cold worker, over all nodes, may exceed the
/// rate limit of its service; the section `[control.slow_start]`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartSettings {
    /// Tolerated rate as a multiple of the rate limit; at least 1.
    pub rate_factor: f64,
    /// Tolerated number of requests per second in addition to that rate.
    pub slack: f64,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        SlowStartSettings {
            rate_factor: 1.0,
            slack: 0.0,
        }
    }
}

impl SlowStartSettings {
    /// Returns the tolerance for the lender of request tokens.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window_ms: SLOW_START_WINDOW_MS,
            share: self.rate_factor - 1.0,
            requests: self.slack,
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let factor = self.rate_factor;
        let is_valid = factor.is_finite() && factor >= 1.0;
        require(
            is_valid,
            "control.slow_start.rate_factor",
            "must be at least 1",
        )?;
        let is_valid = self.slack.is_finite() && self.slack >= 0.0;
        require(is_valid, "control.slow_start.slack", "must not be negative")
    }
}

/// Minimum length of the quota window in seconds. It is twice the maximum time that a call waits
/// for its token, because the tolerance of a window must cover that delay.
const MIN_QUOTA_WINDOW_S: f64 = 1.0;

/// Tolerance by which the calls of a tenant, over all nodes, may exceed its limit; the section
/// `[control.quota]`. Within this tolerance, nodes hold tokens in advance of calls. With a
/// tolerance of zero, the effective limit is lower by the number of tokens that nodes hold.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Length of the window in seconds, at least 1. The bound applies to every span of this length.
    pub window_s: f64,
    /// Tolerated excess as a fraction of what the limit allows in a window.
    pub overage: f64,
    /// Tolerated excess in calls per window, in addition to `overage`.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            window_s: 5.0,
            overage: 0.1,
            slack: 0.0,
        }
    }
}

impl QuotaSettings {
    /// Returns the tolerance for the lender of request tokens.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window_ms: Duration::from_secs_f64(self.window_s).as_millis() as u64,
            share: self.overage,
            requests: self.slack,
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        let is_valid_window = is_valid(self.window_s) && self.window_s >= MIN_QUOTA_WINDOW_S;
        require(
            is_valid_window,
            "control.quota.window_s",
            "must be at least 1",
        )?;
        let message = "must not be negative";
        require(is_valid(self.overage), "control.quota.overage", message)?;
        require(is_valid(self.slack), "control.quota.slack", message)
    }
}

/// Address and polling of the platform's worker list; the section `[control.worker_list]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerListSettings {
    /// Address of the server that provides the list.
    pub address: SocketAddr,
    /// Interval between two reads of the whole list, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Maximum number of requests per second that the list accepts from all processes together.
    /// Because each page takes one request, a list of many pages is read less often than every
    /// `poll_ms`.
    #[serde(default = "default_worker_list_calls_per_s")]
    pub calls_per_s: f64,
    /// Time after the list first shows a worker as leaving from which on no new request may reach
    /// the worker, in milliseconds.
    #[serde(default = "default_leave_notice_ms")]
    pub leave_notice_ms: u64,
}

impl WorkerListSettings {
    /// Returns the maximum interval between two reads of the list, in milliseconds. It is half of
    /// the leave notice, so that nodes receive the result of a read before that of the previous
    /// read expires.
    pub fn max_poll_ms(&self) -> u64 {
        self.leave_notice_ms / 2
    }
}

fn default_retention_s() -> f64 {
    150.0
}

fn default_poll_ms() -> u64 {
    1_000
}

impl ControlSettings {
    /// Returns the minimum number of voters with which the replicated group tolerates the losses.
    pub fn min_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Returns the number of voters with which the group tolerates the losses while as many
    /// machines that failed earlier are still being replaced. A replacement takes as long as the
    /// transfer of a full snapshot.
    pub fn max_voters(&self) -> usize {
        4 * self.tolerated_losses + 1
    }

    /// Returns the address to which other processes connect.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the addresses of the seeds for connections within the cluster, with `seed_port`
    /// applied.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.seeds, self.seed_port)
    }

    pub(super) fn check(&self) -> Result<(), SettingsError> {
        require(!self.name.is_empty(), "control.name", "must not be empty")?;
        require(!self.seeds.is_empty(), "control.seeds", "must not be empty")?;
        let are_distinct = self.listen != self.operator_listen
            && self.listen != self.admin
            && self.operator_listen != self.admin;
        require(
            are_distinct,
            "control.listen",
            "listen, operator_listen and admin must differ",
        )?;
        self.quota.check()?;
        self.slow_start.check()?;
        let rate = self.worker_list.calls_per_s;
        require(
            rate.is_finite() && rate > 0.0,
            "control.worker_list.calls_per_s",
            "must be above 0",
        )?;
        require(
            self.worker_list.poll_ms > 0,
            "control.worker_list.poll_ms",
            "must be above 0",
        )
    }
}

/// Returns the addresses with their ports replaced by `port`, if one is given.
pub(super) fn with_port(addresses: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let port_of = |address: &SocketAddr| port.unwrap_or(address.port());
    addresses
        .iter()
        .map(|address| SocketAddr::new(address.ip(), port_of(address)))
        .collect()
}
