//! A bundle changed in place is the same as one computed anew.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_types::bundle::{
    check_bundle, Adapter, Bundle, BundleChange, ChangeError, Entry, EntryIndex, EntryKey,
    EntryKind, IndexedBundle, Model, Operator, Service, Tenant, WorkPlacement,
};
use pinerill_types::{Digest, ModelName, ServiceName, TenantName};
use proptest::prelude::*;

fn model(version: u8) -> Model {
    let adapter = Adapter {
        version: "1".to_owned(),
        weights: "adapter".to_owned(),
    };
    Model {
        version: version.to_string(),
        weights: "weights".to_owned(),
        adapters: BTreeMap::from([("tickets".into(), adapter)]),
        placement: WorkPlacement::default(),
    }
}

fn service(model: u8, adapter: bool) -> Service {
    let json = serde_json::json!({ "model": format!("model-{model}") });
    let mut service: Service = serde_json::from_value(json).unwrap();
    service.adapter = adapter.then(|| "tickets".into());
    service
}

fn tenant(services: &BTreeSet<u8>, burst: u32) -> Tenant {
    let names: Vec<String> = services
        .iter()
        .map(|one| format!("service-{one}"))
        .collect();
    let json = serde_json::json!({ "key_hashes": [], "services": names, "burst": burst });
    serde_json::from_value(json).unwrap()
}

/// One edit of the next bundle.
#[derive(Debug, Clone)]
enum Edit {
    Model(u8, Option<u8>),
    Service(u8, Option<(u8, bool)>),
    Tenant(u8, Option<(BTreeSet<u8>, u32)>),
}

fn edit() -> impl Strategy<Value = Edit> {
    let services = proptest::collection::btree_set(0u8..4, 0..3);
    prop_oneof![
        (0u8..3, proptest::option::weighted(0.8, 0u8..3)).prop_map(|(n, v)| Edit::Model(n, v)),
        (
            0u8..4,
            proptest::option::weighted(0.8, (0u8..3, any::<bool>()))
        )
            .prop_map(|(n, v)| Edit::Service(n, v)),
        (
            any::<u8>(),
            proptest::option::weighted(0.8, (services, 0u32..9))
        )
            .prop_map(|(n, v)| Edit::Tenant(n, v)),
    ]
}

fn apply_edit(bundle: &mut Bundle, edit: &Edit) {
    match edit {
        Edit::Model(number, value) => {
            let name = ModelName(format!("model-{number}"));
            match value {
                Some(version) => drop(bundle.models.insert(name, model(*version))),
                None => drop(bundle.models.remove(&name)),
            }
        }
        Edit::Service(number, value) => {
            let name = ServiceName(format!("service-{number}"));
            match value {
                Some((to, adapter)) => drop(bundle.services.insert(name, service(*to, *adapter))),
                None => drop(bundle.services.remove(&name)),
            }
        }
        Edit::Tenant(number, value) => {
            let name = TenantName(format!("tenant-{number}"));
            match value {
                Some((to, burst)) => drop(bundle.tenants.insert(name, tenant(to, *burst))),
                None => drop(bundle.tenants.remove(&name)),
            }
        }
    }
}

fn founding() -> Bundle {
    let mut bundle = Bundle::default();
    let operator = Operator {
        public_key: "0".repeat(64),
    };
    bundle.operators.insert("anna".into(), operator);
    bundle
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn changed_in_place_equals_computed_anew(
        rounds in proptest::collection::vec(proptest::collection::vec(edit(), 1..6), 1..12)
    ) {
        let mut base = founding();
        let mut indexed = IndexedBundle::new(base.clone());
        let mut index = EntryIndex::new(&base);
        for edits in rounds {
            let mut next = base.clone();
            next.version += 1;
            edits.iter().for_each(|edit| apply_edit(&mut next, edit));
            let change = next.change_from(&base);
            let wrong = !check_bundle(&next).is_empty();
            match indexed.apply_checked(&change) {
                Ok(()) => {
                    prop_assert!(!wrong);
                    prop_assert_eq!(index.apply(&change), Ok(()));
                    base = next;
                }
                Err(ChangeError::Wrong { .. }) => prop_assert!(wrong),
                Err(error) => prop_assert!(false, "{}", error),
            }
            prop_assert_eq!(indexed.bundle(), &base);
            prop_assert_eq!(indexed.digest(), base.digest());
            prop_assert_eq!(index.digest(), base.digest());
            prop_assert_eq!(index.version(), base.version);
        }
    }
}

