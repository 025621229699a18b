//! Enforces tenants' request limits with tokens borrowed from the leader.
//!
//! `pinerill_quota` makes the decisions. Here calls wait for the leader's answers, and one task
//! borrows tokens for all tenants together.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::message::{BorrowRequest, CallsRequest, CallsResponse};
use pinerill_calls::protocol::Refusal;
use pinerill_calls::table::Tenant;
use pinerill_process::clock::{timeout_at, BootTime};
use pinerill_quota::borrower::{Admission, Borrower, Urgency};
use pinerill_quota::lender::LONGEST_WAIT_MS;
use pinerill_quota::message::TenantAsk;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::node::Node;

/// Timeout of a borrow request, including attempts at other control machines.
const BORROW_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a borrow request that got no answer.
const FAILED_BORROW_DELAY: Duration = Duration::from_millis(40);
/// Minimum interval between two borrow requests for tokens ahead of calls, so that one request
/// covers several tenants.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Intervals between two checks whether tokens must be borrowed: while calls wait at a reached
/// limit for it to allow another one, and while no call waits.
const WAITING_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which a call waits for the leader's answer. A fleet that has lost its leader
/// has a new one after 500 ms or more: calls that arrive shortly before that are served, the others
/// are rejected with a retry delay.
const LONGEST_WAIT: Duration = Duration::from_millis(LONGEST_WAIT_MS);
/// Retry delay for callers while no leader lends tokens.
const NO_LEADER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The tokens that this node has borrowed, and the calls that wait for one.
#[derive(Default)]
pub(crate) struct NodeQuota {
    borrower: Mutex<Borrower>,
    /// Notified when the leader has answered or could not be reached.
    answered: Notify,
    /// Notified when tokens run low.
    wanted: Notify,
}

/// Admission of a call within its tenant's limit. The token is returned on drop if no worker may
/// have run the call.
pub(crate) struct Permit {
    node: Arc<Node>,
    tenant: Arc<Tenant>,
    admitted_ms: u64,
    ran: AtomicBool,
}

impl Permit {
    /// Marks the token as used, because a worker may have run the call.
    pub(crate) fn mark_ran(&self) {
        self.ran.store(true, Ordering::Relaxed);
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Permit({})", self.tenant.name)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.ran.load(Ordering::Relaxed) {
            let mut borrower = self.node.quota.borrower.lock();
            borrower.return_token(self.node.now_ms(), &self.tenant.name, self.admitted_ms);
        }
    }
}

/// A call that waits for a token. On drop it stops waiting, unless its admission has been decided.
struct PendingCall<'a> {
    node: &'a Node,
    tenant: &'a str,
    is_settled: bool,
}

impl PendingCall<'_> {
    fn poll(&mut self, now_ms: u64) -> Admission {
        let mut borrower = self.node.quota.borrower.lock();
        let admission = borrower.recheck(now_ms, self.tenant);
        self.is_settled = admission != Admission::Waits;
        admission
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            let mut borrower = self.node.quota.borrower.lock();
            borrower.cancel_wait(self.node.now_ms(), self.tenant);
        }
    }
}

/// Admits a call of a tenant if it is within the tenant's limit. If the leader must be asked, waits
/// for its answer until `until`, and for `LONGEST_WAIT` at most.
///
/// # Errors
/// Returns a refusal if the limit is reached or no leader answers.
pub(crate) async fn admit(
    node: &Arc<Node>,
    tenant: &Arc<Tenant>,
    until: BootTime,
) -> Result<Permit, Refusal> {
    let now_ms = node.now_ms();
    let (mut admission, urgency) = {
        let mut borrower = node.quota.borrower.lock();
        let admission = borrower.admit(now_ms, &tenant.name);
        (admission, borrower.urgency_of(now_ms, &tenant.name))
    };
    if urgency > Urgency::None {
        node.quota.wanted.notify_one();
    }
    if admission == Admission::Waits {
        admission = wait_for_token(node, tenant, until).await;
    }
    match admission {
        Admission::Passes => Ok(Permit {
            node: node.clone(),
            tenant: tenant.clone(),
            admitted_ms: now_ms,
            ran: AtomicBool::new(false),
        }),
        Admission::LimitReached { retry_after_ms } => {
            Err(limit_reached(node, tenant, retry_after_ms))
        }
        Admission::Waits => Err(no_leader(node, tenant)),
    }
}

