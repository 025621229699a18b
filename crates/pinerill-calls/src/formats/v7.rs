//! Format 7. Compared with format 8 it lacks allowed regions of routes and tenants, slow starts
//! of services, evacuated zones and cells.

use pinerill_quota::limit::RequestLimit;
use pinerill_types::KeyHash;
use serde::{Deserialize, Serialize};

use super::responses::{OlderProcesses, WatchParts};
use super::{v8, OlderRequest, OlderResponse, OlderTable};
use crate::message::WatchResponse;
use crate::packed::UnpackError;
use crate::table::{
    AllowedRegions, BatchLimits, RequestLimits, Route, RouteKind, RouteTable, Service, Target,
    Tenant,
};

/// A request of format 7.
pub type Request = OlderRequest<Table>;
/// A response of format 7.
pub type Response = OlderResponse<OlderWatchResponse>;

/// The route table of format 7.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Table {
    pub(super) version: u64,
    pub(super) routes: Vec<TableRoute>,
    pub(super) services: Vec<TableService>,
    pub(super) limits: RequestLimits,
    pub(super) tenants: Option<Vec<TableTenant>>,
}

/// A route of formats 6 and 7, without allowed regions.
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

/// A service of format 7, without slow start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TableService {
    pub(super) name: String,
    pub(super) max_connections: u32,
    pub(super) slots: Option<u32>,
    pub(super) cache_tokens: Option<u64>,
    pub(super) health_path: Option<String>,
}

/// A tenant of formats 6 and 7, without allowed regions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TableTenant {
    name: String,
    keys: Vec<KeyHash>,
    rank: Option<u32>,
    limit: Option<RequestLimit>,
}

/// The counterpart of [`WatchResponse`] in format 7, without evacuations and cells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderWatchResponse {
    table: Option<Table>,
    directory: Option<v8::DirectoryUpdate>,
    directory_age_ms: Option<u64>,
    nodes: u32,
    processes: Option<OlderProcesses>,
}

impl OlderTable for Table {}

impl TryFrom<WatchResponse> for OlderWatchResponse {
    type Error = UnpackError;

    fn try_from(response: WatchResponse) -> Result<Self, UnpackError> {
        let parts = WatchParts::from_response(response)?;
        Ok(OlderWatchResponse {
            table: parts.table,
            directory: parts.directory,
            directory_age_ms: parts.directory_age_ms,
            nodes: parts.nodes,
            processes: parts.processes,
        })
    }
}

impl From<OlderWatchResponse> for WatchResponse {
    fn from(response: OlderWatchResponse) -> Self {
        let parts = WatchParts {
            table: response.table,
            directory: response.directory,
            directory_age_ms: response.directory_age_ms,
            nodes: response.nodes,
            processes: response.processes,
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
            caller_idle_timeout_ms: route.caller_patience_ms,
            batch: route.batch,
            is_public: route.is_public,
            allowed_regions: AllowedRegions::default(),
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
            caller_patience_ms: route.caller_idle_timeout_ms,
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
            allowed_regions: AllowedRegions::default(),
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
