//! The bundle document: models, services, tenants, operators and policy.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterName, ModelName, OperatorName, ServiceName, TenantName};

/// A whole bundle.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Its number; each accepted bundle has the next one. 0 is the founding one.
    pub version: u64,
    /// Rules for the fleet as a whole.
    #[serde(default)]
    pub policy: Policy,
    /// Who may sign the next bundle.
    #[serde(default)]
    pub operators: BTreeMap<OperatorName, Operator>,
    /// Models that engines hold.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Model>,
    /// What callers ask for, and what backs it.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Who may call.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, Tenant>,
}

/// Rules for the fleet as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Distinct operators who must sign the next bundle.
    pub sign_offs: u32,
    /// How long a node may serve without confirming its bundle, milliseconds.
    pub configuration_lease_ms: u64,
    /// How long results stay readable after a job ended, hours.
    pub result_retention_hours: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            sign_offs: 1,
            configuration_lease_ms: 5_000,
            result_retention_hours: 72,
        }
    }
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Ed25519 public key, 64 hexadecimal digits.
    pub public_key: String,
}

/// A model as engines load it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its version.
    pub version: String,
    /// Path of its weights in the weight store.
    pub weights: String,
    /// Its adapters.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterName, Adapter>,
    /// How many engines hold it, by role.
    #[serde(default)]
    pub placement: WorkPlacement,
}

/// How many engines hold a model, by role. All 0: every engine, in role `both`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkPlacement {
    /// Engines that do prefill and decode.
    pub both: u32,
    /// Engines that only do prefill.
    pub prefill: u32,
    /// Engines that only decode.
    pub decode: u32,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its version.
    pub version: String,
    /// Path of its weights in the weight store.
    pub weights: String,
}

/// A service: what callers name as `model`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The model that answers.
    pub model: ModelName,
    /// An adapter of that model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The old script that takes a share of the traffic while the service moves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub script: Option<Script>,
    /// How online and batch share the engines.
    #[serde(default)]
    pub sharing: Sharing,
    /// Longest time for a whole online answer, milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest wait for a place at an engine, milliseconds.
    #[serde(default = "default_queue_ms")]
    pub queue_ms: u64,
    /// Requests that may wait at one node.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Retries allowed, as a share of fresh requests, per cent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
    /// Go on with the last bundle while cut off from control.
    #[serde(default)]
    pub serve_when_cut_off: bool,
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_queue_ms() -> u64 {
    2_000
}

fn default_queue_limit() -> u32 {
    512
}

fn default_retry_budget_percent() -> u32 {
    10
}

/// An old script and the share of a service's traffic that it takes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Where it listens.
    pub addresses: Vec<SocketAddr>,
    /// Share of the traffic, per cent; the rest goes to engines.
    pub share_percent: u32,
}

/// How online and batch share the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sharing {
    /// What weighs more: 1.0 only the online tail, 0.0 only batch throughput.
    pub tail_weight: f64,
    /// Most batch items in flight at one engine; 0 turns batch off.
    pub batch_window_limit: u32,
    /// Attempts of a batch item before it ends as failed.
    pub batch_attempts: u32,
}

impl Default for Sharing {
    fn default() -> Self {
        Self {
            tail_weight: 0.5,
            batch_window_limit: 32,
            batch_attempts: 8,
        }
    }
}

/// A tenant and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// SHA-256 of each bearer key, hexadecimal.
    pub key_hashes: Vec<String>,
    /// The services it may call.
    pub services: BTreeSet<ServiceName>,
    /// Online requests a second at one node.
    #[serde(default = "default_requests_per_second")]
    pub requests_per_second: f64,
    /// Online requests at once above that rate.
    #[serde(default = "default_burst")]
    pub burst: u32,
    /// Online requests in flight at one node.
    #[serde(default = "default_concurrent_requests")]
    pub concurrent_requests: u32,
    /// Batch items that may be open in one job group.
    #[serde(default = "default_open_batch_items")]
    pub open_batch_items: u32,
}

fn default_requests_per_second() -> f64 {
    100.0
}

fn default_burst() -> u32 {
    200
}

fn default_concurrent_requests() -> u32 {
    512
}

fn default_open_batch_items() -> u32 {
    1_000_000
}

impl Bundle {
    /// Parses a TOML document.
    ///
    /// # Errors
    /// The parser's message with line and column, for a wrong type, a missing
    /// or an unknown field.
    pub fn from_toml(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The bundle as a TOML document.
    ///
    /// # Errors
    /// Only for values that TOML can't hold; a checked bundle has none.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string_pretty(self)
    }
}
