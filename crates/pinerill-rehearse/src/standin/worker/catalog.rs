//! Models, adapters and role of one engine, and the fence of its orders.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use anyhow::Context;
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

use crate::answer::without_version;

/// A name with a version, written `name@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionedName {
    /// The name.
    pub name: String,
    /// The version.
    pub version: String,
}

impl FromStr for VersionedName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (name, version) = text.split_once('@').context("want name@version")?;
        Ok(Self {
            name: name.to_string(),
            version: version.to_string(),
        })
    }
}

impl fmt::Display for VersionedName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.version)
    }
}

/// An adapter of a model, written `model/name@version`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterName {
    /// Name of the model.
    pub model: String,
    /// Name and version of the adapter.
    pub adapter: VersionedName,
}

impl FromStr for AdapterName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (model, adapter) = text.split_once('/').context("want model/name@version")?;
        Ok(Self {
            model: model.to_string(),
            adapter: adapter.parse()?,
        })
    }
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    Both,
    /// Only requests with one token left.
    Prefill,
    /// Meant for requests with imported prefills; takes others too.
    Decode,
}

/// Fence of an order; later ones compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub term: u64,
    /// Number of the order in its term.
    pub sequence: u64,
}

/// State of a model or adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Its weights are being fetched.
    Loading,
    /// It serves.
    Ready,
}

/// Why the catalog refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogRefusal {
    /// The model or adapter is not there.
    ModelNotLoaded,
    /// The model or adapter is being loaded.
    Loading,
    /// The role doesn't allow it.
    WrongRole,
}

/// What a fence says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceVerdict {
    /// Newer than all before: carry it out.
    New,
    /// The newest one again: nothing to do.
    Repeated,
    /// Older than the newest, which is given.
    Stale(Fence),
}

/// Models, adapters and role of one engine.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Models by name and version.
    pub models: BTreeMap<VersionedName, LoadState>,
    /// Adapters by model, then name and version.
    pub adapters: BTreeMap<(String, VersionedName), LoadState>,
    /// Role.
    pub role: Role,
    /// Newest fence seen.
    pub fence: Fence,
}

impl Catalog {
    /// A catalog in which all given are ready.
    pub fn new(models: &[VersionedName], adapters: &[AdapterName], role: Role) -> Self {
        let ready_models = models.iter().cloned().map(|name| (name, LoadState::Ready));
        let ready_adapters = adapters.iter().map(|adapter| {
            let key = (adapter.model.clone(), adapter.adapter.clone());
            (key, LoadState::Ready)
        });
        Self {
            models: ready_models.collect(),
            adapters: ready_adapters.collect(),
            role,
            fence: Fence::default(),
        }
    }

    /// Compares an order's fence with the newest and remembers it.
    pub fn check_fence(&mut self, fence: Fence) -> FenceVerdict {
        if fence < self.fence {
            return FenceVerdict::Stale(self.fence);
        }
        if fence == self.fence {
            return FenceVerdict::Repeated;
        }
        self.fence = fence;
        FenceVerdict::New
    }

    /// Checks whether a request can run: `model` and `adapter` with or without
    /// a version, `tokens_left` to generate.
    pub fn check(
        &self,
        model: &str,
        adapter: &str,
        tokens_left: u32,
    ) -> Result<(), CatalogRefusal> {
        if self.role == Role::Prefill && tokens_left > 1 {
            return Err(CatalogRefusal::WrongRole);
        }
        best_state(self.models.iter(), model)?;
        if adapter.is_empty() {
            return Ok(());
        }
        let of_model = self
            .adapters
            .iter()
            .filter(|((owner, _), _)| owner == without_version(model))
            .map(|((_, name), state)| (name, state));
        best_state(of_model, adapter)
    }
}

fn best_state<'a>(
    entries: impl Iterator<Item = (&'a VersionedName, &'a LoadState)>,
    wanted: &str,
) -> Result<(), CatalogRefusal> {
    let mut refusal = CatalogRefusal::ModelNotLoaded;
    for (name, state) in entries {
        let named = name.name == wanted || name.to_string() == wanted;
        match state {
            LoadState::Ready if named => return Ok(()),
            LoadState::Loading if named => refusal = CatalogRefusal::Loading,
            _ => {}
        }
    }
    Err(refusal)
}
