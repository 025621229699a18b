//! Admission of caller requests. An online request is checked in this order:
//! draining, key and configuration, headers, body, service, tenant limits.

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

/// Suggested retry delay while the configuration is not confirmed, in
/// milliseconds.
const UNCONFIRMED_RETRY_MS: u64 = 1_000;
/// Suggested delay before a retry at another node while this one drains, in
/// milliseconds.
const DRAINING_RETRY_MS: u64 = 100;
/// Suggested retry delay while the tenant has too many requests in flight, in
/// milliseconds.
const CONCURRENCY_RETRY_MS: u64 = 250;
const ALL_PERCENT: u32 = 100;

/// Guard of an admitted request. Dropping it takes the request off the
/// tenant's concurrency count and the in-flight count.
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

/// An authenticated caller and the configuration bundle that applies to it.
#[derive(Debug, Clone)]
pub struct Authenticated {
    /// Configuration bundle in force when the key was checked.
    pub catalog: Arc<Catalog>,
    /// Tenant that owns the caller's key.
    pub tenant: TenantName,
    /// Whether this node has confirmed that the bundle is in force.
    pub confirmed: bool,
}

/// Finds the tenant that owns the caller's bearer key.
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

/// Returns the failure of a request that needs a confirmed bundle while this
/// node has none.
pub fn unconfirmed() -> RequestFailure {
    RequestFailure::not_run(
        FailureCode::ConfigurationUnconfirmed,
        "confirm configuration",
        "this node can't confirm which bundle is in force",
    )
    .with_peer("control")
    .retry_after(UNCONFIRMED_RETRY_MS)
}

/// Returns the failure of a request that arrives while this node drains.
pub fn draining() -> RequestFailure {
    RequestFailure::not_run(FailureCode::Draining, "admit", "this node is stopping")
        .retry_after(DRAINING_RETRY_MS)
}

/// Finds a service by name and checks that the tenant may call it. Without a
/// confirmed bundle only services with `serve_when_cut_off` are found.
///
/// # Errors
/// `unknown_service`, `service_not_allowed` or `configuration_unconfirmed`.
pub fn find_service(
    authenticated: &Authenticated,
    name: &str,
) -> Result<Arc<ServicePlan>, RequestFailure> {
    let name = ServiceName::from(name);
    let plan = authenticated.catalog.service(&name);
    let serves_unconfirmed = plan.is_some_and(|plan| plan.settings.serve_when_cut_off);
    if !authenticated.confirmed && !serves_unconfirmed {
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

/// Converts a problem in a request body to the failure for its caller.
pub fn problem_failure(problem: &RequestProblem) -> RequestFailure {
    let code = match problem {
        RequestProblem::Json(_) => FailureCode::InvalidJson,
        RequestProblem::Field { .. } => FailureCode::InvalidRequest,
    };
    RequestFailure::not_run(code, "read body", problem.to_string())
}

/// Admits an online request after all checks have passed.
///
/// # Errors
/// The failure to return to the caller.
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
        to_script: sample_script_share(&plan),
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

fn sample_script_share(plan: &ServicePlan) -> bool {
    let share = plan.settings.script.as_ref();
    let percent = share.map_or(0, |script| script.share_percent);
    percent > 0 && rand::random::<u32>() % ALL_PERCENT < percent
}