fn tenant_entry(value: &str) -> Entry {
    Entry {
        key: EntryKey {
            kind: EntryKind::Tenant,
            name: "lumadar".to_owned(),
        },
        value: value.to_owned(),
    }
}

fn assert_refused_and_unchanged(change: BundleChange) -> ChangeError {
    let mut indexed = IndexedBundle::new(founding());
    let before = indexed.digest();
    let error = indexed.apply(&change).unwrap_err();
    assert_eq!(indexed.bundle(), &founding());
    assert_eq!(indexed.digest(), before);
    assert_eq!(indexed.bundle().digest(), before);
    let mut index = EntryIndex::new(&founding());
    assert_eq!(index.apply(&change).unwrap_err(), error);
    assert_eq!(index.digest(), before);
    // Nothing of the refused change is left in the tree.
    let mut next = founding();
    next.version = 1;
    let right = next.change_from(&founding());
    assert_eq!(index.apply(&right), Ok(()));
    error
}

#[test]
fn other_base_is_refused() {
    let mut next = founding();
    next.version = 1;
    let mut change = next.change_from(&founding());
    change.base = Digest::default();
    let error = assert_refused_and_unchanged(change);
    assert!(matches!(error, ChangeError::OtherBase { .. }));
}

#[test]
fn other_result_is_refused() {
    let mut next = founding();
    next.version = 1;
    let mut change = next.change_from(&founding());
    change
        .set
        .push(tenant_entry(r#"{"key_hashes":[],"services":[]}"#));
    let error = assert_refused_and_unchanged(change);
    assert!(matches!(error, ChangeError::OtherResult { .. }));
}

#[test]
fn unknown_field_is_refused() {
    let mut next = founding();
    next.version = 1;
    let mut change = next.change_from(&founding());
    change
        .set
        .push(tenant_entry(r#"{"key_hashes":[],"colour":1}"#));
    let error = assert_refused_and_unchanged(change);
    assert!(matches!(error, ChangeError::Entry { .. }));
}

#[test]
fn policy_under_a_name_is_refused() {
    let mut next = founding();
    next.version = 1;
    let mut change = next.change_from(&founding());
    change.set.push(Entry {
        key: EntryKey {
            kind: EntryKind::Policy,
            name: "second".to_owned(),
        },
        value: r#"{"sign_offs":0}"#.to_owned(),
    });
    let error = assert_refused_and_unchanged(change);
    assert!(matches!(error, ChangeError::Entry { .. }));
}

#[test]
fn composed_change_leads_to_the_same_bundle_elsewhere() {
    let founding = pinerill_types::bundle::Bundle::default();
    let mut here = IndexedBundle::new(founding.clone());
    let mut there = IndexedBundle::new(founding);
    let entry = pinerill_types::bundle::Entry {
        key: pinerill_types::bundle::EntryKey {
            kind: pinerill_types::bundle::EntryKind::Tenant,
            name: "crew".to_owned(),
        },
        value: "{\"key_hashes\":[],\"services\":[]}".to_owned(),
    };
    let change = here.compose(vec![entry]).expect("a tenant");
    there.apply(&change).expect("applies to its base");
    assert_eq!(here.digest(), there.digest());
    assert_eq!(there.version(), 1);
}
