//! Route tables as a process of the version before stored them.

use serde::{Deserialize, Serialize};

use super::{RequestLimits, Route, RouteTable, Service, Tenant};

/// A route table whose services have no health path.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PreviousRouteTable {
    version: u64,
    routes: Vec<Route>,
    services: Vec<PreviousService>,
    limits: RequestLimits,
    tenants: Option<Vec<Tenant>>,
}

/// A service of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PreviousService {
    name: String,
    max_connections: u32,
    slots: Option<u32>,
    cache_tokens: Option<u64>,
}

impl From<PreviousRouteTable> for RouteTable {
    fn from(table: PreviousRouteTable) -> Self {
        RouteTable {
            version: table.version,
            routes: table.routes,
            services: table.services.into_iter().map(Service::from).collect(),
            limits: table.limits,
            tenants: table.tenants,
        }
    }
}

impl From<PreviousService> for Service {
    fn from(service: PreviousService) -> Self {
        Service {
            name: service.name,
            max_connections: service.max_connections,
            slots: service.slots,
            cache_tokens: service.cache_tokens,
            health_path: None,
        }
    }
}
