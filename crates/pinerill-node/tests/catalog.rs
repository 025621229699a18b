//! Guards against a catalog that, after incremental changes, differs from one
//! derived from the whole bundle, and against a rejected change that alters it.

use std::sync::Arc;

use pinerill_node::configuration::{Catalog, ConfigurationState, WatchOutcome};
use pinerill_types::bundle::{Bundle, Model, Service, Tenant};
use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::codec::EncodedBundle;
use pinerill_wire::message::{BundleUpdate, WatchResponse};
use sha2::{Digest, Sha256};

fn model(version: &str) -> Model {
    let json = serde_json::json!({ "version": version, "weights": "w" });
    serde_json::from_value(json).expect("a model")
}

fn service() -> Service {
    serde_json::from_value(serde_json::json!({ "model": "fanar-8b" })).expect("a service")
}

fn tenant(keys: &[&str]) -> Tenant {
    let hashes: Vec<String> = keys
        .iter()
        .map(|key| hex::encode(Sha256::digest(key.as_bytes())))
        .collect();
    let json = serde_json::json!({ "key_hashes": hashes, "services": ["fanar"] });
    serde_json::from_value(json).expect("a tenant")
}

fn initial_bundle() -> Bundle {
    let mut bundle = Bundle {
        version: 1,
        ..Bundle::default()
    };
    bundle.models.insert("fanar-8b".into(), model("1"));
    bundle.services.insert("fanar".into(), service());
    bundle.tenants.insert("desk".into(), tenant(&["k1", "k2"]));
    bundle
}

fn snapshot_response(bundle: &Bundle) -> WatchResponse {
    WatchResponse {
        confirmed: true,
        version: bundle.version,
        bundle: Some(BundleUpdate::Snapshot(EncodedBundle::from(bundle))),
        directory: None,
    }
}

fn change_response(base: &Bundle, next: &Bundle) -> WatchResponse {
    WatchResponse {
        confirmed: true,
        version: next.version,
        bundle: Some(BundleUpdate::Changes(vec![next.change_from(base)])),
        directory: None,
    }
}

fn tenant_name_of_key(state: &ConfigurationState, key: &str) -> Option<TenantName> {
    let catalog = state.catalog().expect("a bundle is in force");
    let tenant = catalog.tenant_of_key(key)?;
    Some(tenant.name.clone())
}

fn engine_model(catalog: &Catalog) -> &str {
    let service = ServiceName::from("fanar");
    &catalog.service(&service).expect("a service").model
}

#[test]
fn a_key_reassigned_in_one_change_belongs_to_the_new_tenant() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot_response(&initial_bundle()));
    let mut next = initial_bundle();
    next.version = 2;
    next.tenants.insert("desk".into(), tenant(&["k1"]));
    next.tenants.insert("crew".into(), tenant(&["k2"]));
    let taken = state.apply_response(0, &change_response(&initial_bundle(), &next));
    assert_eq!(
        taken,
        WatchOutcome::Changed {
            from: Some(1),
            to: 2
        }
    );
    assert_eq!(tenant_name_of_key(&state, "k1"), Some("desk".into()));
    assert_eq!(tenant_name_of_key(&state, "k2"), Some("crew".into()));
}

#[test]
fn the_key_of_a_removed_tenant_is_unknown() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot_response(&initial_bundle()));
    let mut next = initial_bundle();
    next.version = 2;
    next.tenants.remove(&TenantName::from("desk"));
    state.apply_response(0, &change_response(&initial_bundle(), &next));
    assert_eq!(tenant_name_of_key(&state, "k1"), None);
}

#[test]
fn tenants_with_equal_services_share_one_set() {
    let mut bundle = initial_bundle();
    bundle.tenants.insert("crew".into(), tenant(&["k3"]));
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot_response(&bundle));
    let mut next = bundle.clone();
    next.version = 2;
    next.tenants.insert("van".into(), tenant(&["k4"]));
    state.apply_response(0, &change_response(&bundle, &next));
    let catalog = state.catalog().expect("a bundle is in force");
    let services = |key: &str| {
        let tenant = catalog.tenant_of_key(key).expect("a tenant");
        tenant.services.clone()
    };
    assert!(Arc::ptr_eq(&services("k1"), &services("k3")));
    assert!(Arc::ptr_eq(&services("k1"), &services("k4")));
}

#[test]
fn a_new_model_version_updates_the_services_of_the_model() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot_response(&initial_bundle()));
    let mut next = initial_bundle();
    next.version = 2;
    next.models.insert("fanar-8b".into(), model("2"));
    state.apply_response(0, &change_response(&initial_bundle(), &next));
    let catalog = state.catalog().expect("a bundle is in force");
    assert_eq!(engine_model(catalog), "fanar-8b@2");
    assert_eq!(catalog.digest, next.digest());
}

#[test]
fn a_change_with_a_wrong_digest_is_rejected_and_a_snapshot_requested() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot_response(&initial_bundle()));
    let mut next = initial_bundle();
    next.version = 2;
    next.tenants.insert("crew".into(), tenant(&["k3"]));
    let mut wrong = change_response(&initial_bundle(), &next);
    if let Some(BundleUpdate::Changes(changes)) = &mut wrong.bundle {
        changes[0].digest = initial_bundle().digest();
    }
    assert!(matches!(
        state.apply_response(0, &wrong),
        WatchOutcome::Invalid(_)
    ));
    assert_eq!(tenant_name_of_key(&state, "k3"), None);
    assert_eq!(state.watch_base(), (1, Default::default()));
    state.apply_response(0, &snapshot_response(&next));
    assert_eq!(tenant_name_of_key(&state, "k3"), Some("crew".into()));
    assert_eq!(state.watch_base(), (2, next.digest()));
}
