//! Settings of a process: one typed TOML file, overridden by the environment
//! and then by flags.

mod check;
mod example;
mod reading;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use figment::providers::{Env, Format, Serialized, Toml};
use figment::value::Value;
use figment::Figment;
use serde::{Deserialize, Serialize};

pub use crate::bundle::Problem;
use crate::id::{NodeName, ZoneName};
pub use check::check_settings;
pub use example::EXAMPLE;

/// Prefix of environment variables; `PINERILL_NODE__ZONE` sets `node.zone`.
pub const ENVIRONMENT_PREFIX: &str = "PINERILL_";
/// Stands between section and field. A variable without it is no setting:
/// `PINERILL_SETTINGS` and others are read by flags of the commands.
const ENVIRONMENT_SEPARATOR: &str = "__";

/// All settings of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What every process of the fleet knows.
    pub cluster: ClusterSettings,
    /// Of `pinerill control`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlSettings>,
    /// Of `pinerill node`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<NodeSettings>,
    /// Of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// What every process of the fleet knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// The cluster's name; a process of another cluster is refused.
    pub name: String,
    /// File with the cluster's secret key, 64 hexadecimal digits.
    pub key_file: PathBuf,
    /// Internal addresses of all control machines.
    pub controls: Vec<SocketAddr>,
}

/// Settings of a control machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name shown in logs and status.
    pub name: NodeName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Internal address; one of `cluster.controls`.
    pub listen: SocketAddr,
    /// Address of `/metrics`, `/livez` and `/readyz`.
    pub admin: SocketAddr,
    /// The one folder with files.
    pub data_folder: PathBuf,
    /// Address of the platform's list of machines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<SocketAddr>,
    /// Heartbeat of replicated groups, milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Shortest election timeout, milliseconds; the longest is twice that.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Log entries after which a group takes a snapshot.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: u64,
    /// Loads of weights that may run at once in the fleet.
    #[serde(default = "default_concurrent_loads")]
    pub concurrent_loads: u32,
}

fn default_heartbeat_ms() -> u64 {
    100
}

fn default_election_ms() -> u64 {
    600
}

fn default_snapshot_entries() -> u64 {
    10_000
}

fn default_concurrent_loads() -> u32 {
    4
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the cluster.
    pub name: NodeName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Zones whose workers it may use besides its own, nearest first.
    #[serde(default)]
    pub neighbours: Vec<ZoneName>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of `/metrics`, `/livez` and `/readyz`.
    pub admin: SocketAddr,
    /// Longest body of a request, KiB.
    #[serde(default = "default_body_limit_kib")]
    pub body_limit_kib: u64,
    /// Longest body of a batch, KiB.
    #[serde(default = "default_batch_limit_kib")]
    pub batch_limit_kib: u64,
    /// Most workers that the node keeps connections and reports of.
    #[serde(default = "default_worker_subset")]
    pub worker_subset: u32,
    /// Pause between two polls of a worker's load report, milliseconds.
    #[serde(default = "default_report_poll_ms")]
    pub report_poll_ms: u64,
    /// Longest planned stop, milliseconds; what is in flight then is cut.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

fn default_body_limit_kib() -> u64 {
    1_024
}

fn default_batch_limit_kib() -> u64 {
    64 * 1_024
}

fn default_worker_subset() -> u32 {
    48
}

fn default_report_poll_ms() -> u64 {
    500
}

fn default_drain_ms() -> u64 {
    60_000
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// Pause between two lines of counters, seconds.
    pub counters_seconds: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            counters_seconds: 10,
        }
    }
}

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file is missing or not TOML.
    #[error("settings {path}: {message}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reader's message.
        message: String,
    },
    /// Fields of a wrong name or type and values that can't work, all of them.
    #[error("settings {path}:\n{}", list(.problems))]
    Wrong {
        /// The file.
        path: PathBuf,
        /// All problems.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|one| format!("  {one}")).collect();
    lines.join("\n")
}

/// A value given by a flag, which goes before file and environment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Dotted path, such as `node.listen`.
    pub field: String,
    /// The value as text.
    pub value: String,
}

/// Reads, overrides and checks settings.
///
/// # Errors
/// [`SettingsError`] with every problem at once.
pub fn load(path: &Path, overrides: &[Override]) -> Result<Settings, SettingsError> {
    let unreadable = |message: String| SettingsError::Unreadable {
        path: path.to_owned(),
        message,
    };
    if !path.is_file() {
        return Err(unreadable("no such file".to_owned()));
    }
    let mut figment = Figment::new()
        .merge(Toml::file_exact(path))
        .merge(environment());
    for one in overrides {
        figment = figment.merge(Serialized::default(&one.field, parse_value(&one.value)));
    }
    let reading = reading::read(&figment).map_err(unreadable)?;
    let mut checked = check_settings(&reading.settings);
    checked.retain(|problem| reading.is_of_given_values(problem));
    let mut problems = reading.problems;
    problems.append(&mut checked);
    if problems.is_empty() {
        return Ok(reading.settings);
    }
    Err(SettingsError::Wrong {
        path: path.to_owned(),
        problems,
    })
}

fn environment() -> Env {
    Env::prefixed(ENVIRONMENT_PREFIX)
        .filter(|name| name.as_str().contains(ENVIRONMENT_SEPARATOR))
        .split(ENVIRONMENT_SEPARATOR)
}

/// A flag's value as a number, a list, … or else as text.
fn parse_value(text: &str) -> Value {
    match text.parse::<Value>() {
        Ok(value) => value,
        Err(never) => match never {},
    }
}
