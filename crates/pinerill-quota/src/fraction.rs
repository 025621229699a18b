//! Lends tokens under a part of each limit that may change at any time.

use std::collections::HashMap;

use crate::lender::{Lender, Scale, LOAN_LIFETIME_MS};
use crate::limit::{RequestLimit, Tolerance};
use crate::message::{TenantAsk, TenantLoan};
use crate::renewal::WHOLE;

/// Returns the tolerance that is divided together with the limits: one request for each part is
/// set aside, since its bucket contains one token more than its part of the burst. Returns `None`
/// if the tolerance is smaller than that; the limits must then stay undivided.
pub fn divided_tolerance(tolerance: &Tolerance, parts: usize) -> Option<Tolerance> {
    let requests = tolerance.requests - parts as f64;
    (requests >= 0.0).then_some(Tolerance {
        requests,
        ..*tolerance
    })
}

/// The part of one tenant, in units of 1/[`WHOLE`] of its limit.
#[derive(Debug, Clone, Copy)]
struct Fraction {
    /// The part under which tokens are lent.
    lent: u16,
    /// At most the smallest value of `lent` within the last [`LOAN_LIFETIME_MS`].
    held: u16,
    /// Smallest value of `lent` since `since_ms`.
    smallest: u16,
    since_ms: u64,
}

impl Fraction {
    fn refresh(&mut self, now_ms: u64) {
        if now_ms >= self.since_ms + LOAN_LIFETIME_MS {
            self.held = self.smallest;
            self.smallest = self.lent;
            self.since_ms = now_ms;
        }
    }

    fn set(&mut self, part: u16) {
        self.lent = part;
        self.held = self.held.min(part);
        self.smallest = self.smallest.min(part);
    }

    fn scale(&self) -> Scale {
        Scale {
            lent: f64::from(self.lent) / f64::from(WHOLE),
            held: f64::from(self.held) / f64::from(WHOLE),
        }
    }
}

/// Lends tokens of all tenants, each under a part of its limit.
#[derive(Debug)]
pub struct FractionLender {
    lender: Lender,
    /// Part of which nodes may hold tokens as soon as a tenant gets its first part.
    held_at_start: u16,
    fractions: HashMap<String, Fraction>,
}

impl FractionLender {
    /// Creates a lender without parts. `tolerance` is that of the whole limit
    /// ([`divided_tolerance`]).
    pub fn new(tolerance: Tolerance, now_ms: u64, held_at_start: u16) -> Self {
        FractionLender {
            lender: Lender::new(tolerance, now_ms),
            held_at_start,
            fractions: HashMap::new(),
        }
    }

    /// Sets the part of a tenant's limit from now on. Returns the tokens that were removed from
    /// the bucket because a smaller one can't contain them.
    pub fn set(&mut self, now_ms: u64, tenant: &str, limit: RequestLimit, part: u16) -> u32 {
        if let Some(fraction) = self.fractions.get_mut(tenant) {
            fraction.refresh(now_ms);
            if fraction.lent != part {
                let scale = fraction.scale();
                self.lender.settle(now_ms, tenant, limit, scale);
                fraction.set(part);
                let scale = fraction.scale();
                return self.lender.take_excess(tenant, limit, scale);
            }
        } else if part > 0 {
            self.begin(now_ms, tenant, limit, part);
        }
        0
    }

    /// Adds tokens to the bucket of a tenant, at most up to its capacity.
    pub fn add(&mut self, now_ms: u64, tenant: &str, limit: RequestLimit, tokens: u32) {
        if let Some(fraction) = self.fractions.get(tenant) {
            let terms = (limit, fraction.scale());
            self.lender.add_tokens(now_ms, tenant, terms, tokens);
        }
    }

    /// Adds the initial tokens of a part of a tenant's limit, which nobody had before.
    pub fn add_initial(&mut self, now_ms: u64, tenant: &str, limit: RequestLimit, part: u16) {
        let lent = f64::from(part) / f64::from(WHOLE);
        let tokens = self.lender.initial_tokens(limit, Scale { lent, held: 0.0 });
        self.add(now_ms, tenant, limit, tokens);
    }

    fn begin(&mut self, now_ms: u64, tenant: &str, limit: RequestLimit, part: u16) {
        let fraction = Fraction {
            lent: part,
            held: part.min(self.held_at_start),
            smallest: part,
            since_ms: now_ms,
        };
        self.lender.open(now_ms, tenant, limit, fraction.scale());
        self.fractions.insert(tenant.to_owned(), fraction);
    }

    /// Returns the part of a tenant's limit.
    pub fn part_of(&self, tenant: &str) -> u16 {
        self.fractions
            .get(tenant)
            .map_or(0, |fraction| fraction.lent)
    }

    /// Returns the tenants of whose limits this lender has a part, and the parts.
    pub fn parts(&self) -> impl Iterator<Item = (&str, u16)> {
        let all = self.fractions.iter();
        all.filter(|(_, fraction)| fraction.lent > 0)
            .map(|(tenant, fraction)| (tenant.as_str(), fraction.lent))
    }

    /// Answers a loan request; `None` if this lender has no part of the tenant's limit.
    pub fn lend(
        &mut self,
        now_ms: u64,
        node: &str,
        ask: &TenantAsk,
        limit: RequestLimit,
    ) -> Option<TenantLoan> {
        let fraction = self.fractions.get_mut(&ask.tenant)?;
        fraction.refresh(now_ms);
        let scale = fraction.scale();
        let terms = (limit, scale);
        (fraction.lent > 0).then(|| self.lender.lend_fraction(now_ms, node, ask, terms))
    }

    /// Drops all tenants for which `is_limited` returns false.
    pub fn keep_only(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.fractions.retain(|tenant, _| is_limited(tenant));
        self.lender.keep_only(is_limited);
    }
}
