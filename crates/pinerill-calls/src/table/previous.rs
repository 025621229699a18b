//! Route tables as a process of the version before stored them.

use pinerill_quota::limit::RequestLimit;
use pinerill_types::KeyHash;
use serde::{Deserialize, Serialize};

use super::{
    BatchLimits, Homes, RequestLimits, Route, RouteKind, RouteTable, Service, Target, Tenant,
};

/// A route table without homes and slow starts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PreviousRouteTable {
    version: u64,
    routes: Vec<PreviousRoute>,
    services: Vec<PreviousService>,
    limits: RequestLimits,
    tenants: Option<Vec<PreviousTenant>>,
}

/// A route of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PreviousRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout_ms: u64,
    objective_ms: u64,
    rank: u32,
    targets: Vec<Target>,
    attempts: u32,
    gap_ms: Option<u64>,
    caller_patience_ms: Option<u64>,
    batch: Option<BatchLimits>,
    is_public: bool,
}

/// A service of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PreviousService {
    name: String,
    max_connections: u32,
    slots: Option<u32>,
    cache_tokens: Option<u64>,
    health_path: Option<String>,
}

/// A tenant of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PreviousTenant {
    name: String,
    keys: Vec<KeyHash>,
    rank: Option<u32>,
    limit: Option<RequestLimit>,
}

impl From<PreviousRouteTable> for RouteTable {
    fn from(table: PreviousRouteTable) -> Self {
        let tenants = table.tenants;
        RouteTable {
            version: table.version,
            routes: table.routes.into_iter().map(Route::from).collect(),
            services: table.services.into_iter().map(Service::from).collect(),
            limits: table.limits,
            tenants: tenants.map(|tenants| tenants.into_iter().map(Tenant::from).collect()),
        }
    }
}

impl From<PreviousRoute> for Route {
    fn from(route: PreviousRoute) -> Self {
        Route {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            rank: route.rank,
            targets: route.targets,
            attempts: route.attempts,
            gap_ms: route.gap_ms,
            caller_patience_ms: route.caller_patience_ms,
            batch: route.batch,
            is_public: route.is_public,
            homes: Homes::default(),
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
            health_path: service.health_path,
            slow_start: None,
        }
    }
}

impl From<PreviousTenant> for Tenant {
    fn from(tenant: PreviousTenant) -> Self {
        Tenant {
            name: tenant.name,
            keys: tenant.keys,
            rank: tenant.rank,
            limit: tenant.limit,
            homes: Homes::default(),
        }
    }
}
