//! Lends nodes the tokens that calls of tenants need. Only the leader lends, and only while a
//! majority has recently confirmed its leadership.

use std::collections::HashMap;

use pinerill_calls::message::{BorrowRequest, CallsResponse};
use pinerill_calls::table::RouteTable;
use pinerill_quota::limit::RequestLimit;
use pinerill_wire::message::Refusal;

use super::control::Control;

/// Time for which this machine lends tokens after a majority has confirmed its leadership,
/// milliseconds. It must be shorter than the shortest election timeout (300 ms, `run`): no other
/// machine can become leader within it, so two leaders never lend at the same time, even if this
/// machine was frozen or suspended in between. The four confirmations per second are few compared
/// with the leader's own heartbeats.
pub(super) const CONFIRMATION_VALIDITY_MS: u64 = 250;

/// Limits of the route table in force, by tenant.
#[derive(Debug, Default)]
pub(super) struct LimitIndex {
    version: Option<u64>,
    limits: HashMap<String, RequestLimit>,
}

impl LimitIndex {
    /// Replaces the limits by those of `table`. Returns whether its version differs from that of
    /// the previous table.
    fn update(&mut self, table: Option<&RouteTable>) -> bool {
        let version = table.map(|table| table.version);
        if version == self.version {
            return false;
        }
        let tenants = table.and_then(|table| table.tenants.as_ref());
        let limited = tenants.into_iter().flatten();
        self.limits = limited
            .filter_map(|tenant| Some((tenant.name.clone(), tenant.limit?)))
            .collect();
        self.version = version;
        true
    }

    fn limit_for(&self, tenant: &str) -> Option<RequestLimit> {
        self.limits.get(tenant).copied()
    }
}

impl Control {
    /// Lends tokens to a node, within the limits of the route table in force.
    pub(super) async fn lend_tokens(
        &self,
        request: BorrowRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "lend requests";
        self.confirm_leadership(step).await?;
        let now_ms = self.now_ms();
        let table = self.table_in_force();
        let loans = self.with_leadership(step, |leadership| {
            let changed = leadership.limits.update(table.as_deref());
            let limits = &leadership.limits;
            if changed {
                leadership
                    .lender
                    .keep_only(|tenant| limits.limit_for(tenant).is_some());
            }
            leadership
                .lender
                .lend(now_ms, &request.node, &request.asks, |tenant| {
                    limits.limit_for(tenant)
                })
        })?;
        Ok(CallsResponse::Lent(loans))
    }

    pub(super) async fn confirm_leadership(&self, step: &'static str) -> Result<(), Box<Refusal>> {
        let asked_ms = self.now_ms();
        let confirmed_ms = self.with_leadership(step, |leadership| leadership.confirmed_ms)?;
        let is_confirmed = |at: u64| asked_ms < at + CONFIRMATION_VALIDITY_MS;
        if confirmed_ms.is_some_and(is_confirmed) {
            return Ok(());
        }
        self.barrier(step).await?;
        self.with_leadership(step, |leadership| leadership.confirmed_ms = Some(asked_ms))
    }
}
