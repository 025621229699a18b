//! A node's tokens: which requests pass, and what to ask of the lender.
//!
//! Invariants: a request passes for exactly one token; tokens lent for requests that wait
//! serve no others; a token is given back at most once, by a request that never ran; tokens
//! lapse [`LOAN_LIFE_MS`] after the ask whose answer the node took in last.

use std::collections::HashMap;

use crate::defect::{is_on, Defect};
use crate::demand::Demand;
use crate::lender::LOAN_LIFE_MS;
use crate::message::{Shortage, TenantAsk, TenantLoan};

/// Time of demand for which tokens are held ahead, seconds. It covers an ask and its answer
/// many times over, and about the time for which a fleet has no leader after it was lost.
/// Fractions of a token are not held: a tenant whose callers come to all nodes now and then
/// would have its whole burst lie about (9 % of its requests refused below the limit, by
/// `tests/comparison.rs`).
const AHEAD_S: f64 = 0.6;
/// Part of the tokens to be held ahead below which the node asks for more: some asks a
/// second for each busy tenant.
const ASK_BELOW: f64 = 0.5;
/// Tokens are given back where a node holds more than so many times what it needs.
const GIVE_UP_TIMES: u32 = 2;
/// Pause before more tokens to be held are asked for after there were none, milliseconds:
/// other nodes hold as many as may be held, and give up what they don't need within about
/// as long.
const NONE_AHEAD_PAUSE_MS: u64 = 1_000;
/// Bounds of the time to come back after the limit was reached, milliseconds: one packet's
/// way and back at least; callers heed at most some seconds.
const RETRY_BOUNDS_MS: (u64, u64) = (50, 2_000);
/// Time in which a token can be given back, milliseconds: a call that finds no place is
/// mostly refused at once, or within its objective.
const GIVE_BACK_MS: u64 = 1_000;
/// Purses that are kept at most; idle ones beyond are forgotten.
const PURSES_KEPT: usize = 4_096;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It passes, for one token.
    Passes,
    /// Its tenant has reached its limit.
    LimitReached {
        /// When to come back, milliseconds.
        retry_after_ms: u64,
    },
    /// The lender must be asked first.
    Waits,
}

/// When the lender is to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Not now.
    None,
    /// Tokens run low.
    Soon,
    /// Requests wait.
    Now,
}

#[derive(Debug, Default)]
struct Purse {
    tokens: u32,
    /// Tokens for requests that wait.
    for_waiting: u32,
    /// Requests that wait for a token.
    waiting: u32,
    lapses_ms: u64,
    demand: Demand,
    active_ms: u64,
    /// Until when the limit is known to be reached.
    reached_until_ms: u64,
    /// Time between two tokens, as the lender told last, milliseconds.
    next_ms: u64,
    /// Requests refused since the limit was reached.
    refused: u64,
    /// The lender is not asked for tokens to be held before.
    ahead_from_ms: u64,
}

impl Purse {
    fn lapse(&mut self, now_ms: u64) {
        if now_ms >= self.lapses_ms && !is_on(Defect::LoansNeverLapse) {
            self.tokens = 0;
        }
    }

    fn wanted_ahead(&self, now_ms: u64) -> u32 {
        (self.demand.per_second(now_ms) * AHEAD_S) as u32
    }

    /// Tokens to ask for, to be held.
    fn missing_ahead(&self, now_ms: u64) -> u32 {
        let wanted = self.wanted_ahead(now_ms);
        let is_low = f64::from(self.tokens) < f64::from(wanted) * ASK_BELOW;
        match is_low && now_ms >= self.ahead_from_ms.max(self.reached_until_ms) {
            true => wanted - self.tokens,
            false => 0,
        }
    }

    /// Tokens to give back.
    fn surplus(&self, now_ms: u64) -> u32 {
        let wanted = self.wanted_ahead(now_ms);
        match self.tokens > wanted * GIVE_UP_TIMES && now_ms < self.lapses_ms {
            true => self.tokens - wanted,
            false => 0,
        }
    }

    fn urgency(&self, now_ms: u64) -> Urgency {
        if self.waiting > self.for_waiting && now_ms >= self.reached_until_ms {
            return Urgency::Now;
        }
        match self.missing_ahead(now_ms) + self.surplus(now_ms) {
            0 => Urgency::None,
            _ => Urgency::Soon,
        }
    }

    fn admit(&mut self, now_ms: u64) -> Admission {
        if self.tokens > 0 {
            self.tokens -= 1;
            return Admission::Passes;
        }
        match now_ms < self.reached_until_ms {
            true => self.refuse(now_ms),
            false => Admission::Waits,
        }
    }

    fn refuse(&mut self, now_ms: u64) -> Admission {
        let until_ms = self.reached_until_ms.saturating_sub(now_ms);
        // Those that are refused one after the other find a token each.
        let for_others_ms = self.refused.saturating_mul(self.next_ms);
        let retry_after_ms = until_ms.saturating_add(for_others_ms);
        self.refused += 1;
        let (least, most) = RETRY_BOUNDS_MS;
        Admission::LimitReached {
            retry_after_ms: retry_after_ms.clamp(least, most),
        }
    }
}

/// A node's tokens of all tenants.
#[derive(Debug, Default)]
pub struct Borrower {
    purses: HashMap<String, Purse>,
}

