//! Access control: tenants, their keys and their limits.
//!
//! Nodes determine the tenant of each request from its key before they serve it.

use std::sync::Arc;

use pinerill_quota::limit::RequestLimit;
use pinerill_types::KeyHash;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{AllowedRegions, Route, RouteIndex, RouteTable};

/// A customer of the cluster, identified by its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, unique in the table. Workers receive it in a request header.
    pub name: String,
    /// Hashes of the tenant's keys. The table does not contain the keys themselves.
    pub keys: Vec<KeyHash>,
    /// Priority of the tenant's calls, where 0 is the most urgent. It takes precedence over the
    /// rank of a route; `None` leaves the route's rank in effect.
    pub rank: Option<u32>,
    /// Limit on the tenant's calls over all nodes; `None` means no limit.
    pub limit: Option<RequestLimit>,
    /// Regions in which the tenant's calls may be served and its jobs may be stored.
    #[serde(rename = "homes")]
    pub allowed_regions: AllowedRegions,
}

/// The key in the headers of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    Absent,
    /// The request has an empty key or more than one key.
    Unusable,
    /// The hash of the request's key.
    Key(KeyHash),
}

/// Result of a successful access check: the tenant on whose behalf a request is served.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Access {
    /// Tenant that owns the request's key; `None` for a caller that needs no key and presents no
    /// known one.
    pub tenant: Option<Arc<Tenant>>,
}

impl Access {
    /// Returns the name of the tenant; `None` for a caller without a tenant.
    pub fn name(&self) -> Option<&str> {
        self.tenant.as_deref().map(|tenant| tenant.name.as_str())
    }

    /// Returns the regions in which requests on a route may be served and stored: those that both
    /// the route and the tenant allow.
    pub fn allowed_regions(&self, route: &Route) -> AllowedRegions {
        match &self.tenant {
            Some(tenant) => route.allowed_regions.intersect(&tenant.allowed_regions),
            None => route.allowed_regions.clone(),
        }
    }

    /// Returns the rank of calls on a route: the tenant's rank, or that of the route if the tenant
    /// has none.
    pub fn rank(&self, route: &Route) -> u32 {
        let tenant_rank = self.tenant.as_deref().and_then(|tenant| tenant.rank);
        tenant_rank.unwrap_or(route.rank)
    }
}

/// Reason why a request that needs a key is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AccessDenied {
    /// The request has no key.
    #[error("a key is needed")]
    NoKey,
    /// No tenant has the key of the request, or the key is unusable.
    #[error("no tenant has this key")]
    UnknownKey,
}

impl RouteTable {
    /// Returns the regions in which requests of a tenant on a route may be served and stored. Only
    /// the route counts if `tenant` is `None` or is not in the table.
    pub fn allowed_regions(&self, route: &Route, tenant: Option<&str>) -> AllowedRegions {
        let mut tenants = self.tenants.iter().flatten();
        let found = tenant.and_then(|name| tenants.find(|entry| entry.name == name));
        found.map_or(route.allowed_regions.clone(), |tenant| {
            route.allowed_regions.intersect(&tenant.allowed_regions)
        })
    }
}

impl RouteIndex {
    /// Determines the tenant on whose behalf a call on a route is served.
    ///
    /// # Errors
    /// Returns the reason if the route needs a key and the call has no valid one.
    pub fn access(&self, route: &Route, key: PresentedKey) -> Result<Access, AccessDenied> {
        self.check_access(route.is_public, key)
    }

    /// Determines the tenant on whose behalf a request for jobs of a host is served. If the host
    /// has a public batch route, no key is needed, because callers without a key may have
    /// submitted jobs there.
    ///
    /// # Errors
    /// Returns the reason if the host needs a key and the request has no valid one.
    pub fn access_to_jobs(&self, host: &str, key: PresentedKey) -> Result<Access, AccessDenied> {
        let is_public = self
            .routes_for_host(host)
            .any(|route| route.batch.is_some() && route.is_public);
        self.check_access(is_public, key)
    }

    /// Returns the regions in which items of a tenant's jobs may run and be stored, as
    /// [`RouteTable::allowed_regions`] does.
    pub fn allowed_regions(&self, route: &Route, tenant: Option<&str>) -> AllowedRegions {
        self.table().allowed_regions(route, tenant)
    }

    fn check_access(&self, is_public: bool, key: PresentedKey) -> Result<Access, AccessDenied> {
        let needs_key = self.table().tenants.is_some() && !is_public;
        let tenant = match key {
            PresentedKey::Key(hash) => self.tenant_with_key(&hash).cloned(),
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
