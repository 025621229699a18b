//! Fenced orders to an engine, and the loads they start.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use log::warn;
use serde::{Deserialize, Serialize};

use super::catalog::{Catalog, Fence, FenceVerdict, LoadState, Role, VersionedName};
use super::host::EngineHost;
use super::Worker;

/// Time before a fetch that failed is tried again, without a `Retry-After`.
const FETCH_RETRY: Duration = Duration::from_millis(500);

/// An order with its fence.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fence of the order.
    pub fence: Fence,
    /// What to do.
    pub order: Order,
}

/// What an engine is to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version.
        version: String,
        /// Path in the weight store.
        weights: String,
    },
    /// Unload a version of a model.
    UnloadModel {
        /// Name of the model.
        model: String,
        /// Version.
        version: String,
    },
    /// Load a version of an adapter.
    LoadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
        /// Version.
        version: String,
        /// Path in the weight store.
        weights: String,
    },
    /// Unload all versions of an adapter.
    UnloadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// The new role.
        role: Role,
    },
}

/// What is being loaded.
#[derive(Clone, Debug)]
enum Load {
    Model(VersionedName),
    Adapter(String, VersionedName),
}

impl Load {
    fn set_state(&self, catalog: &mut Catalog, state: LoadState) {
        match self {
            Self::Model(name) => {
                catalog.models.insert(name.clone(), state);
            }
            Self::Adapter(model, name) => {
                let key = (model.clone(), name.clone());
                catalog.adapters.insert(key, state);
            }
        }
    }

    /// Ready, unless it was unloaded meanwhile.
    fn finish(&self, catalog: &mut Catalog) {
        let there = match self {
            Self::Model(name) => catalog.models.contains_key(name),
            Self::Adapter(model, name) => {
                let key = (model.clone(), name.clone());
                catalog.adapters.contains_key(&key)
            }
        };
        if there {
            self.set_state(catalog, LoadState::Ready);
        }
    }
}

/// Carries an order out unless its fence forbids it.
pub fn apply(worker: &Arc<Worker>, engine: &Arc<EngineHost>, order: FencedOrder) -> FenceVerdict {
    let load = engine.with_catalog(|catalog| {
        let verdict = catalog.check_fence(order.fence);
        let load = match verdict {
            FenceVerdict::New => change(catalog, order.order),
            FenceVerdict::Repeated | FenceVerdict::Stale(_) => None,
        };
        (verdict, load)
    });
    let (verdict, load) = load;
    if let Some((load, weights)) = load {
        tokio::spawn(fetch(worker.clone(), engine.clone(), load, weights));
    }
    verdict
}

fn change(catalog: &mut Catalog, order: Order) -> Option<(Load, String)> {
    match order {
        Order::LoadModel {
            model,
            version,
            weights,
        } => {
            let name = VersionedName {
                name: model,
                version,
            };
            let absent = !catalog.models.contains_key(&name);
            absent.then(|| begin_load(catalog, Load::Model(name), weights))
        }
        Order::LoadAdapter {
            model,
            adapter,
            version,
            weights,
        } => {
            let name = VersionedName {
                name: adapter,
                version,
            };
            let absent = !catalog
                .adapters
                .contains_key(&(model.clone(), name.clone()));
            absent.then(|| begin_load(catalog, Load::Adapter(model, name), weights))
        }
        Order::UnloadModel { model, version } => {
            let name = VersionedName {
                name: model,
                version,
            };
            catalog.models.remove(&name);
            None
        }
        Order::UnloadAdapter { model, adapter } => {
            catalog
                .adapters
                .retain(|(owner, name), _| *owner != model || name.name != adapter);
            None
        }
        Order::SetRole { role } => {
            catalog.role = role;
            None
        }
    }
}

fn begin_load(catalog: &mut Catalog, load: Load, weights: String) -> (Load, String) {
    load.set_state(catalog, LoadState::Loading);
    (load, weights)
}

async fn fetch(worker: Arc<Worker>, engine: Arc<EngineHost>, load: Load, weights: String) {
    match worker.arguments.weights {
        Some(store) => {
            let url = format!("http://{store}/weights/{}", weights.trim_start_matches('/'));
            while let Err(wait) = fetch_once(&worker.client, &url).await {
                tokio::time::sleep(wait).await;
            }
        }
        None => tokio::time::sleep(Duration::from_millis(worker.arguments.load_ms)).await,
    }
    engine.with_catalog(|catalog| load.finish(catalog));
}

/// Fetches a whole body; the error is the time to wait before the next try.
async fn fetch_once(client: &reqwest::Client, url: &str) -> Result<(), Duration> {
    let response = client.get(url).send().await.map_err(|error| {
        warn!("fetching weights from {url}: {error}");
        FETCH_RETRY
    })?;
    if !response.status().is_success() {
        return Err(retry_after(&response));
    }
    let mut body = response.bytes_stream();
    while let Some(part) = body.next().await {
        part.map_err(|_| FETCH_RETRY)?;
    }
    Ok(())
}

fn retry_after(response: &reqwest::Response) -> Duration {
    let header = response.headers().get("Retry-After");
    let seconds = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    seconds.map_or(FETCH_RETRY, Duration::from_secs)
}
