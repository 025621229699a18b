//! Lookup tables for requests, derived from a configuration bundle and updated
//! incrementally with each change.

use std::collections::HashMap;
use std::sync::Arc;

use pinerill_types::bundle::{
    Bundle, BundleChange, Entry, EntryIndex, EntryKey, EntryKind, Policy, Service,
};
use pinerill_types::{Digest, ServiceName, TenantName};
use pinerill_wire::codec::{CodecError, EncodedBundle};

use super::tenants::{TenantPlan, TenantTable};

/// A service with its model and adapter as engines name them.
#[derive(Debug)]
pub struct ServicePlan {
    /// Name under which callers request the service.
    pub name: ServiceName,
    /// Entry of the service in the bundle.
    pub settings: Service,
    /// Model as `model@version`, the form that engines report and accept. The
    /// version is empty if the bundle does not list the model.
    pub model: String,
    /// Adapter as `adapter@version`; None if the service has none.
    pub adapter: Option<String>,
}

/// A configuration bundle in the form that requests look up.
///
/// Successive catalogs share all tenants that did not change.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Version of the bundle, which increases with each change.
    pub version: u64,
    /// Digest of the whole bundle.
    pub digest: Digest,
    /// All entries of the bundle except the tenants.
    core: Arc<Bundle>,
    services: Arc<HashMap<ServiceName, Arc<ServicePlan>>>,
    tenants: TenantTable,
}

impl Catalog {
    /// Decodes a whole bundle entry by entry. Also returns the index that
    /// verifies later changes.
    ///
    /// # Errors
    /// When an entry is malformed or does not have the type of its section.
    pub fn decode(encoded: &EncodedBundle) -> Result<(Self, EntryIndex), CodecError> {
        let mut core = Bundle {
            version: encoded.version(),
            ..Bundle::default()
        };
        let mut tenants = TenantTable::default();
        let mut index = EntryIndex::build(encoded.version());
        encoded.for_each_entry(|entry| {
            index.add(&entry)?;
            insert_entry(&mut core, &mut tenants, &entry).map_err(anyhow::Error::from)
        })?;
        let index = index.finish();
        let catalog = Self {
            version: encoded.version(),
            digest: index.digest(),
            services: Arc::new(service_plans(&core)),
            core: Arc::new(core),
            tenants,
        };
        Ok((catalog, index))
    }

    /// Returns the catalog after a change. The caller has verified that the
    /// change leads to the digest that it names.
    ///
    /// # Errors
    /// The JSON error when a value does not have the type of its section.
    pub fn with_change(&self, change: &BundleChange) -> Result<Self, serde_json::Error> {
        let mut next = self.clone();
        next.version = change.version;
        next.digest = change.digest;
        let mut core = (*self.core).clone();
        core.version = change.version;
        for key in &change.removed {
            match key.kind {
                EntryKind::Tenant => next.tenants.remove(&tenant_name(key)),
                _ => core.remove_entry(key),
            }
        }
        for entry in &change.set {
            insert_entry(&mut core, &mut next.tenants, entry)?;
        }
        let keys = change.removed.iter();
        let mut keys = keys.chain(change.set.iter().map(|entry| &entry.key));
        if keys.any(|key| key.kind != EntryKind::Tenant) {
            next.services = Arc::new(service_plans(&core));
        }
        next.core = Arc::new(core);
        Ok(next)
    }

    /// Returns the settings that apply to the whole fleet.
    pub fn policy(&self) -> &Policy {
        &self.core.policy
    }

    /// Returns a tenant by name, or None if the bundle does not list it.
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantPlan> {
        self.tenants.get(name)
    }

    /// Returns the tenant that owns a bearer key, or None for an unknown key.
    pub fn tenant_of_key(&self, key: &str) -> Option<&TenantPlan> {
        self.tenants.by_bearer_key(key)
    }

    /// Returns a service by name, or None if the bundle does not list it.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServicePlan>> {
        self.services.get(name)
    }

    /// Iterates over all services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePlan>> {
        self.services.values()
    }
}

fn insert_entry(
    core: &mut Bundle,
    tenants: &mut TenantTable,
    entry: &Entry,
) -> Result<(), serde_json::Error> {
    if entry.key.kind != EntryKind::Tenant {
        return core.set_entry(entry);
    }
    let tenant = serde_json::from_str(&entry.value)?;
    tenants.set(tenant_name(&entry.key), tenant);
    Ok(())
}

fn tenant_name(key: &EntryKey) -> TenantName {
    TenantName::from(key.name.as_str())
}

fn service_plans(bundle: &Bundle) -> HashMap<ServiceName, Arc<ServicePlan>> {
    let services = bundle.services.iter();
    services
        .map(|(name, service)| (name.clone(), Arc::new(service_plan(bundle, name, service))))
        .collect()
}

fn service_plan(bundle: &Bundle, name: &ServiceName, service: &Service) -> ServicePlan {
    let model = bundle.models.get(&service.model);
    let version = model.map_or("", |model| model.version.as_str());
    let adapter = service.adapter.as_ref().map(|adapter| {
        let entry = model.and_then(|model| model.adapters.get(adapter));
        let version = entry.map_or("", |entry| entry.version.as_str());
        format!("{adapter}@{version}")
    });
    ServicePlan {
        name: name.clone(),
        model: format!("{}@{version}", service.model),
        adapter,
        settings: service.clone(),
    }
}
