//! Format 7: no homes, no slow starts, no evacuations, no cells.

use pinerill_quota::limit::RequestLimit;
use pinerill_types::KeyHash;
use serde::{Deserialize, Serialize};

use super::responses::{OlderProcesses, WatchParts};
use super::{OlderRequest, OlderResponse, OlderTable};
use crate::directory::DirectoryUpdate;
use crate::message::WatchResponse;
use crate::packed::UnpackError;
use crate::table::{
    BatchLimits, Homes, RequestLimits, Route, RouteKind, RouteTable, Service, Target, Tenant,
};

/// A request.
pub type Request = OlderRequest<Table>;
/// A response.
pub type Response = OlderResponse<Watched>;

/// A route table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Table {
    pub(super) version: u64,
    pub(super) routes: Vec<TableRoute>,
    pub(super) services: Vec<TableService>,
    pub(super) limits: RequestLimits,
    pub(super) tenants: Option<Vec<TableTenant>>,
}

/// A route of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TableRoute {
    pub(super) name: String,
    pub(super) host: String,
    pub(super) path_prefix: String,
    pub(super) kind: RouteKind,
    pub(super) timeout_ms: u64,
    pub(super) objective_ms: u64,
    pub(super) rank: u32,
    pub(super) targets: Vec<Target>,
    pub(super) attempts: u32,
    pub(super) gap_ms: Option<u64>,
    pub(super) caller_patience_ms: Option<u64>,
    pub(super) batch: Option<BatchLimits>,
    pub(super) is_public: bool,
}

/// A service of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TableService {
    pub(super) name: String,
    pub(super) max_connections: u32,
    pub(super) slots: Option<u32>,
    pub(super) cache_tokens: Option<u64>,
    pub(super) health_path: Option<String>,
}

/// A tenant of such a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TableTenant {
    name: String,
    keys: Vec<KeyHash>,
    rank: Option<u32>,
    limit: Option<RequestLimit>,
}

/// An answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watched {
    table: Option<Table>,
    directory: Option<DirectoryUpdate>,
    directory_age_ms: Option<u64>,
    nodes: u32,
    processes: Option<OlderProcesses>,
}

impl OlderTable for Table {}

impl TryFrom<WatchResponse> for Watched {
    type Error = UnpackError;

    fn try_from(response: WatchResponse) -> Result<Self, UnpackError> {
        let parts = WatchParts::of(response)?;
        Ok(Watched {
            table: parts.table,
            directory: parts.directory,
            directory_age_ms: parts.directory_age_ms,
            nodes: parts.nodes,
            processes: parts.processes,
        })
    }
}

impl From<Watched> for WatchResponse {
    fn from(watched: Watched) -> Self {
        let parts = WatchParts {
            table: watched.table,
            directory: watched.directory,
            directory_age_ms: watched.directory_age_ms,
            nodes: watched.nodes,
            processes: watched.processes,
        };
        parts.into_response()
    }
}

impl From<Table> for RouteTable {
    fn from(table: Table) -> Self {
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

impl From<RouteTable> for Table {
    fn from(table: RouteTable) -> Self {
        let tenants = table.tenants;
        Table {
            version: table.version,
            routes: table.routes.into_iter().map(TableRoute::from).collect(),
            services: table.services.into_iter().map(TableService::from).collect(),
            limits: table.limits,
            tenants: tenants.map(|tenants| tenants.into_iter().map(TableTenant::from).collect()),
        }
    }
}

impl From<TableRoute> for Route {
    fn from(route: TableRoute) -> Self {
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

impl From<Route> for TableRoute {
    fn from(route: Route) -> Self {
        TableRoute {
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
        }
    }
}

impl From<TableService> for Service {
    fn from(service: TableService) -> Self {
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

impl From<Service> for TableService {
    fn from(service: Service) -> Self {
        TableService {
            name: service.name,
            max_connections: service.max_connections,
            slots: service.slots,
            cache_tokens: service.cache_tokens,
            health_path: service.health_path,
        }
    }
}

impl From<TableTenant> for Tenant {
    fn from(tenant: TableTenant) -> Self {
        Tenant {
            name: tenant.name,
            keys: tenant.keys,
            rank: tenant.rank,
            limit: tenant.limit,
            homes: Homes::default(),
        }
    }
}

impl From<Tenant> for TableTenant {
    fn from(tenant: Tenant) -> Self {
        TableTenant {
            name: tenant.name,
            keys: tenant.keys,
            rank: tenant.rank,
            limit: tenant.limit,
        }
    }
}
