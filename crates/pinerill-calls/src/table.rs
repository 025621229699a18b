//! The route table: which calls there are, and which services serve them.
//!
//! The operator's document stays whole beside the table; the table is what
//! nodes act on. Of two tables, the one with the higher version is in force.

mod allowed_regions;
mod check;
mod lookup;
mod tenant;

use serde::{Deserialize, Serialize};

pub use allowed_regions::{AllowedRegions, ALL_REGIONS};
pub use check::TableError;
pub use lookup::RouteIndex;
pub use tenant::{Access, AccessDenied, PresentedKey, Tenant};

/// All routes and services of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Routes in the document's order.
    pub routes: Vec<Route>,
    /// Services in the document's order.
    pub services: Vec<Service>,
    /// Bounds on what a caller may send.
    pub limits: RequestLimits,
    /// Who may call. None: everybody, and nobody needs a key.
    pub tenants: Option<Vec<Tenant>>,
}

/// One route: calls to a host under a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Host without a port, in lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a call may be held, milliseconds.
    pub timeout_ms: u64,
    /// Time to the answer, or to its first event, that callers want,
    /// milliseconds.
    pub objective_ms: u64,
    /// 0 is the most urgent.
    pub rank: u32,
    /// Services that serve it, by weight.
    pub targets: Vec<Target>,
    /// Most workers on which one call may run.
    pub attempts: u32,
    /// Longest pause between two events that callers want, milliseconds.
    pub gap_ms: Option<u64>,
    /// Time without an event, also before the first one, after which callers give a
    /// series of events up, milliseconds; none if they don't.
    #[serde(rename = "caller_patience_ms")]
    pub caller_idle_timeout_ms: Option<u64>,
    /// Bounds of its jobs; only of [`RouteKind::Batch`].
    pub batch: Option<BatchLimits>,
    /// Whether it may be called without a key.
    pub is_public: bool,
    /// Regions in which its calls may be served and its jobs be stored.
    #[serde(rename = "homes")]
    pub allowed_regions: AllowedRegions,
}

/// What a route's calls are, and so what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// A series of events that runs at most once.
    Stream,
    /// A series of events that may be continued at another worker.
    ResumableStream,
    /// Jobs of many calls.
    Batch,
}

impl RouteKind {
    /// Whether a call that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(
            self,
            RouteKind::Repeatable | RouteKind::ResumableStream | RouteKind::Batch
        )
    }

    /// A name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Repeatable => "repeatable",
            RouteKind::AtMostOnce => "at_most_once",
            RouteKind::Stream => "stream",
            RouteKind::ResumableStream => "resumable_stream",
            RouteKind::Batch => "batch",
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service with its share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its share, relative to the other targets.
    pub weight: u64,
}

/// Bounds of the jobs of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchLimits {
    /// Time from a job's submission within which its results are due,
    /// milliseconds.
    pub result_target_ms: u64,
    /// Time from a job's submission after which items may be given up,
    /// milliseconds.
    pub give_up_ms: u64,
    /// Tokens of a tenant's jobs that may wait; 0 for no limit.
    pub max_waiting_tokens: u64,
}

/// A service: interchangeable workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Connections that one worker takes from all callers together.
    pub max_connections: u32,
    /// Requests that one worker works on at once, if told.
    pub slots: Option<u32>,
    /// Tokens that fit into one worker's memory, if told.
    pub cache_tokens: Option<u64>,
    /// Path at which a worker tells whether it is sound and stays, if there is one.
    pub health_path: Option<String>,
    /// How a worker that is still cold is spared; none if it need not be.
    pub slow_start: Option<SlowStart>,
}

/// How a worker that is still cold is spared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Requests a second that it bears from all nodes together.
    pub rate_per_s: f64,
    /// Time for which it stays cold after a start, milliseconds.
    pub duration_ms: u64,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head, milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, milliseconds.
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
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
