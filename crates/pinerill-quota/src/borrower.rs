//! The node's side of the quota: admits requests against borrowed tokens and decides what
//! to request from the lender.
//!
//! Invariants: each admitted request consumes exactly one token; tokens lent for waiting
//! requests serve no others; a token is returned at most once, by a request that never ran;
//! tokens expire [`LOAN_LIFETIME_MS`] after the node sent the loan request whose answer it
//! applied last.

use std::collections::HashMap;

use crate::defect::{is_on, Defect};
use crate::demand::Demand;
use crate::lender::LOAN_LIFETIME_MS;
use crate::message::{Shortage, TenantAsk, TenantLoan};

/// Span of expected demand for which a node holds tokens in advance, in seconds. It covers
/// many round trips to the lender, and about the time for which a fleet has no leader after
/// it lost one. The number of tokens is rounded down: if nodes held fractions of a token, a
/// tenant whose callers reach every node now and then would have its whole burst held idle,
/// and 9 % of its requests would be rejected below the limit (scenario in `tests/comparison.rs`).
const PREFETCH_S: f64 = 0.6;
/// Fraction of the target below which the node requests more tokens. It leads to a few loan
/// requests per second for each busy tenant.
const REFILL_THRESHOLD: f64 = 0.5;
/// A node returns its surplus when it holds more than this many times its target.
const SURPLUS_FACTOR: u32 = 2;
/// Backoff before tokens are requested in advance again after the lender had none, in
/// milliseconds. In that case other nodes hold as many tokens as may be held; they return
/// those that they don't need within about this time.
const PREFETCH_BACKOFF_MS: u64 = 1_000;
/// Lower and upper bound of the suggested retry delay after the limit was reached, in
/// milliseconds. The lower bound covers a network round trip; callers honor delays of a few
/// seconds at most.
const RETRY_DELAY_BOUNDS_MS: (u64, u64) = (50, 2_000);
/// Time after admission within which a token can be returned, in milliseconds. Most calls
/// that find no free slot are rejected immediately or within their latency objective.
const RETURN_PERIOD_MS: u64 = 1_000;
/// Number of tenants from which on idle tenants are evicted before another one is added.
const EVICTION_THRESHOLD: usize = 4_096;

/// Admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted and has consumed one token.
    Passes,
    /// The request is rejected because its tenant has reached its limit.
    LimitReached {
        /// Suggested delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request waits until the lender has answered a loan request.
    Waits,
}

/// How soon the node should send a loan request to the lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// No loan request is needed.
    None,
    /// The node holds too few or too many tokens, but no request waits.
    Soon,
    /// Requests wait for tokens.
    Now,
}

/// A node's tokens and waiting requests of one tenant.
#[derive(Debug, Default)]
struct TenantState {
    /// Tokens held for requests that have yet to arrive.
    tokens: u32,
    /// Tokens lent for waiting requests and not yet consumed by them.
    reserved: u32,
    /// Number of requests that wait for a token.
    waiting: u32,
    /// Time at which the held tokens expire.
    expires_ms: u64,
    demand: Demand,
    /// Time of the latest request.
    active_ms: u64,
    /// Time until which the tenant's limit is known to be reached.
    limited_until_ms: u64,
    /// Time between two tokens, as last reported by the lender, in milliseconds.
    next_token_ms: u64,
    /// Number of requests rejected since the limit was reached.
    rejected: u64,
    /// Time before which no tokens are requested in advance.
    prefetch_from_ms: u64,
}

impl TenantState {
    fn expire(&mut self, now_ms: u64) {
        if now_ms >= self.expires_ms && !is_on(Defect::LoansNeverExpire) {
            self.tokens = 0;
        }
    }

    fn target_ahead(&self, now_ms: u64) -> u32 {
        (self.demand.per_second(now_ms) * PREFETCH_S) as u32
    }

    /// Returns the number of tokens to request in advance of demand.
    fn missing_ahead(&self, now_ms: u64) -> u32 {
        let target = self.target_ahead(now_ms);
        let is_low = f64::from(self.tokens) < f64::from(target) * REFILL_THRESHOLD;
        match is_low && now_ms >= self.prefetch_from_ms.max(self.limited_until_ms) {
            true => target - self.tokens,
            false => 0,
        }
    }

