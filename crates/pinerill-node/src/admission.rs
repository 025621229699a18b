//! Per-tenant limits at this node: a request rate, enforced by a token bucket, and a number of
//! requests in flight. The module does no I/O; the caller passes the time.

use std::collections::HashMap;

use pinerill_quota::bucket::TokenBucket;
use pinerill_types::TenantName;

use crate::configuration::TenantPlan;

/// Number of tracked tenants above which the state of idle tenants is dropped.
const IDLE_CLEANUP_THRESHOLD: usize = 4_096;

/// The limit that a rejected request exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReached {
    /// The request rate. Contains the time until the next token in milliseconds.
    Rate(u64),
    /// The number of requests in flight.
    Concurrency,
}

#[derive(Debug)]
struct TenantState {
    bucket: TokenBucket,
    in_flight: u32,
}

/// Token buckets and in-flight counts of the tenants at this node.
#[derive(Debug, Default)]
pub struct TenantLimits {
    tenants: HashMap<TenantName, TenantState>,
}

impl TenantLimits {
    /// Admits one request of a tenant, which takes a token and counts as in flight until
    /// [`Self::release`] is called.
    ///
    /// # Errors
    /// Returns the limit that the request would exceed. The request then takes no token and
    /// does not count as in flight.
    pub fn admit(&mut self, now_ms: u64, limits: &TenantPlan) -> Result<(), LimitReached> {
        let burst = f64::from(limits.burst.max(1));
        self.drop_idle();
        let state = self
            .tenants
            .entry(limits.name.clone())
            .or_insert_with(|| TenantState {
                bucket: TokenBucket::with_tokens(now_ms, burst),
                in_flight: 0,
            });
        if state.in_flight >= limits.concurrent_requests {
            return Err(LimitReached::Concurrency);
        }
        state
            .bucket
            .take(now_ms, limits.requests_per_second, burst)
            .map_err(LimitReached::Rate)?;
        state.in_flight += 1;
        Ok(())
    }

    /// Ends one admitted request of a tenant. Does nothing for an unknown tenant.
    pub fn release(&mut self, name: &TenantName) {
        if let Some(state) = self.tenants.get_mut(name) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Drops all tenants without requests in flight once there are more than
    /// `IDLE_CLEANUP_THRESHOLD`, which bounds memory. Below that they are kept, because a dropped
    /// tenant starts again with a full bucket.
    fn drop_idle(&mut self) {
        if self.tenants.len() > IDLE_CLEANUP_THRESHOLD {
            self.tenants.retain(|_, state| state.in_flight > 0);
        }
    }
}
