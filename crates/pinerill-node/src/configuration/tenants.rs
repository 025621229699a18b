//! Tenants of the bundle, indexed by name and by bearer key. The layout saves
//! memory, since a node knows tens of thousands of tenants and serves few at a
//! time.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::sync::Arc;

use pinerill_types::bundle::Tenant;
use pinerill_types::{KeyHash, ServiceName, TenantName};

/// A tenant with its services and its limits.
#[derive(Debug, PartialEq)]
pub struct TenantPlan {
    /// Name of the tenant in the bundle.
    pub name: TenantName,
    /// Services that the tenant may call. Tenants with equal sets share one.
    pub services: Arc<BTreeSet<ServiceName>>,
    /// Sustained rate of online requests per second at one node.
    pub requests_per_second: f64,
    /// Number of online requests that may exceed that rate in a burst.
    pub burst: u32,
    /// Maximum number of online requests in flight at one node.
    pub concurrent_requests: u32,
    /// Maximum number of open batch items in one job group.
    pub open_batch_items: u32,
    key_hashes: Box<[KeyHash]>,
}

/// A tenant that compares by name, so that a set can look it up by name.
#[derive(Debug, Clone)]
struct ByName(Arc<TenantPlan>);

impl Borrow<str> for ByName {
    fn borrow(&self) -> &str {
        self.0.name.as_str()
    }
}

impl PartialEq for ByName {
    fn eq(&self, other: &Self) -> bool {
        self.0.name == other.0.name
    }
}

impl Eq for ByName {}

impl PartialOrd for ByName {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByName {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.name.cmp(&other.0.name)
    }
}

/// All tenants, in persistent trees. A copy shares all unchanged nodes with the
/// original, so that the time and memory of a change are proportional to its
/// size.
///
/// Trees take less memory than hash tries here, whose nodes are mostly empty at
/// tens of thousands of entries.
#[derive(Debug, Clone, Default)]
pub(super) struct TenantTable {
    by_name: imbl::OrdSet<ByName>,
    by_key: imbl::OrdMap<KeyHash, Arc<TenantPlan>>,
    service_sets: imbl::OrdSet<Arc<BTreeSet<ServiceName>>>,
}

impl TenantTable {
    /// Returns a tenant by name, or None if there is none.
    pub(super) fn get(&self, name: &TenantName) -> Option<&TenantPlan> {
        let found = self.by_name.get(name.as_str())?;
        Some(found.0.as_ref())
    }

    /// Returns the tenant that owns a bearer key, or None for an unknown key.
    pub(super) fn by_bearer_key(&self, key: &str) -> Option<&TenantPlan> {
        let hash = KeyHash::of(key.as_bytes());
        self.by_key.get(&hash).map(Arc::as_ref)
    }

    /// Adds a tenant, replacing any tenant of that name. Key hashes that are not
    /// valid hexadecimal are skipped.
    pub(super) fn set(&mut self, name: TenantName, tenant: Tenant) {
        self.remove(&name);
        let plan = Arc::new(TenantPlan {
            name,
            key_hashes: key_hashes(&tenant.key_hashes),
            services: self.intern_services(tenant.services),
            requests_per_second: tenant.requests_per_second,
            burst: tenant.burst,
            concurrent_requests: tenant.concurrent_requests,
            open_batch_items: tenant.open_batch_items,
        });
        for hash in &plan.key_hashes {
            self.by_key.insert(*hash, plan.clone());
        }
        self.by_name.insert(ByName(plan));
    }

    /// Removes a tenant and its keys. Does nothing if there is none.
    pub(super) fn remove(&mut self, name: &TenantName) {
        let Some(ByName(plan)) = self.by_name.remove(name.as_str()) else {
            return;
        };
        for hash in &plan.key_hashes {
            // The same change may already have assigned the key to another
            // tenant.
            let owner = self.by_key.get(hash);
            if owner.is_some_and(|owner| owner.name == *name) {
                self.by_key.remove(hash);
            }
        }
    }

    fn intern_services(&mut self, services: BTreeSet<ServiceName>) -> Arc<BTreeSet<ServiceName>> {
        let services = Arc::new(services);
        if let Some(same) = self.service_sets.get(&services) {
            return same.clone();
        }
        if self.service_sets.len() > self.by_name.len() {
            self.drop_unused_service_sets();
        }
        self.service_sets.insert(services.clone());
        services
    }

    /// Drops service sets that no tenant uses, which would otherwise accumulate
    /// for ever.
    fn drop_unused_service_sets(&mut self) {
        let used = self.by_name.iter().map(|tenant| tenant.0.services.clone());
        self.service_sets = used.collect();
    }
}

fn key_hashes(texts: &[String]) -> Box<[KeyHash]> {
    texts
        .iter()
        .filter_map(|text| KeyHash::from_hex(text))
        .collect()
}
