//! What requests look up, kept current from change to change.

use std::collections::HashMap;
use std::sync::Arc;

use pinerill_types::bundle::{Bundle, BundleChange, EntryKey, EntryKind, Policy, Service, Tenant};
use pinerill_types::{Digest, ServiceName, TenantName};
use sha2::{Digest as _, Sha256};

/// SHA-256 of a bearer key.
type KeyHash = [u8; 32];

/// A service with the names that engines use.
#[derive(Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Its entry in the bundle.
    pub settings: Service,
    /// `model@version`, as engines report and take it.
    pub model: String,
    /// `adapter@version`, as engines report and take it.
    pub adapter: Option<String>,
}

/// A bundle as requests need it.
///
/// Tenants are kept in persistent maps: the next bundle shares all but what
/// changed with the one before, so that a change among tens of thousands of
/// tenants costs time and memory in proportion to the change.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Version of the bundle.
    pub version: u64,
    /// Its digest.
    pub digest: Digest,
    /// Everything but the tenants.
    core: Arc<Bundle>,
    services: Arc<HashMap<ServiceName, Arc<ServicePlan>>>,
    tenants: imbl::HashMap<TenantName, Arc<Tenant>>,
    tenants_by_key: imbl::HashMap<KeyHash, TenantName>,
}

impl Catalog {
    /// Derives the lookups of a bundle whose digest is known.
    pub fn new(mut bundle: Bundle, digest: Digest) -> Self {
        let tenants = std::mem::take(&mut bundle.tenants);
        let mut catalog = Self {
            version: bundle.version,
            digest,
            services: Arc::new(plans(&bundle)),
            core: Arc::new(bundle),
            tenants: imbl::HashMap::new(),
            tenants_by_key: imbl::HashMap::new(),
        };
        for (name, tenant) in tenants {
            catalog.set_tenant(name, tenant);
        }
        catalog
    }

    /// The catalog after a change whose result was verified.
    ///
    /// # Errors
    /// The parser's message when a value is not of its section's type.
    pub fn with_change(&self, change: &BundleChange) -> Result<Self, serde_json::Error> {
        let mut next = self.clone();
        next.version = change.version;
        next.digest = change.digest;
        let mut core = (*self.core).clone();
        core.version = change.version;
        for key in &change.removed {
            match key.kind {
                EntryKind::Tenant => next.remove_tenant(&tenant_name(key)),
                _ => core.remove_entry(key),
            }
        }
        for entry in &change.set {
            match entry.key.kind {
                EntryKind::Tenant => {
                    let tenant = serde_json::from_str(&entry.value)?;
                    next.set_tenant(tenant_name(&entry.key), tenant);
                }
                _ => core.set_entry(entry)?,
            }
        }
        let keys = change.removed.iter();
        let mut keys = keys.chain(change.set.iter().map(|entry| &entry.key));
        if keys.any(|key| key.kind != EntryKind::Tenant) {
            next.services = Arc::new(plans(&core));
        }
        next.core = Arc::new(core);
        Ok(next)
    }

    /// Rules for the fleet as a whole.
    pub fn policy(&self) -> &Policy {
        &self.core.policy
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &TenantName) -> Option<&Tenant> {
        self.tenants.get(name).map(Arc::as_ref)
    }

    /// The tenant that a bearer key belongs to.
    pub fn tenant_of_key(&self, key: &str) -> Option<(&TenantName, &Tenant)> {
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        let name = self.tenants_by_key.get(&hash)?;
        Some((name, self.tenant(name)?))
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServicePlan>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePlan>> {
        self.services.values()
    }

    fn set_tenant(&mut self, name: TenantName, tenant: Tenant) {
        self.remove_tenant(&name);
        for hash in key_hashes(&tenant) {
            self.tenants_by_key.insert(hash, name.clone());
        }
        self.tenants.insert(name, Arc::new(tenant));
    }

    fn remove_tenant(&mut self, name: &TenantName) {
        let Some(tenant) = self.tenants.remove(name) else {
            return;
        };
        for hash in key_hashes(&tenant) {
            // Another tenant may have taken the key over in the same change.
            if self.tenants_by_key.get(&hash) == Some(name) {
                self.tenants_by_key.remove(&hash);
            }
        }
    }
}

fn tenant_name(key: &EntryKey) -> TenantName {
    TenantName::from(key.name.as_str())
}

fn key_hashes(tenant: &Tenant) -> impl Iterator<Item = KeyHash> + '_ {
    tenant.key_hashes.iter().filter_map(|text| {
        let mut hash = KeyHash::default();
        hex::decode_to_slice(text, &mut hash).ok()?;
        Some(hash)
    })
}

fn plans(bundle: &Bundle) -> HashMap<ServiceName, Arc<ServicePlan>> {
    let services = bundle.services.iter();
    services
        .map(|(name, service)| (name.clone(), Arc::new(plan(bundle, name, service))))
        .collect()
}

fn plan(bundle: &Bundle, name: &ServiceName, service: &Service) -> ServicePlan {
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
