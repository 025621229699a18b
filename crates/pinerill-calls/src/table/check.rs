//! Validation of route tables. A control machine rejects a new table that does not pass.

use std::collections::{HashMap, HashSet};

use http::HeaderValue;
use thiserror::Error;

use pinerill_types::KeyHash;

use super::{Route, RouteTable, Tenant};

/// Fault of a route table that keeps it from taking effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route refers to a service that is not in the table.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and the same path prefix.
    #[error("route {route}: another route has the same host and path prefix")]
    DuplicateRoute {
        /// Name of the later of the two routes.
        route: String,
    },
    /// All targets of a route have weight 0, or it has no targets.
    #[error("route {route}: the weights sum to 0")]
    ZeroTotalWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0, so that every call would fail.
    #[error("route {route}: the timeout is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("route {route}: the path prefix must begin and end with a slash")]
    MalformedPrefix {
        /// Name of the route.
        route: String,
    },
    /// Two services have the same name.
    #[error("service {service}: there are two of this name")]
    DuplicateService {
        /// The name that occurs twice.
        service: String,
    },
    /// The rate limit of a service's cold workers is not a finite number above 0.
    #[error("service {service}: the rate of a slow start must be a number above 0")]
    MalformedSlowStart {
        /// Name of the service.
        service: String,
    },
    /// Two tenants have the same name.
    #[error("tenant {tenant}: there are two of this name")]
    DuplicateTenant {
        /// The name that occurs twice.
        tenant: String,
    },
    /// Two tenants have the same key.
    #[error("tenant {tenant}: another tenant has one of its keys")]
    DuplicateKey {
        /// Name of the later of the two tenants.
        tenant: String,
    },
    /// A tenant's name can't be sent to workers in a header.
    #[error("tenant {position}: its name is empty or can't be sent in a header")]
    UnusableTenantName {
        /// Position of the tenant in the document, counted from 0.
        position: usize,
    },
    /// The rate or the burst of a tenant's limit is negative or not finite.
    #[error("tenant {tenant}: rate and burst must be numbers that are not negative")]
    MalformedLimit {
        /// Name of the tenant.
        tenant: String,
    },
}

impl RouteTable {
    /// Validates services, routes and tenants.
    ///
    /// # Errors
    /// Returns the first fault that is found.
    pub fn check(&self) -> Result<(), TableError> {
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(service.name.as_str()) {
                let service = service.name.clone();
                return Err(TableError::DuplicateService { service });
            }
            let rate = service.slow_start.map(|slow_start| slow_start.rate_per_s);
            if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
                let service = service.name.clone();
                return Err(TableError::MalformedSlowStart { service });
            }
        }
        let mut prefixes = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
                let route = route.name.clone();
                return Err(TableError::DuplicateRoute { route });
            }
        }
        check_tenants(self.tenants.as_deref().unwrap_or_default())
    }
}

fn check_tenants(tenants: &[Tenant]) -> Result<(), TableError> {
    let mut names = HashSet::new();
    let mut owners: HashMap<KeyHash, &str> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        if tenant.name.is_empty() || HeaderValue::from_str(&tenant.name).is_err() {
            return Err(TableError::UnusableTenantName { position });
        }
        let name = || tenant.name.clone();
        if !names.insert(tenant.name.as_str()) {
            return Err(TableError::DuplicateTenant { tenant: name() });
        }
        let limit_values = tenant
            .limit
            .iter()
            .flat_map(|limit| [limit.rate_per_s, limit.burst]);
        if !limit_values
            .into_iter()
            .all(|value| value.is_finite() && value >= 0.0)
        {
            return Err(TableError::MalformedLimit { tenant: name() });
        }
        for key in &tenant.keys {
            let owner = owners.entry(*key).or_insert(&tenant.name);
            if *owner != tenant.name {
                return Err(TableError::DuplicateKey { tenant: name() });
            }
        }
    }
    Ok(())
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), TableError> {
    let name = || route.name.clone();
    let unknown_target = route
        .targets
        .iter()
        .find(|target| !services.contains(target.service.as_str()));
    if let Some(target) = unknown_target {
        return Err(TableError::UnknownService {
            route: name(),
            service: target.service.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(TableError::ZeroTotalWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        return Err(TableError::ZeroTimeout { route: name() });
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(TableError::MalformedPrefix { route: name() });
    }
    Ok(())
}