    /// Returns the number of held tokens to return to the lender.
    fn surplus(&self, now_ms: u64) -> u32 {
        let target = self.target_ahead(now_ms);
        match self.tokens > target * SURPLUS_FACTOR && now_ms < self.expires_ms {
            true => self.tokens - target,
            false => 0,
        }
    }

    fn urgency(&self, now_ms: u64) -> Urgency {
        if self.waiting > self.reserved && now_ms >= self.limited_until_ms {
            return Urgency::Now;
        }
        match self.missing_ahead(now_ms) + self.surplus(now_ms) {
            0 => Urgency::None,
            _ => Urgency::Soon,
        }
    }

    fn apply_urgent(&mut self, now_ms: u64, loan: &TenantLoan) {
        // Tokens lent for requests that have given up since then serve no others.
        self.reserved = (self.reserved + loan.urgent).min(self.waiting);
        match loan.shortage {
            None => self.rejected = 0,
            Some(Shortage::LimitReached { next_ms }) => {
                self.next_token_ms = next_ms;
                self.limited_until_ms = now_ms.saturating_add(next_ms);
            }
            // The lender's table has no limit for this tenant, so its version differs from
            // the node's: all waiting requests pass.
            Some(Shortage::NoLimit) => self.reserved = self.waiting,
        }
    }

    fn admit(&mut self, now_ms: u64) -> Admission {
        if self.tokens > 0 {
            self.tokens -= 1;
            return Admission::Passes;
        }
        match now_ms < self.limited_until_ms {
            true => self.reject(now_ms),
            false => Admission::Waits,
        }
    }

    fn reject(&mut self, now_ms: u64) -> Admission {
        let until_ms = self.limited_until_ms.saturating_sub(now_ms);
        // Rejected requests get successive retry times, so that each finds a token.
        let for_rejected_ms = self.rejected.saturating_mul(self.next_token_ms);
        let retry_after_ms = until_ms.saturating_add(for_rejected_ms);
        self.rejected += 1;
        let (least, most) = RETRY_DELAY_BOUNDS_MS;
        Admission::LimitReached {
            retry_after_ms: retry_after_ms.clamp(least, most),
        }
    }
}

/// The tokens that a node has borrowed, for all tenants. All times are milliseconds of the
/// same monotonic clock, passed in by the caller.
#[derive(Debug, Default)]
pub struct Borrower {
    tenants: HashMap<String, TenantState>,
}

impl Borrower {
    /// Decides on a newly arrived request of a tenant. If the result is
    /// [`Admission::Waits`], the caller must call [`Self::recheck`] after each answer of the
    /// lender, or [`Self::cancel_wait`] to give up.
    pub fn admit(&mut self, now_ms: u64, tenant: &str) -> Admission {
        let state = self.tenant_state(now_ms, tenant);
        state.demand.record_request(now_ms);
        state.active_ms = now_ms;
        state.expire(now_ms);
        let admission = state.admit(now_ms);
        state.waiting += u32::from(admission == Admission::Waits);
        admission
    }

    /// Decides again on a request that waits. Any result but [`Admission::Waits`] ends the
    /// wait.
    pub fn recheck(&mut self, now_ms: u64, tenant: &str) -> Admission {
        let state = self.tenant_state(now_ms, tenant);
        state.expire(now_ms);
        let admission = match state.reserved {
            0 => state.admit(now_ms),
            _ => Admission::Passes,
        };
        if admission != Admission::Waits {
            state.reserved = state.reserved.saturating_sub(1);
            state.waiting = state.waiting.saturating_sub(1);
        }
        admission
    }

    /// Removes a waiting request whose caller has given up.
    pub fn cancel_wait(&mut self, now_ms: u64, tenant: &str) {
        let state = self.tenant_state(now_ms, tenant);
        state.waiting = state.waiting.saturating_sub(1);
        state.reserved = state.reserved.min(state.waiting);
    }

