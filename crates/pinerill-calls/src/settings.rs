//! Settings of processes that forward calls: one typed TOML file.

mod control;
mod node;

use std::path::PathBuf;

use pinerill_wire::connection::{ClusterKey, KeyError};
use serde::Deserialize;
use thiserror::Error;

pub use control::{ControlSettings, QuotaSettings, SlowStartSettings, WorkerListSettings};
pub use node::NodeSettings;

/// An example with every field that has no default, and the defaults.
pub const EXAMPLE: &str = include_str!("settings/example.toml");

/// All settings of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardingSettings {
    /// What every process knows.
    pub cluster: ClusterSettings,
    /// Of a control machine.
    pub control: Option<ControlSettings>,
    /// Of a node.
    pub node: Option<NodeSettings>,
    /// Of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// What every process knows.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// The cluster's name; a process of another cluster is refused.
    pub name: String,
    /// File with the cluster's secret key, 64 hexadecimal digits. Without one
    /// processes prove nothing to each other: only for a network that lets
    /// nobody else in.
    pub key_file: Option<PathBuf>,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: "info".to_owned(),
        }
    }
}

/// Settings that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file is no settings file.
    #[error("read settings: {0}")]
    Malformed(String),
    /// A section that the process needs is missing.
    #[error("settings: the section [{0}] is missing")]
    MissingSection(&'static str),
    /// A field has a value that can't be used.
    #[error("settings: {field}: {message}")]
    Field {
        /// The field with its section.
        field: &'static str,
        /// What is wrong.
        message: &'static str,
    },
}

impl ForwardingSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn read(text: &str) -> Result<Self, SettingsError> {
        let settings: ForwardingSettings =
            toml::from_str(text).map_err(|error| SettingsError::Malformed(error.to_string()))?;
        if let Some(control) = &settings.control {
            control.check()?;
        }
        if let Some(node) = &settings.node {
            node.check()?;
        }
        Ok(settings)
    }
}

/// The cluster's key.
///
/// # Errors
/// When its file can't be read.
pub fn cluster_key(cluster: &ClusterSettings) -> Result<ClusterKey, KeyError> {
    match &cluster.key_file {
        Some(path) => ClusterKey::load(path),
        None => Ok(ClusterKey::none()),
    }
}

fn require(holds: bool, field: &'static str, message: &'static str) -> Result<(), SettingsError> {
    match holds {
        true => Ok(()),
        false => Err(SettingsError::Field { field, message }),
    }
}
