//! Format 6. It lacks everything that format 7 lacks, and the health check paths of services and
//! the age of the directory.

use serde::{Deserialize, Serialize};

use super::responses::{OlderProcesses, WatchParts};
use super::v7::{self, TableRoute, TableTenant};
use super::{v8, OlderRequest, OlderResponse, OlderTable};
use crate::message::WatchResponse;
use crate::packed::UnpackError;
use crate::table::{RequestLimits, RouteTable};

/// A request of format 6.
pub type Request = OlderRequest<Table>;
/// A response of format 6.
pub type Response = OlderResponse<OlderWatchResponse<Table>>;

/// The route table of format 6.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Table {
    version: u64,
    routes: Vec<TableRoute>,
    services: Vec<TableService>,
    limits: RequestLimits,
    tenants: Option<Vec<TableTenant>>,
}

/// A service of formats 4 to 6, without a health check path.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TableService {
    name: String,
    max_connections: u32,
    slots: Option<u32>,
    cache_tokens: Option<u64>,
}

/// The counterpart of [`WatchResponse`] in formats 5 and 6, where `T` is the route table of the
/// format. It lacks the age of the directory, evacuations and cells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OlderWatchResponse<T> {
    table: Option<T>,
    directory: Option<v8::DirectoryUpdate>,
    nodes: u32,
    processes: Option<OlderProcesses>,
}

impl OlderTable for Table {}

impl<T: OlderTable> TryFrom<WatchResponse> for OlderWatchResponse<T> {
    type Error = UnpackError;

    fn try_from(response: WatchResponse) -> Result<Self, UnpackError> {
        let parts = WatchParts::from_response(response)?;
        Ok(OlderWatchResponse {
            table: parts.table,
            directory: parts.directory,
            nodes: parts.nodes,
            processes: parts.processes,
        })
    }
}

impl<T: OlderTable> From<OlderWatchResponse<T>> for WatchResponse {
    fn from(response: OlderWatchResponse<T>) -> Self {
        let parts = WatchParts {
            table: response.table,
            directory: response.directory,
            directory_age_ms: None,
            nodes: response.nodes,
            processes: response.processes,
        };
        parts.into_response()
    }
}

impl From<Table> for v7::Table {
    fn from(table: Table) -> Self {
        v7::Table {
            version: table.version,
            routes: table.routes,
            services: table.services.into_iter().map(Into::into).collect(),
            limits: table.limits,
            tenants: table.tenants,
        }
    }
}

impl From<Table> for RouteTable {
    fn from(table: Table) -> Self {
        v7::Table::from(table).into()
    }
}

impl From<RouteTable> for Table {
    fn from(table: RouteTable) -> Self {
        let table = v7::Table::from(table);
        Table {
            version: table.version,
            routes: table.routes,
            services: table.services.into_iter().map(Into::into).collect(),
            limits: table.limits,
            tenants: table.tenants,
        }
    }
}

impl From<TableService> for v7::TableService {
    fn from(service: TableService) -> Self {
        v7::TableService {
            name: service.name,
            max_connections: service.max_connections,
            slots: service.slots,
            cache_tokens: service.cache_tokens,
            health_path: None,
        }
    }
}

impl From<v7::TableService> for TableService {
    fn from(service: v7::TableService) -> Self {
        TableService {
            name: service.name,
            max_connections: service.max_connections,
            slots: service.slots,
            cache_tokens: service.cache_tokens,
        }
    }
}