impl Borrower {
    /// A request of a tenant comes. If it waits, it looks again with [`Self::recheck`]
    /// after each answer of the lender, or leaves with [`Self::cancel_wait`].
    pub fn admit(&mut self, now_ms: u64, tenant: &str) -> Admission {
        let purse = self.purse(now_ms, tenant);
        purse.demand.came(now_ms);
        purse.active_ms = now_ms;
        purse.lapse(now_ms);
        let admission = purse.admit(now_ms);
        purse.waiting += u32::from(admission == Admission::Waits);
        admission
    }

    /// A request that waits looks whether it may pass now.
    pub fn recheck(&mut self, now_ms: u64, tenant: &str) -> Admission {
        let purse = self.purse(now_ms, tenant);
        purse.lapse(now_ms);
        let admission = match purse.for_waiting {
            0 => purse.admit(now_ms),
            _ => Admission::Passes,
        };
        if admission != Admission::Waits {
            purse.for_waiting = purse.for_waiting.saturating_sub(1);
            purse.waiting = purse.waiting.saturating_sub(1);
        }
        admission
    }

    /// A request that waits has gone.
    pub fn cancel_wait(&mut self, now_ms: u64, tenant: &str) {
        let purse = self.purse(now_ms, tenant);
        purse.waiting = purse.waiting.saturating_sub(1);
        purse.for_waiting = purse.for_waiting.min(purse.waiting);
    }

    /// A request that passed at `passed_ms` never ran: its token is there again. The lender
    /// may count it as spent by now, so only a token taken a moment ago comes back, and
    /// only up to what the node would hold ahead anyway.
    pub fn return_token(&mut self, now_ms: u64, tenant: &str, passed_ms: u64) {
        let purse = self.purse(now_ms, tenant);
        let is_old = now_ms >= passed_ms + GIVE_BACK_MS;
        if is_on(Defect::GivenBackTwice) {
            purse.tokens += 2;
        } else if !is_old && purse.tokens < purse.wanted_ahead(now_ms) {
            purse.tokens += 1;
        }
    }

    /// When the lender is to be asked.
    pub fn urgency(&self, now_ms: u64) -> Urgency {
        let purses = self.purses.values();
        purses
            .map(|purse| purse.urgency(now_ms))
            .max()
            .unwrap_or(Urgency::None)
    }

    /// When the lender is to be asked for this tenant.
    pub fn urgency_of(&self, now_ms: u64, tenant: &str) -> Urgency {
        let purse = self.purses.get(tenant);
        purse.map_or(Urgency::None, |purse| purse.urgency(now_ms))
    }

    /// Whether any request waits for a token.
    pub fn has_waiting(&self) -> bool {
        self.purses.values().any(|purse| purse.waiting > 0)
    }

    /// What to ask of the lender now.
    pub fn next_asks(&mut self, now_ms: u64) -> Vec<TenantAsk> {
        let mut asks = Vec::new();
        for (tenant, purse) in &mut self.purses {
            purse.lapse(now_ms);
            if purse.urgency(now_ms) == Urgency::None {
                continue;
            }
            let returned = purse.surplus(now_ms);
            purse.tokens -= returned;
            asks.push(TenantAsk {
                tenant: tenant.clone(),
                held: purse.tokens,
                returned,
                urgent: purse.waiting - purse.for_waiting,
                ahead: purse.missing_ahead(now_ms),
            });
        }
        asks
    }

    /// Takes in the answer to asks that were sent at `asked_ms`.
    pub fn apply_loans(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        asks: &[TenantAsk],
        loans: &[TenantLoan],
    ) {
        for (ask, loan) in asks.iter().zip(loans) {
            let purse = self.purse(now_ms, &ask.tenant);
            purse.lapse(now_ms);
            if now_ms < asked_ms + LOAN_LIFE_MS {
                purse.tokens += loan.ahead;
                purse.lapses_ms = asked_ms + LOAN_LIFE_MS;
            }
            // What was lent for requests that have gone since serves no others.
            purse.for_waiting = (purse.for_waiting + loan.urgent).min(purse.waiting);
            if ask.ahead > 0 && loan.ahead == 0 {
                purse.ahead_from_ms = now_ms + NONE_AHEAD_PAUSE_MS;
            }
            match loan.shortage {
                None => purse.refused = 0,
                Some(Shortage::LimitReached { next_ms }) => {
                    purse.next_ms = next_ms;
                    purse.reached_until_ms = now_ms.saturating_add(next_ms);
                }
                // The node's table is older or newer than the lender's.
                Some(Shortage::NoLimit) => purse.for_waiting = purse.waiting,
            }
        }
    }

    fn purse(&mut self, now_ms: u64, tenant: &str) -> &mut Purse {
        if !self.purses.contains_key(tenant) {
            self.forget_idle(now_ms);
            self.purses.insert(tenant.to_owned(), Purse::default());
        }
        self.purses.entry(tenant.to_owned()).or_default()
    }

    fn forget_idle(&mut self, now_ms: u64) {
        if self.purses.len() < PURSES_KEPT {
            return;
        }
        self.purses.retain(|_, purse| {
            purse.waiting > 0 || now_ms < purse.lapses_ms.max(purse.active_ms + LOAN_LIFE_MS)
        });
    }
}
