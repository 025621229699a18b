//! Settings of a control machine.

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
    /// The machine's name, unique in the cluster.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for the cluster's own processes.
    pub listen: SocketAddr,
    /// Advertised address: where other machines are told to connect, when a
    /// proxy stands in front of `listen`. Without it they are told `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Address for metrics, liveness and readiness.
    pub admin: SocketAddr,
    /// Folder for all durable state.
    pub data_folder: PathBuf,
    /// Megabytes that the data folder may take; 0 for no bound.
    #[serde(default)]
    pub disk_mb: u64,
    /// Addresses of some control machines; at the founding, of all voters, the
    /// same on every machine.
    pub seeds: Vec<SocketAddr>,
    /// Port at which seeds listen for the cluster's own processes, where the
    /// addresses in `seeds` name another one.
    pub seed_port: Option<u16>,
    /// The cluster is being founded: those of `seeds` form it. True only at
    /// the first start, on empty data folders.
    #[serde(default)]
    pub found: bool,
    /// Machines whose loss at once must be borne. The group has at least twice as
    /// many voters and one, and up to four times as many and one where there are
    /// machines for it.
    pub tolerated_losses: usize,
    /// The platform list of workers.
    pub worker_list: WorkerListSettings,
    /// How long a finished job can be read, seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: f64,
    /// How far tenants' limits may be exceeded.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// How far the rate of workers that are still cold may be exceeded.
    #[serde(default)]
    pub slow_start: SlowStartSettings,
    /// The fleet's zones with the region of each. Where they are not named, an order about
    /// any zone is taken.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Window in which the requests to a cold worker are counted, milliseconds.
const SLOW_START_WINDOW_MS: u64 = 1_000;

/// How far the requests of a second to a worker that is still cold may exceed its service's
/// rate, over all nodes; the section `[control.slow_start]`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartSettings {
    /// Multiple of the rate.
    pub rate_factor: f64,
    /// Requests besides.
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
    /// The same for the lender.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window_ms: SLOW_START_WINDOW_MS,
            share: self.rate_factor - 1.0,
            requests: self.slack,
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let factor = self.rate_factor;
        let sound = factor.is_finite() && factor >= 1.0;
        require(
            sound,
            "control.slow_start.rate_factor",
            "must be at least 1",
        )?;
        let sound = self.slack.is_finite() && self.slack >= 0.0;
        require(sound, "control.slow_start.slack", "must not be negative")
    }
}

/// Shortest window in which limits can be kept, seconds: twice the time for which a call
/// may wait for its token, which the tolerance of a window must cover.
const LEAST_QUOTA_WINDOW_S: f64 = 1.0;

/// How far the calls of a tenant may exceed its limit, over all nodes; the section
/// `[control.quota]`. Nodes hold tokens ahead of calls within it; with none at all, limits
/// are kept lower by what they hold.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Every span of this length counts, seconds.
    pub window_s: f64,
    /// Part of what the limit allows in it.
    pub overage: f64,
    /// Calls in it besides.
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
    /// The same for the lender.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window_ms: Duration::from_secs_f64(self.window_s).as_millis() as u64,
            share: self.overage,
            requests: self.slack,
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let sound = |value: f64| value.is_finite() && value >= 0.0;
        let window = sound(self.window_s) && self.window_s >= LEAST_QUOTA_WINDOW_S;
        require(window, "control.quota.window_s", "must be at least 1")?;
        let message = "must not be negative";
        require(sound(self.overage), "control.quota.overage", message)?;
        require(sound(self.slack), "control.quota.slack", message)
    }
}

/// Where workers are listed, and how often it is asked.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerListSettings {
    /// Address of the list.
    pub address: SocketAddr,
    /// Pause between two readings of the whole list, milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Calls a second that the list answers, from all processes together. A list of many pages
    /// is read less often than each `poll_ms`.
    #[serde(default = "default_worker_list_calls_per_s")]
    pub calls_per_s: f64,
    /// Time from the moment at which the list shows a worker as leaving after which nothing
    /// new may reach it, milliseconds.
    #[serde(default = "default_leave_notice_ms")]
    pub leave_notice_ms: u64,
}

impl WorkerListSettings {
    /// Longest time between two readings, milliseconds: half of the notice, so that nodes hear
    /// of a reading before what they know by the one before runs out.
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
    /// Voters that the replicated group needs to bear the losses at all.
    pub fn min_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Voters with which it bears them while as many others, lost before, are
    /// being replaced: that takes as long as a whole state needs to be sent.
    pub fn max_voters(&self) -> usize {
        4 * self.tolerated_losses + 1
    }

    /// Address that other machines are told.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Internal addresses of the seeds.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.seeds, self.seed_port)
    }

    pub(super) fn check(&self) -> Result<(), SettingsError> {
        require(!self.name.is_empty(), "control.name", "must not be empty")?;
        require(!self.seeds.is_empty(), "control.seeds", "must not be empty")?;
        let differ = self.listen != self.operator_listen
            && self.listen != self.admin
            && self.operator_listen != self.admin;
        require(
            differ,
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

/// The addresses, with another port if one is given.
pub(super) fn with_port(addresses: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let port_of = |address: &SocketAddr| port.unwrap_or(address.port());
    addresses
        .iter()
        .map(|address| SocketAddr::new(address.ip(), port_of(address)))
        .collect()
}