/// Waits until the leader's answer decides on the admission of a call. Returns `Admission::Waits`
/// if the time is up first.
async fn wait_for_token(node: &Node, tenant: &Tenant, until: BootTime) -> Admission {
    let until = until.min(BootTime::now() + LONGEST_WAIT);
    let mut pending = PendingCall {
        node,
        tenant: &tenant.name,
        is_settled: false,
    };
    loop {
        let answered = node.quota.answered.notified();
        let admission = pending.poll(node.now_ms());
        let is_over = admission != Admission::Waits;
        if is_over || timeout_at(until, answered).await.is_err() {
            return admission;
        }
    }
}

fn limit_reached(node: &Node, tenant: &Tenant, retry_after_ms: u64) -> Refusal {
    node.metrics.quota_refused("limit_reached");
    log::info!(
        event = "limit_reached", tenant = tenant.name.as_str(), limit:? = tenant.limit,
        control_silent_ms = node.control_silent_ms(), retry_after_ms; ""
    );
    Refusal::LimitReached {
        retry_after: Duration::from_millis(retry_after_ms),
    }
}

fn no_leader(node: &Node, tenant: &Tenant) -> Refusal {
    node.metrics.quota_refused("no_leader");
    log::info!(
        event = "limit_not_known", tenant = tenant.name.as_str(), limit:? = tenant.limit,
        control_silent_ms = node.control_silent_ms(); ""
    );
    Refusal::NotRun {
        reason: "no leader says whether the tenant's limit is reached",
        retry_after: Some(NO_LEADER_RETRY_AFTER),
    }
}

/// Borrows tokens until the node stops.
pub(crate) async fn borrow(node: Arc<Node>) {
    let quota = &node.quota;
    loop {
        let began = BootTime::now();
        wait_for_urgency(&node, Urgency::Soon).await;
        let asked_ms = node.now_ms();
        let asks = quota.borrower.lock().next_asks(asked_ms);
        if asks.is_empty() {
            continue;
        }
        let is_urgent = asks.iter().any(|ask| ask.urgent > 0);
        let is_answered = borrow_tokens(&node, asks, asked_ms).await;
        quota.answered.notify_waiters();
        if !is_answered {
            sleep(FAILED_BORROW_DELAY).await;
        } else if !is_urgent {
            // Ends early if calls need tokens immediately.
            let rest = PREFETCH_INTERVAL.saturating_sub(began.elapsed());
            let _ = timeout(rest, wait_for_urgency(&node, Urgency::Now)).await;
        }
    }
}

async fn wait_for_urgency(node: &Node, min: Urgency) {
    let quota = &node.quota;
    loop {
        let (urgency, someone_waits) = {
            let borrower = quota.borrower.lock();
            (borrower.urgency(node.now_ms()), borrower.has_waiting())
        };
        if urgency >= min {
            return;
        }
        let pause = match someone_waits {
            true => WAITING_CHECK_INTERVAL,
            false => IDLE_CHECK_INTERVAL,
        };
        // Wakes up when tokens run low or after the check interval.
        let _ = timeout(pause, quota.wanted.notified()).await;
    }
}

async fn borrow_tokens(node: &Node, asks: Vec<TenantAsk>, asked_ms: u64) -> bool {
    let request = CallsRequest::Borrow(BorrowRequest {
        node: node.incarnation.clone(),
        asks: asks.clone(),
    });
    match node
        .cluster
        .call(&request, BORROW_TIMEOUT, Duration::ZERO)
        .await
    {
        Ok(answered) => {
            if let CallsResponse::Lent(loans) = answered.response {
                let mut borrower = node.quota.borrower.lock();
                borrower.apply_loans(node.now_ms(), asked_ms, &asks, &loans);
            }
            true
        }
        Err(failure) => {
            log::info!(
                event = "requests_not_borrowed", tenants = asks.len(),
                reason = failure.message.as_str(); ""
            );
            false
        }
    }
}
