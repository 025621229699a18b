//! The catalog follows changes as if it were derived anew, and a change that
//! does not fit leaves it as it was.

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

fn first() -> Bundle {
    let mut bundle = Bundle {
        version: 1,
        ..Bundle::default()
    };
    bundle.models.insert("fanar-8b".into(), model("1"));
    bundle.services.insert("fanar".into(), service());
    bundle.tenants.insert("desk".into(), tenant(&["k1", "k2"]));
    bundle
}

fn snapshot(bundle: &Bundle) -> WatchResponse {
    WatchResponse {
        confirmed: true,
        version: bundle.version,
        bundle: Some(BundleUpdate::Snapshot(EncodedBundle::from(bundle))),
        directory: None,
    }
}

fn change(base: &Bundle, next: &Bundle) -> WatchResponse {
    WatchResponse {
        confirmed: true,
        version: next.version,
        bundle: Some(BundleUpdate::Changes(vec![next.change_from(base)])),
        directory: None,
    }
}

fn owner(state: &ConfigurationState, key: &str) -> Option<TenantName> {
    let catalog = state.catalog().expect("a bundle is in force");
    let tenant = catalog.tenant_of_key(key)?;
    Some(tenant.name.clone())
}

fn engine_model(catalog: &Catalog) -> &str {
    let service = ServiceName::from("fanar");
    &catalog.service(&service).expect("a service").model
}

#[test]
fn a_key_that_moves_between_tenants_belongs_to_the_new_one() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot(&first()));
    let mut next = first();
    next.version = 2;
    next.tenants.insert("desk".into(), tenant(&["k1"]));
    next.tenants.insert("crew".into(), tenant(&["k2"]));
    let taken = state.apply_response(0, &change(&first(), &next));
    assert_eq!(
        taken,
        WatchOutcome::Changed {
            from: Some(1),
            to: 2
        }
    );
    assert_eq!(owner(&state, "k1"), Some("desk".into()));
    assert_eq!(owner(&state, "k2"), Some("crew".into()));
}

#[test]
fn a_removed_tenant_is_not_let_in() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot(&first()));
    let mut next = first();
    next.version = 2;
    next.tenants.remove(&TenantName::from("desk"));
    state.apply_response(0, &change(&first(), &next));
    assert_eq!(owner(&state, "k1"), None);
}

#[test]
fn tenants_with_the_same_services_share_them() {
    let mut bundle = first();
    bundle.tenants.insert("crew".into(), tenant(&["k3"]));
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot(&bundle));
    let mut next = bundle.clone();
    next.version = 2;
    next.tenants.insert("van".into(), tenant(&["k4"]));
    state.apply_response(0, &change(&bundle, &next));
    let catalog = state.catalog().expect("a bundle is in force");
    let services = |key: &str| {
        let tenant = catalog.tenant_of_key(key).expect("a tenant");
        tenant.services.clone()
    };
    assert!(Arc::ptr_eq(&services("k1"), &services("k3")));
    assert!(Arc::ptr_eq(&services("k1"), &services("k4")));
}

#[test]
fn a_new_model_version_reaches_its_services() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot(&first()));
    let mut next = first();
    next.version = 2;
    next.models.insert("fanar-8b".into(), model("2"));
    state.apply_response(0, &change(&first(), &next));
    let catalog = state.catalog().expect("a bundle is in force");
    assert_eq!(engine_model(catalog), "fanar-8b@2");
    assert_eq!(catalog.digest, next.digest());
}

#[test]
fn a_change_with_another_result_is_left_out_and_a_snapshot_is_asked_for() {
    let mut state = ConfigurationState::default();
    state.apply_response(0, &snapshot(&first()));
    let mut next = first();
    next.version = 2;
    next.tenants.insert("crew".into(), tenant(&["k3"]));
    let mut wrong = change(&first(), &next);
    if let Some(BundleUpdate::Changes(changes)) = &mut wrong.bundle {
        changes[0].digest = first().digest();
    }
    assert!(matches!(
        state.apply_response(0, &wrong),
        WatchOutcome::Invalid(_)
    ));
    assert_eq!(owner(&state, "k3"), None);
    assert_eq!(state.watch_base(), (1, Default::default()));
    state.apply_response(0, &snapshot(&next));
    assert_eq!(owner(&state, "k3"), Some("crew".into()));
    assert_eq!(state.watch_base(), (2, next.digest()));
}
