//! Whether a request is taken: stop, key, configuration, service, body and
//! limits, in this order.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_process::clock::BootTime;
use pinerill_types::{ServiceName, TenantName};

use super::caller::Caller;
use crate::admission::{LimitReached, TenantLimits};
use crate::clock;
use crate::configuration::{Catalog, ServicePlan};
use crate::drain::InFlight;
use crate::failure::{FailureCode, RequestFailure};
use crate::node::Node;
use crate::online::{parse_request, OnlineRequest, RequestKind, RequestProblem};

/// When to come back while the configuration is not confirmed, milliseconds.
const UNCONFIRMED_RETRY_MS: u64 = 1_000;
/// When to come back to another node while this one stops, milliseconds.
const DRAINING_RETRY_MS: u64 = 100;
/// When to come back while too many requests are in flight, milliseconds.
const CONCURRENCY_RETRY_MS: u64 = 250;
const ALL_PERCENT: u32 = 100;

/// Counts of an admitted request, given back when dropped.
#[derive(Debug)]
pub struct Admitted {
    tenant: TenantName,
    limits: Arc<Mutex<TenantLimits>>,
    node: Arc<Node>,
    _in_flight: InFlight,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Node({})", self.settings.name)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.limits.lock().release(&self.tenant);
        self.node.metrics.in_flight.dec();
    }
}

/// Who calls, under which bundle.
#[derive(Debug, Clone)]
pub struct Authenticated {
    /// The bundle in force.
    pub catalog: Arc<Catalog>,
    /// Whose key it is.
    pub tenant: TenantName,
    /// The bundle is confirmed.
    pub confirmed: bool,
}

/// The tenant of a caller.
///
/// # Errors
/// `unauthorized`, or `configuration_unconfirmed` when the key might be in a
/// newer bundle.
pub fn authenticate(node: &Node, caller: &Caller) -> Result<Authenticated, RequestFailure> {
    let catalog = node.configuration.catalog().ok_or_else(unconfirmed)?;
    let confirmed = node.configuration.is_confirmed(clock::now_ms());
    let tenant = caller
        .key()
        .and_then(|key| catalog.tenant_of_key(key))
        .map(|tenant| tenant.name.clone());
    match tenant {
        Some(tenant) => Ok(Authenticated {
            catalog,
            tenant,
            confirmed,
        }),
        None if !confirmed => Err(unconfirmed()),
        None => Err(RequestFailure::not_run(
            FailureCode::Unauthorized,
            "authenticate",
            "no known bearer key",
        )),
    }
}

/// The failure of a request that meets a bundle that is not confirmed.
pub fn unconfirmed() -> RequestFailure {
    RequestFailure::not_run(
        FailureCode::ConfigurationUnconfirmed,
        "confirm configuration",
        "this node can't confirm which bundle is in force",
    )
    .with_peer("control")
    .retry_after(UNCONFIRMED_RETRY_MS)
}

/// The failure of a request that meets a node that stops.
pub fn draining() -> RequestFailure {
    RequestFailure::not_run(FailureCode::Draining, "admit", "this node is stopping")
        .retry_after(DRAINING_RETRY_MS)
}

/// A service that the tenant may call under the bundle in force.
///
/// # Errors
/// `unknown_service`, `service_not_allowed` or `configuration_unconfirmed`.
pub fn find_service(
    authenticated: &Authenticated,
    name: &str,
) -> Result<Arc<ServicePlan>, RequestFailure> {
    let name = ServiceName::from(name);
    let plan = authenticated.catalog.service(&name);
    let goes_on = plan.is_some_and(|plan| plan.settings.serve_when_cut_off);
    if !authenticated.confirmed && !goes_on {
        return Err(unconfirmed());
    }
    let Some(plan) = plan else {
        let message = format!("`{name}` is not a service");
        let code = FailureCode::UnknownService;
        return Err(RequestFailure::not_run(code, "find service", message));
    };
    let tenant = authenticated.catalog.tenant(&authenticated.tenant);
    if !tenant.is_some_and(|tenant| tenant.services.contains(&name)) {
        let message = format!("the tenant may not call service `{name}`");
        let code = FailureCode::ServiceNotAllowed;
        return Err(RequestFailure::not_run(code, "find service", message));
    }
    Ok(plan.clone())
}

/// The failure of a body that can't be read.
pub fn problem_failure(problem: &RequestProblem) -> RequestFailure {
    let code = match problem {
        RequestProblem::Json(_) => FailureCode::InvalidJson,
        RequestProblem::Field { .. } => FailureCode::InvalidRequest,
    };
    RequestFailure::not_run(code, "read body", problem.to_string())
}

/// Takes an online request, or says why not.
///
/// # Errors
/// The failure that its caller gets.
pub fn admit(
    node: &Arc<Node>,
    caller: &Caller,
    id: &str,
    kind: RequestKind,
    body: &[u8],
) -> Result<(Admitted, OnlineRequest), RequestFailure> {
    let received = BootTime::now();
    let in_flight = node.drain.enter().ok_or_else(draining)?;
    let authenticated = authenticate(node, caller)?;
    caller.check_identifier()?;
    let at_most_once = caller.at_most_once()?;
    let caller_deadline = caller.deadline_ms()?;
    let parsed = parse_request(kind, body).map_err(|problem| problem_failure(&problem))?;
    let plan = find_service(&authenticated, &parsed.service)?;
    let admitted = admit_tenant(node, &authenticated, in_flight)?;
    let longest = plan.settings.deadline_ms;
    let deadline_ms = caller_deadline.map_or(longest, |given| given.min(longest));
    let request = OnlineRequest {
        id: id.to_owned(),
        kind,
        to_script: goes_to_script(&plan),
        parsed,
        plan,
        tenant: authenticated.tenant,
        at_most_once,
        received,
        deadline: received + Duration::from_millis(deadline_ms),
    };
    Ok((admitted, request))
}

fn admit_tenant(
    node: &Arc<Node>,
    authenticated: &Authenticated,
    in_flight: InFlight,
) -> Result<Admitted, RequestFailure> {
    let Some(limits) = authenticated.catalog.tenant(&authenticated.tenant) else {
        return Err(unconfirmed());
    };
    let now_ms = clock::now_ms();
    let admitted = node.limits.lock().admit(now_ms, limits);
    admitted.map_err(limit_failure)?;
    node.metrics.in_flight.inc();
    Ok(Admitted {
        tenant: authenticated.tenant.clone(),
        limits: node.limits.clone(),
        node: node.clone(),
        _in_flight: in_flight,
    })
}

fn limit_failure(reached: LimitReached) -> RequestFailure {
    let (code, message, after) = match reached {
        LimitReached::Rate(wait) => (
            FailureCode::TenantRate,
            "more requests a second than the tenant may send",
            wait,
        ),
        LimitReached::Concurrency => (
            FailureCode::TenantConcurrency,
            "more requests in flight than the tenant may have",
            CONCURRENCY_RETRY_MS,
        ),
    };
    RequestFailure::not_run(code, "admit", message).retry_after(after)
}

fn goes_to_script(plan: &ServicePlan) -> bool {
    let share = plan.settings.script.as_ref();
    let percent = share.map_or(0, |script| script.share_percent);
    percent > 0 && rand::random::<u32>() % ALL_PERCENT < percent
}
