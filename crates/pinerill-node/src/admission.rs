//! Limits of tenants at this node: a token bucket and requests in flight.
//! Pure: time is given.

use std::collections::HashMap;

use pinerill_types::TenantName;

use crate::configuration::TenantPlan;

/// Idle tenants are forgotten when more than this many are known.
const TENANTS_KEPT: usize = 4_096;

/// A bucket that fills at a rate and lets one pass for each token.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled_ms: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(now_ms: u64, burst: f64) -> Self {
        Self {
            tokens: burst,
            filled_ms: now_ms,
        }
    }

    /// Takes one token, or says how long until there is one, milliseconds.
    ///
    /// # Errors
    /// The wait in milliseconds.
    pub fn take(&mut self, now_ms: u64, per_second: f64, burst: f64) -> Result<(), u64> {
        let elapsed = now_ms.saturating_sub(self.filled_ms) as f64;
        self.tokens = (self.tokens + elapsed * per_second / 1_000.0).min(burst);
        self.filled_ms = now_ms;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err((missing * 1_000.0 / per_second).ceil() as u64)
    }

    /// Adds tokens, up to a limit.
    pub fn add(&mut self, tokens: f64, limit: f64) {
        self.tokens = (self.tokens + tokens).min(limit);
    }

    /// Takes one token if there is one; nothing fills the bucket by itself.
    pub fn take_one(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

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
                bucket: TokenBucket::full(now_ms, burst),
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
