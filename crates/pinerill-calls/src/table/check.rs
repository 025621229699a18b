//! What makes a route table invalid.

use std::collections::HashSet;

use thiserror::Error;

use super::{Route, RouteTable};

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
    SamePlace {
        /// The later of the two.
        route: String,
    },
    /// No target of a route has any weight.
    #[error("route {route}: the weights sum to 0")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route allows no time.
    #[error("route {route}: the timeout is 0")]
    NoTimeout {
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
    SameService {
        /// The service.
        service: String,
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
                return Err(TableError::SameService { service });
            }
        }
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
                let route = route.name.clone();
                return Err(TableError::SamePlace { route });
            }
        }
        Ok(())
    }
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
        return Err(TableError::NoWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        return Err(TableError::NoTimeout { route: name() });
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(TableError::MalformedPrefix { route: name() });
    }
    Ok(())
}
