//! The route table, which maps calls to the services that process them.
//!
//! An operator sends the table as a document. Control machines store the unchanged document
//! together with the parsed table and distribute the table to the nodes, which route calls by it.
//! Of two tables, the one with the higher version takes effect.

mod allowed_regions;
mod check;
mod lookup;
mod tenant;

use serde::{Deserialize, Serialize};

pub use allowed_regions::{AllowedRegions, ALL_REGIONS};
pub use check::TableError;
pub use lookup::RouteIndex;
pub use tenant::{Access, AccessDenied, PresentedKey, Tenant};

/// All routes, services and tenants of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version of the document. It increases with each change, not necessarily by 1.
    pub version: u64,
    /// Routes in the document's order.
    pub routes: Vec<Route>,
    /// Services in the document's order.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of callers.
    pub limits: RequestLimits,
    /// Tenants whose keys are accepted. `None` disables access control: every caller is served,
    /// with or without a key.
    pub tenants: Option<Vec<Tenant>>,
}

/// Rules for the calls to one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, used in logs, metrics and limits.
    pub name: String,
    /// Host without a port, in lower case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the calls, which determines whether they may be retried.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a call to its end, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: time to the response, or to the first event of a stream, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Priority of the calls; 0 is the most urgent.
    pub rank: u32,
    /// Services that share the calls by weight.
    pub targets: Vec<Target>,
    /// Maximum number of workers on which one call may run; for jobs, the number of failed runs
    /// after which an item is given up.
    pub attempts: u32,
    /// Objective for the time between two events of a stream, in milliseconds; `None` if the
    /// route has none.
    pub gap_ms: Option<u64>,
    /// Time without an event, also before the first one, after which callers abandon a stream, in
    /// milliseconds; `None` if they don't abandon it.
    #[serde(rename = "caller_patience_ms")]
    pub caller_idle_timeout_ms: Option<u64>,
    /// Limits on jobs; `None` unless the kind is [`RouteKind::Batch`].
    pub batch: Option<BatchLimits>,
    /// Whether callers without a valid key are served.
    pub is_public: bool,
    /// Regions in which calls may be served and jobs may be stored.
    #[serde(rename = "homes")]
    pub allowed_regions: AllowedRegions,
}

/// Kind of a route's calls, which determines whether a call that may have run may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Calls that may run more than once.
    Repeatable,
    /// Calls that must not run more than once.
    AtMostOnce,
    /// Calls whose response is a stream of events and that must not run more than once.
    Stream,
    /// Calls whose response is a stream of events that another worker may continue.
    ResumableStream,
    /// Jobs that consist of many calls.
    Batch,
}

impl RouteKind {
    /// Returns whether a call that may have run may be sent to a worker again.
    pub fn may_repeat(self) -> bool {
        matches!(
            self,
            RouteKind::Repeatable | RouteKind::ResumableStream | RouteKind::Batch
        )
    }

    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Repeatable => "repeatable",
            RouteKind::AtMostOnce => "at_most_once",
            RouteKind::Stream => "stream",
            RouteKind::ResumableStream => "resumable_stream",
            RouteKind::Batch => "batch",
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service of a route with its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of the service relative to the other targets of the route; 0 means no calls.
    pub weight: u64,
}

/// Deadlines and limits of the jobs of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchLimits {
    /// Time from a job's submission within which its results are due, in milliseconds.
    pub result_target_ms: u64,
    /// Time from a job's submission after which items may be given up, in milliseconds.
    pub give_up_ms: u64,
    /// Maximum number of waiting tokens of one tenant's jobs; 0 means no limit.
    pub max_waiting_tokens: u64,
}

/// A group of interchangeable workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, unique in the table.
    pub name: String,
    /// Maximum number of connections that one worker accepts from all clients together.
    pub max_connections: u32,
    /// Maximum number of requests that one worker processes at the same time; `None` if the
    /// document does not state it.
    pub slots: Option<u32>,
    /// Number of tokens that fit into one worker's cache; `None` if the document does not state
    /// it.
    pub cache_tokens: Option<u64>,
    /// Path for health checks, at which a worker reports whether it is healthy and not about to
    /// stop; `None` if the workers have no such path.
    pub health_path: Option<String>,
    /// Rate limit of workers that are still cold; `None` if cold workers need no limit.
    pub slow_start: Option<SlowStart>,
}

/// Limit on the requests to a worker that is still cold after its start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Maximum rate that a cold worker sustains from all nodes together, in requests per second.
    pub rate_per_s: f64,
    /// Time from its start for which a worker counts as cold, in milliseconds.
    pub duration_ms: u64,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl RouteTable {
    /// Returns the service with this name; `None` if the table has none.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