    /// Restores the token of a request that was admitted at `passed_ms` and never ran. The
    /// lender may already count the token as spent, so it is only restored if it was taken
    /// recently and the node holds less than its target.
    pub fn return_token(&mut self, now_ms: u64, tenant: &str, passed_ms: u64) {
        let state = self.tenant_state(now_ms, tenant);
        let is_old = now_ms >= passed_ms + RETURN_PERIOD_MS;
        if is_on(Defect::ReturnedTwice) {
            state.tokens += 2;
        } else if !is_old && state.tokens < state.target_ahead(now_ms) {
            state.tokens += 1;
        }
    }

    /// Returns how soon the lender must be contacted: the highest urgency of all tenants.
    pub fn urgency(&self, now_ms: u64) -> Urgency {
        let states = self.tenants.values();
        states
            .map(|state| state.urgency(now_ms))
            .max()
            .unwrap_or(Urgency::None)
    }

    /// Returns how soon the lender must be contacted for this tenant.
    pub fn urgency_of(&self, now_ms: u64, tenant: &str) -> Urgency {
        let state = self.tenants.get(tenant);
        state.map_or(Urgency::None, |state| state.urgency(now_ms))
    }

    /// Returns whether any request waits for a token.
    pub fn has_waiting(&self) -> bool {
        self.tenants.values().any(|state| state.waiting > 0)
    }

    /// Returns the loan requests to send now, one for each tenant that needs or returns
    /// tokens. Removes the returned tokens from those held.
    pub fn next_asks(&mut self, now_ms: u64) -> Vec<TenantAsk> {
        let mut asks = Vec::new();
        for (tenant, state) in &mut self.tenants {
            state.expire(now_ms);
            if state.urgency(now_ms) == Urgency::None {
                continue;
            }
            let returned = state.surplus(now_ms);
            state.tokens -= returned;
            asks.push(TenantAsk {
                tenant: tenant.clone(),
                held: state.tokens,
                returned,
                urgent: state.waiting - state.reserved,
                ahead: state.missing_ahead(now_ms),
            });
        }
        asks
    }

    /// Applies the lender's answer to the loan requests that were sent at `asked_ms`. The
    /// loans are in the order of `asks`.
    pub fn apply_loans(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        asks: &[TenantAsk],
        loans: &[TenantLoan],
    ) {
        for (ask, loan) in asks.iter().zip(loans) {
            let state = self.tenant_state(now_ms, &ask.tenant);
            state.expire(now_ms);
            if now_ms < asked_ms + LOAN_LIFETIME_MS {
                state.tokens += loan.ahead;
                state.expires_ms = asked_ms + LOAN_LIFETIME_MS;
            }
            if ask.ahead > 0 && loan.ahead == 0 {
                state.prefetch_from_ms = now_ms + PREFETCH_BACKOFF_MS;
            }
            state.apply_urgent(now_ms, loan);
        }
    }

    /// Applies the answer of a second lender to requests that wait: it lends tokens for these
    /// only, so those that are held expire as before.
    pub fn apply_urgent(&mut self, now_ms: u64, asks: &[TenantAsk], loans: &[TenantLoan]) {
        for (ask, loan) in asks.iter().zip(loans) {
            let state = self.tenant_state(now_ms, &ask.tenant);
            state.apply_urgent(now_ms, loan);
        }
    }

    fn tenant_state(&mut self, now_ms: u64, tenant: &str) -> &mut TenantState {
        if !self.tenants.contains_key(tenant) {
            self.evict_idle(now_ms);
            self.tenants
                .insert(tenant.to_owned(), TenantState::default());
        }
        self.tenants.entry(tenant.to_owned()).or_default()
    }

    /// Evicts tenants without waiting requests, unexpired tokens or recent requests if the
    /// number of tenants has reached the threshold.
    fn evict_idle(&mut self, now_ms: u64) {
        if self.tenants.len() < EVICTION_THRESHOLD {
            return;
        }
        self.tenants.retain(|_, state| {
            state.waiting > 0 || now_ms < state.expires_ms.max(state.active_ms + LOAN_LIFETIME_MS)
        });
    }
}
