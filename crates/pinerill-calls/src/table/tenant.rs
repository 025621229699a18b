//! Who may call: tenants, their keys and their limits.

use std::sync::Arc;

use pinerill_quota::limit::RequestLimit;
use pinerill_types::KeyHash;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{AllowedRegions, Route, RouteIndex, RouteTable};

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which workers are told.
    pub name: String,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Its rank, which goes before that of a route; 0 is the most urgent.
    pub rank: Option<u32>,
    /// How many of its calls may run, over all nodes; none for no limit.
    pub limit: Option<RequestLimit>,
    /// Regions in which its calls may be served and its jobs be stored.
    #[serde(rename = "homes")]
    pub allowed_regions: AllowedRegions,
}

/// The key that a request brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// It brings none.
    Absent,
    /// What it brings is no key: an empty one, or more than one.
    Unusable,
    /// A key.
    Key(KeyHash),
}

/// On whose behalf a request is served.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Access {
    /// The tenant; none for a caller that needs no key and brings none that is known.
    pub tenant: Option<Arc<Tenant>>,
}

impl Access {
    /// The tenant's name.
    pub fn name(&self) -> Option<&str> {
        self.tenant.as_deref().map(|tenant| tenant.name.as_str())
    }

    /// Regions in which its requests on a route may be served and stored: those that both
    /// the route and the tenant allow.
    pub fn allowed_regions(&self, route: &Route) -> AllowedRegions {
        match &self.tenant {
            Some(tenant) => route.allowed_regions.intersect(&tenant.allowed_regions),
            None => route.allowed_regions.clone(),
        }
    }

    /// The rank of its calls on a route.
    pub fn rank(&self, route: &Route) -> u32 {
        let own = self.tenant.as_deref().and_then(|tenant| tenant.rank);
        own.unwrap_or(route.rank)
    }
}

/// Why a request is not served on anybody's behalf.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AccessDenied {
    /// It brings no key.
    #[error("a key is needed")]
    NoKey,
    /// It brings a key that no tenant has.
    #[error("no tenant has this key")]
    UnknownKey,
}

impl RouteTable {
    /// Regions in which requests of a tenant on a route may be served and stored.
    pub fn allowed_regions(&self, route: &Route, tenant: Option<&str>) -> AllowedRegions {
        let mut tenants = self.tenants.iter().flatten();
        let own = tenant.and_then(|name| tenants.find(|one| one.name == name));
        own.map_or(route.allowed_regions.clone(), |tenant| {
            route.allowed_regions.intersect(&tenant.allowed_regions)
        })
    }
}

impl RouteIndex {
    /// On whose behalf a call on a route is served.
    ///
    /// # Errors
    /// Why it is not.
    pub fn access(&self, route: &Route, key: PresentedKey) -> Result<Access, AccessDenied> {
        self.access_where(route.is_public, key)
    }

    /// On whose behalf a request about jobs of a host is served. A host with a public route
    /// of jobs may have jobs of callers without a key.
    ///
    /// # Errors
    /// Why it is not.
    pub fn access_to_jobs(&self, host: &str, key: PresentedKey) -> Result<Access, AccessDenied> {
        let is_public = self
            .routes_of(host)
            .any(|route| route.batch.is_some() && route.is_public);
        self.access_where(is_public, key)
    }

    /// Regions in which items of a tenant's jobs may run and be stored.
    pub fn allowed_regions(&self, route: &Route, tenant: Option<&str>) -> AllowedRegions {
        self.table().allowed_regions(route, tenant)
    }

    fn access_where(&self, is_public: bool, key: PresentedKey) -> Result<Access, AccessDenied> {
        let needs_key = self.table().tenants.is_some() && !is_public;
        let tenant = match key {
            PresentedKey::Key(hash) => self.tenant_of(&hash).cloned(),
            PresentedKey::Absent | PresentedKey::Unusable => None,
        };
        match (tenant, key) {
            (tenant @ Some(_), _) => Ok(Access { tenant }),
            (None, _) if !needs_key => Ok(Access::default()),
            (None, PresentedKey::Absent) => Err(AccessDenied::NoKey),
            (None, _) => Err(AccessDenied::UnknownKey),
        }
    }
}
