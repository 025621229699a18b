//! What makes a route table invalid.

use std::collections::{HashMap, HashSet};

use http::HeaderValue;
use thiserror::Error;

use pinerill_types::KeyHash;

use super::{Route, RouteTable, Tenant};

/// Why a route table can't be in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route names a service that the table lacks.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route}: another route has the same host and path prefix")]
    DuplicateRoute {
        /// The later of the two.
        route: String,
    },
    /// No target of a route has any weight.
    #[error("route {route}: the weights sum to 0")]
    ZeroTotalWeight {
        /// The route.
        route: String,
    },
    /// A route allows no time.
    #[error("route {route}: the timeout is 0")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix doesn't begin and end with a slash.
    #[error("route {route}: the path prefix must begin and end with a slash")]
    MalformedPrefix {
        /// The route.
        route: String,
    },
    /// Two services have the same name.
    #[error("service {service}: there are two of this name")]
    DuplicateService {
        /// The service.
        service: String,
    },
    /// A service's rate for workers that are still cold is none.
    #[error("service {service}: the rate of a slow start must be a number above 0")]
    MalformedSlowStart {
        /// The service.
        service: String,
    },
    /// Two tenants have the same name.
    #[error("tenant {tenant}: there are two of this name")]
    DuplicateTenant {
        /// The tenant.
        tenant: String,
    },
    /// Two tenants have the same key.
    #[error("tenant {tenant}: another tenant has one of its keys")]
    DuplicateKey {
        /// The later of the two.
        tenant: String,
    },
    /// A tenant's name can't be told to workers.
    #[error("tenant {position}: its name is empty or can't be sent in a header")]
    UnusableTenantName {
        /// Its position in the document, from 0.
        position: usize,
    },
    /// A tenant's limit is no number of requests.
    #[error("tenant {tenant}: rate and burst must be numbers that are not negative")]
    MalformedLimit {
        /// The tenant.
        tenant: String,
    },
}

impl RouteTable {
    /// Checks the whole table.
    ///
    /// # Errors
    /// The first thing that is wrong.
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
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
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
        let numbers = tenant
            .limit
            .iter()
            .flat_map(|one| [one.rate_per_s, one.burst]);
        if !numbers.into_iter().all(|one| one.is_finite() && one >= 0.0) {
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
    let unknown = route
        .targets
        .iter()
        .find(|target| !services.contains(target.service.as_str()));
    if let Some(target) = unknown {
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
