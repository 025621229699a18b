//! Lends nodes permits for requests to workers that are still cold.
//!
//! A cold worker bears few requests a second from all nodes together. Each of them needs a
//! permit from here, so that the bound follows from what was lent, whatever nodes know of
//! each other. A node that reaches no leader sends nothing there.

use pinerill_calls::message::{CallsResponse, ColdWorker, SlowStartRequest};
use pinerill_quota::limit::RequestLimit;
use pinerill_quota::message::TenantAsk;
use pinerill_wire::message::Refusal;

use super::control::Control;

impl Control {
    /// Lends at most one permit for each worker that the node names.
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
                    let asks = [one_permit(&worker)];
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

/// Permits are lent for use at once, none to be held.
fn one_permit(worker: &ColdWorker) -> TenantAsk {
    TenantAsk {
        tenant: worker.id.to_string(),
        held: 0,
        returned: 0,
        urgent: 1,
        ahead: 0,
    }
}
