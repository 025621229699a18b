//! Settings of nodes and control machines, read from a TOML file.
//!
//! Unknown fields and invalid values are rejected, so that a mistyped setting is never ignored.

mod control;
mod node;

use std::path::PathBuf;

use pinerill_wire::connection::{ClusterKey, KeyError};
use serde::Deserialize;
use thiserror::Error;

pub use control::{ControlSettings, QuotaSettings, SlowStartSettings, WorkerListSettings};
pub use node::NodeSettings;

/// Example settings file. It contains every required field and the optional fields with their
/// default values.
pub const EXAMPLE: &str = include_str!("settings/example.toml");

/// Contents of a settings file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardingSettings {
    /// Settings that all processes of a cluster share.
    pub cluster: ClusterSettings,
    /// Settings of a control machine; `None` if the file lacks the section `[control]`.
    pub control: Option<ControlSettings>,
    /// Settings of a node; `None` if the file lacks the section `[node]`.
    pub node: Option<NodeSettings>,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings that all processes of a cluster share; the section `[cluster]`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Name of the cluster. Connections from processes of another cluster are rejected.
    pub name: String,
    /// File with the secret key of the cluster, 64 hexadecimal digits. Without a key, processes
    /// do not authenticate each other, which is safe only in a network that is closed to others.
    pub key_file: Option<PathBuf>,
}

/// Settings of the log; the section `[log]`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: "info".to_owned(),
        }
    }
}

/// Error of a settings file that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file is not valid TOML, or its fields do not match the settings.
    #[error("read settings: {0}")]
    Malformed(String),
    /// The file lacks the section with this name, which the process needs.
    #[error("settings: the section [{0}] is missing")]
    MissingSection(&'static str),
    /// A field has an invalid value.
    #[error("settings: {field}: {message}")]
    Field {
        /// Path of the field, which begins with its section.
        field: &'static str,
        /// Requirement that the value does not meet.
        message: &'static str,
    },
}

impl ForwardingSettings {
    /// Parses the text of a settings file and validates it.
    ///
    /// # Errors
    /// Returns the first fault that is found.
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

/// Loads the secret key of the cluster, or returns the empty key if no key file is set.
///
/// # Errors
/// Returns an error if the key file can't be read or does not contain a key.
pub fn cluster_key(cluster: &ClusterSettings) -> Result<ClusterKey, KeyError> {
    match &cluster.key_file {
        Some(path) => ClusterKey::load(path),
        None => Ok(ClusterKey::none()),
    }
}

fn require(
    condition: bool,
    field: &'static str,
    message: &'static str,
) -> Result<(), SettingsError> {
    match condition {
        true => Ok(()),
        false => Err(SettingsError::Field { field, message }),
    }
}
