//! Route tables as a process of the version before stored them.

use serde::{Deserialize, Serialize};

use super::{BatchLimits, RequestLimits, Route, RouteKind, RouteTable, Service, Target};

/// A route table without tenants.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PreviousRouteTable {
    version: u64,
    routes: Vec<PreviousRoute>,
    services: Vec<Service>,
    limits: RequestLimits,
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
}

impl From<PreviousRouteTable> for RouteTable {
    fn from(table: PreviousRouteTable) -> Self {
        RouteTable {
            version: table.version,
            routes: table.routes.into_iter().map(Route::from).collect(),
            services: table.services,
            limits: table.limits,
            tenants: None,
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
            is_public: false,
        }
    }
}
