//! Whether a tenant's call is within its limit: borrows tokens from the leader.
//!
//! `pinerill_quota` decides; here calls wait for the leader's answers, and one task asks for
//! all tenants together.

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

/// Longest time that one ask takes, other control machines tried included.
const ASK_TIME: Duration = Duration::from_millis(400);
/// Pause after an ask that brought no answer.
const LOST_PAUSE: Duration = Duration::from_millis(40);
/// Shortest pause between two asks for tokens ahead of calls: what several tenants need is
/// asked for together.
const AHEAD_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks at what is needed while calls wait for a limit that is reached
/// to allow another one, and while none waits.
const WAITING_LOOK_PAUSE: Duration = Duration::from_millis(10);
const IDLE_LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Longest time that a call waits for the leader's answer. A fleet that has lost its leader
/// has another one after half a second or more: calls that came shortly before are served,
/// the others are told when to come back.
const LONGEST_WAIT: Duration = Duration::from_millis(LONGEST_WAIT_MS);
/// When to come back while no leader lends.
const LOST_RETRY: Duration = Duration::from_millis(500);

/// The node's tokens and the calls that wait for some.
#[derive(Default)]
pub(crate) struct NodeQuota {
    borrower: Mutex<Borrower>,
    /// The leader has answered, or could not be asked.
    answered: Notify,
    /// Tokens run low.
    wanted: Notify,
}

/// A call that is within its tenant's limit. Its token comes back if it never ran.
pub(crate) struct Permit {
    node: Arc<Node>,
    tenant: Arc<Tenant>,
    passed_ms: u64,
    ran: AtomicBool,
}

impl Permit {
    /// A worker may have run the call.
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
            borrower.return_token(self.node.now_ms(), &self.tenant.name, self.passed_ms);
        }
    }
}

/// A call that waits for a token; it leaves when dropped, unless it was settled.
struct Waiting<'a> {
    node: &'a Node,
    tenant: &'a str,
    is_settled: bool,
}

impl Waiting<'_> {
    fn look_again(&mut self, now_ms: u64) -> Admission {
        let mut borrower = self.node.quota.borrower.lock();
        let admission = borrower.recheck(now_ms, self.tenant);
        self.is_settled = admission != Admission::Waits;
        admission
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            let mut borrower = self.node.quota.borrower.lock();
            borrower.cancel_wait(self.node.now_ms(), self.tenant);
        }
    }
}

/// Lets a call of a tenant pass if it is within the tenant's limit; waits for the leader's
/// answer if it must be asked, for a moment and until `until` at most.
///
/// # Errors
/// A refusal: the limit is reached, or no leader answers.
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
        admission = wait(node, tenant, until).await;
    }
    match admission {
        Admission::Passes => Ok(Permit {
            node: node.clone(),
            tenant: tenant.clone(),
            passed_ms: now_ms,
            ran: AtomicBool::new(false),
        }),
        Admission::LimitReached { retry_after_ms } => {
            Err(limit_reached(node, tenant, retry_after_ms))
        }
        Admission::Waits => Err(no_leader(node, tenant)),
    }
}

/// Waits until the leader's answer settles what becomes of a call.
async fn wait(node: &Node, tenant: &Tenant, until: BootTime) -> Admission {
    let until = until.min(BootTime::now() + LONGEST_WAIT);
    let mut waiting = Waiting {
        node,
        tenant: &tenant.name,
        is_settled: false,
    };
    loop {
        let answered = node.quota.answered.notified();
        let admission = waiting.look_again(node.now_ms());
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
        retry_after: Some(LOST_RETRY),
    }
}

/// Borrows tokens until the node ends.
pub(crate) async fn borrow(node: Arc<Node>) {
    let desk = &node.quota;
    loop {
        let began = BootTime::now();
        wait_for_urgency(&node, Urgency::Soon).await;
        let asked_ms = node.now_ms();
        let asks = desk.borrower.lock().next_asks(asked_ms);
        if asks.is_empty() {
            continue;
        }
        let is_urgent = asks.iter().any(|ask| ask.urgent > 0);
        let is_answered = ask(&node, asks, asked_ms).await;
        desk.answered.notify_waiters();
        if !is_answered {
            sleep(LOST_PAUSE).await;
        } else if !is_urgent {
            // Calls that must wait meanwhile end the pause.
            let rest = AHEAD_PAUSE.saturating_sub(began.elapsed());
            let _ = timeout(rest, wait_for_urgency(&node, Urgency::Now)).await;
        }
    }
}

async fn wait_for_urgency(node: &Node, least: Urgency) {
    let desk = &node.quota;
    loop {
        let (urgency, someone_waits) = {
            let borrower = desk.borrower.lock();
            (borrower.urgency(node.now_ms()), borrower.has_waiting())
        };
        if urgency >= least {
            return;
        }
        let pause = match someone_waits {
            true => WAITING_LOOK_PAUSE,
            false => IDLE_LOOK_PAUSE,
        };
        // Either tokens run low or it is time to look again.
        let _ = timeout(pause, desk.wanted.notified()).await;
    }
}

async fn ask(node: &Node, asks: Vec<TenantAsk>, asked_ms: u64) -> bool {
    let request = CallsRequest::Borrow(BorrowRequest {
        node: node.start.clone(),
        asks: asks.clone(),
    });
    match node.cluster.call(&request, ASK_TIME, Duration::ZERO).await {
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
