//! What requests look up, derived once from each bundle.

use std::collections::HashMap;
use std::sync::Arc;

use pinerill_types::bundle::{Bundle, Service, Tenant};
use pinerill_types::{Digest, ServiceName, TenantName};
use sha2::{Digest as _, Sha256};

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

/// A bundle with its lookups.
#[derive(Debug)]
pub struct Catalog {
    /// The bundle.
    pub bundle: Bundle,
    /// Its digest.
    pub digest: Digest,
    services: HashMap<ServiceName, Arc<ServicePlan>>,
    tenants_by_key: HashMap<[u8; 32], TenantName>,
}

impl Catalog {
    /// Derives the lookups of a bundle whose digest is known.
    pub fn new(bundle: Bundle, digest: Digest) -> Self {
        let services = bundle
            .services
            .iter()
            .map(|(name, service)| (name.clone(), Arc::new(plan(&bundle, name, service))))
            .collect();
        let tenants_by_key = key_index(&bundle);
        Self {
            bundle,
            digest,
            services,
            tenants_by_key,
        }
    }

    /// The tenant that a bearer key belongs to.
    pub fn tenant_of_key(&self, key: &str) -> Option<(&TenantName, &Tenant)> {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let name = self.tenants_by_key.get(&hash)?;
        let tenant = self.bundle.tenants.get(name)?;
        Some((name, tenant))
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServicePlan>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePlan>> {
        self.services.values()
    }
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

fn key_index(bundle: &Bundle) -> HashMap<[u8; 32], TenantName> {
    let mut index = HashMap::new();
    for (name, tenant) in &bundle.tenants {
        for text in &tenant.key_hashes {
            let mut hash = [0; 32];
            if hex::decode_to_slice(text, &mut hash).is_ok() {
                index.insert(hash, name.clone());
            }
        }
    }
    index
}
