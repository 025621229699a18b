//! What engines say of themselves and what they are told, as published in
//! `docs/PROTOCOLS.md`.

use pinerill_types::{AdapterName, Fence, ModelName};
use serde::{Deserialize, Serialize};

/// What an engine may be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Only prefill.
    Prefill,
    /// Only decode.
    Decode,
}

/// Whether a model can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Its weights are on the way.
    Loading,
    /// It serves.
    Ready,
}

/// An adapter that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// Its name.
    pub name: AdapterName,
    /// Its version.
    pub version: String,
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// Its name.
    pub name: ModelName,
    /// Its version.
    pub version: String,
    /// Its adapters.
    #[serde(default)]
    pub adapters: Vec<HeldAdapter>,
    /// Whether it can serve.
    pub state: LoadState,
}

/// Answer to `GET /engines/{e}/v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Random number of this start of the engine.
    pub incarnation: u64,
    /// Its role.
    pub role: EngineRole,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Newest fence that it has seen.
    #[serde(default)]
    pub fence: Fence,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Fetch a model's weights and serve it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
        /// Path in the weight store.
        weights: String,
    },
    /// Let a model go.
    UnloadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
    },
    /// Fetch an adapter.
    LoadAdapter {
        /// The model it belongs to.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Its version.
        version: String,
        /// Path in the weight store.
        weights: String,
    },
    /// Let an adapter go.
    UnloadAdapter {
        /// The model it belongs to.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change the role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// Body of `POST /engines/{e}/v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Older ones are refused.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}
