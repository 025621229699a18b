//! Limits of tenants at this node: a token bucket and requests in flight.
//! Pure: time is given.

use std::collections::HashMap;

use pinerill_quota::bucket::TokenBucket;
use pinerill_types::TenantName;

use crate::configuration::TenantPlan;

/// Idle tenants are forgotten when more than this many are known.
const TENANTS_KEPT: usize = 4_096;

/// Why a tenant's request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReached {
    /// Too many a second; a token comes after so many milliseconds.
    Rate(u64),
    /// Too many in flight.
    Concurrency,
}

#[derive(Debug)]
struct TenantState {
    bucket: TokenBucket,
    in_flight: u32,
}

/// Limits of all tenants.
#[derive(Debug, Default)]
pub struct TenantLimits {
    tenants: HashMap<TenantName, TenantState>,
}

impl TenantLimits {
    /// Admits one request of a tenant; [`Self::release`] ends it.
    ///
    /// # Errors
    /// The limit that it would break.
    pub fn admit(&mut self, now_ms: u64, limits: &TenantPlan) -> Result<(), LimitReached> {
        let burst = f64::from(limits.burst.max(1));
        self.forget_idle();
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

    /// One request of a tenant ended.
    pub fn release(&mut self, name: &TenantName) {
        if let Some(state) = self.tenants.get_mut(name) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// A forgotten tenant starts with a full bucket, so only so many are
    /// forgotten as keeps memory bounded.
    fn forget_idle(&mut self) {
        if self.tenants.len() > TENANTS_KEPT {
            self.tenants.retain(|_, state| state.in_flight > 0);
        }
    }
}
