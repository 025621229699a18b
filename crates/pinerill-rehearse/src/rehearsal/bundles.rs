//! The bundles of a preset.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pinerill_types::bundle::{
    Adapter, Bundle, Model, Script, Service, Sharing, Tenant, WorkPlacement,
};
use pinerill_types::{AdapterName, Digest, ModelName, ServiceName, TenantName};

use crate::preset::{Preset, VERSION};

/// Longest time for a whole online answer, milliseconds.
const DEADLINE_MS: u64 = 30_000;
/// Longest wait for a place at an engine, milliseconds.
const QUEUE_MS: u64 = 2_000;
/// Requests that may wait at one node.
const QUEUE_LIMIT: u32 = 2_048;
/// Retries allowed, per cent of fresh requests.
const RETRY_BUDGET_PERCENT: u32 = 10;
/// Limits of the tenant: above any load of the kit.
const REQUESTS_PER_SECOND: f64 = 10_000.0;
const CONCURRENT_REQUESTS: u32 = 10_000;
const OPEN_BATCH_ITEMS: u32 = 1_000_000;
/// Most batch items in flight at one engine.
const BATCH_WINDOW_LIMIT: u32 = 16;
/// Attempts of a batch item before it ends as failed.
const BATCH_ATTEMPTS: u32 = 16;
/// All of a service's traffic, per cent.
const ALL_PERCENT: u32 = 100;

/// The next bundle after `base`: the preset's models, services and tenant.
/// The service that moves has all its traffic at the old script.
pub fn first_bundle(base: &Bundle, preset: &Preset, script: SocketAddr, key: &str) -> Bundle {
    let mut bundle = next_version(base);
    bundle
        .models
        .insert(ModelName::from(preset.model), model(preset));
    let engines_only = service(preset, None, None);
    let moving = Script {
        addresses: vec![script],
        share_percent: ALL_PERCENT,
    };
    let scripted = service(preset, Some(preset.adapter), Some(moving));
    let services = &mut bundle.services;
    services.insert(ServiceName::from(preset.service), engines_only);
    services.insert(ServiceName::from(preset.script_service), scripted);
    bundle
        .tenants
        .insert(TenantName::from(preset.tenant), tenant(preset, key));
    bundle
}

/// The next bundle after `base`, with `share_percent` of the moving service's
/// traffic at the old script; none at 0, and the script leaves the bundle.
pub fn with_script_share(base: &Bundle, preset: &Preset, share_percent: u32) -> Bundle {
    let mut bundle = next_version(base);
    let name = ServiceName::from(preset.script_service);
    if let Some(service) = bundle.services.get_mut(&name) {
        match (&mut service.script, share_percent) {
            (script, 0) => *script = None,
            (Some(script), share) => script.share_percent = share,
            (None, _) => {}
        }
    }
    bundle
}

/// The next bundle after `base`, with another version of the preset's model.
pub fn with_model_version(base: &Bundle, preset: &Preset, version: &str) -> Bundle {
    let mut bundle = next_version(base);
    if let Some(model) = bundle.models.get_mut(&ModelName::from(preset.model)) {
        model.version = version.to_owned();
        model.weights = format!("{}/{version}", preset.model);
    }
    bundle
}

/// The next bundle after `base`, with the preset's model placed so.
pub fn with_placement(base: &Bundle, preset: &Preset, placement: WorkPlacement) -> Bundle {
    let mut bundle = next_version(base);
    if let Some(model) = bundle.models.get_mut(&ModelName::from(preset.model)) {
        model.placement = placement;
    }
    bundle
}

/// A copy of `base` under the next version.
pub fn next_version(base: &Bundle) -> Bundle {
    Bundle {
        version: base.version + 1,
        ..base.clone()
    }
}

fn model(preset: &Preset) -> Model {
    let adapter = Adapter {
        version: VERSION.to_owned(),
        weights: format!("{}/adapters/{}/{VERSION}", preset.model, preset.adapter),
    };
    Model {
        version: VERSION.to_owned(),
        weights: format!("{}/{VERSION}", preset.model),
        adapters: BTreeMap::from([(AdapterName::from(preset.adapter), adapter)]),
        placement: Default::default(),
    }
}

fn service(preset: &Preset, adapter: Option<&str>, script: Option<Script>) -> Service {
    Service {
        model: ModelName::from(preset.model),
        adapter: adapter.map(AdapterName::from),
        script,
        sharing: Sharing {
            tail_weight: preset.tail_weight,
            batch_window_limit: BATCH_WINDOW_LIMIT,
            batch_attempts: BATCH_ATTEMPTS,
        },
        deadline_ms: DEADLINE_MS,
        queue_ms: QUEUE_MS,
        queue_limit: QUEUE_LIMIT,
        retry_budget_percent: RETRY_BUDGET_PERCENT,
        serve_when_cut_off: false,
    }
}

fn tenant(preset: &Preset, key: &str) -> Tenant {
    let services = [preset.service, preset.script_service];
    Tenant {
        key_hashes: vec![Digest::of(key.as_bytes()).to_string()],
        services: services.into_iter().map(ServiceName::from).collect(),
        requests_per_second: REQUESTS_PER_SECOND,
        burst: CONCURRENT_REQUESTS,
        concurrent_requests: CONCURRENT_REQUESTS,
        open_batch_items: OPEN_BATCH_ITEMS,
    }
}
