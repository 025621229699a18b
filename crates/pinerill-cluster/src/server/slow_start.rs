//! Lends nodes the permits that requests to cold workers need.
//!
//! A cold worker can serve only a few requests per second from all nodes together. Each of these
//! requests needs a permit from the leader, so the limit holds whatever the nodes know about each
//! other. A node that can't reach the leader sends no requests to cold workers.

use pinerill_calls::message::{CallsResponse, ColdWorker, SlowStartRequest};
use pinerill_quota::limit::RequestLimit;
use pinerill_quota::message::TenantAsk;
use pinerill_wire::message::Refusal;

use super::control::Control;

impl Control {
    /// Lends at most one permit for each worker that the node names. The answer lists the workers
    /// for which a permit was granted.
    pub(super) async fn lend_slow_starts(
        &self,
        request: SlowStartRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "lend slow starts";
        self.confirm_leadership(step).await?;
        let table = self.table_in_force();
        let table = table.as_deref();
        let workers = request.workers.iter();
        let limits: Vec<Option<RequestLimit>> = workers
            .map(|worker| {
                let slow_start = table?.service(&worker.service)?.slow_start?;
                Some(RequestLimit {
                    rate_per_s: slow_start.rate_per_s,
                    burst: 0.0,
                })
            })
            .collect();
        let now_ms = self.now_ms();
        let lent = self.with_leadership(step, |leadership| {
            let asked = request.workers.into_iter().zip(limits);
            asked
                .filter_map(|(worker, limit)| {
                    let asks = [permit_request(&worker)];
                    let lender = &mut leadership.slow_starts;
                    let loans = lender.lend(now_ms, &request.node, &asks, |_| limit);
                    let is_lent = loans.first().is_some_and(|loan| loan.urgent > 0);
                    is_lent.then_some(worker.id)
                })
                .collect()
        })?;
        Ok(CallsResponse::SlowStarts(lent))
    }
}

/// Returns the request for one permit. A permit must be used at once; none can be held for later.
fn permit_request(worker: &ColdWorker) -> TenantAsk {
    TenantAsk {
        tenant: worker.id.to_string(),
        held: 0,
        returned: 0,
        urgent: 1,
        ahead: 0,
    }
}
