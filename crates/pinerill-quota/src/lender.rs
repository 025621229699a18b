//! Lends the tokens of all tenants to the nodes of a fleet.
//!
//! Invariants: tokens leave a bucket only as loans, so the number of tokens lent in any span
//! is at most what the limit allows in it; the tokens of a tenant that nodes report as held
//! stay within [`Terms::max_held`].

use std::collections::HashMap;

use crate::bucket::TokenBucket;
use crate::defect::{is_on, Defect};
use crate::limit::{RequestLimit, Tolerance};
use crate::message::{Shortage, TenantAsk, TenantLoan};

/// Time after which tokens on loan expire, in milliseconds. The node counts from when it sent
/// its last answered loan request, the lender from when it answered, which is later. Until
/// then the tokens of a node that has gone still count as on loan.
pub const LOAN_LIFETIME_MS: u64 = 5_000;

/// Longest time that a request waits for a token, in milliseconds. A token may be lent this
/// much later than its request arrived; a part of the tolerance is reserved for that.
pub const LONGEST_WAIT_MS: u64 = 500;

/// Number of lenders that may start, and whose tokens may be held, within one window. A fleet
/// that has lost its leader elects another one after half a second or more, so a window can
/// have more of them, as simulated in `tests/bound.rs`; each further one finds less unserved demand.
const LENDERS_PER_WINDOW: f64 = 2.0;

/// Bounds for the loans of one tenant, derived from its limit and the tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Terms {
    /// The tenant's limit, lowered if the tolerance does not cover the waiting time.
    limit: RequestLimit,
    /// Largest number of tokens that all nodes together may hold in advance.
    max_held: f64,
    /// Tokens in the bucket of a lender that starts.
    initial_tokens: f64,
}

impl Terms {
    /// Divides the tolerance. The first part covers requests that wait for a token across
    /// the edge of a window; if the tolerance is too small for it, the limit is lowered
    /// instead. Half of the rest may be held by nodes, the other half is the initial content
    /// of the lenders' buckets.
    fn new(limit: &RequestLimit, tolerance: &Tolerance) -> Self {
        let allowed = limit.allowed_in(tolerance.window_ms);
        let tolerated = tolerance.margin(limit);
        let for_waiting = limit.allowed_in(LONGEST_WAIT_MS) - limit.burst;
        let rest = tolerated - for_waiting;
        let scale = ((allowed + rest.min(0.0)) / allowed).clamp(0.0, 1.0);
        let per_lender = rest.max(0.0) / LENDERS_PER_WINDOW / 2.0;
        Terms {
            limit: limit.scaled(scale),
            max_held: per_lender,
            initial_tokens: per_lender.min(limit.burst),
        }
    }

    /// Returns the terms for a fraction of the limit. Its bucket contains more than the fraction
    /// of the burst, since tokens of other fractions can't serve its requests: one token, which
    /// [`crate::fraction::divided_tolerance`] sets aside, and the fraction of what a second
    /// lender's nodes could hold; the fractions together hold only what one lender allows.
    fn scaled(&self, scale: Scale) -> Self {
        let mut limit = self.limit.scaled(scale.lent);
        if scale.lent > 0.0 {
            limit.burst += 1.0 + self.max_held * scale.lent;
        }
        Terms {
            limit,
            max_held: self.max_held * scale.held,
            initial_tokens: self.initial_tokens * scale.lent,
        }
    }
}

/// The fraction of a limit under which a lender lends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scale {
    /// Fraction of rate, burst and initial tokens.
    pub(crate) lent: f64,
    /// Fraction of the tokens that nodes may hold in advance.
    pub(crate) held: f64,
}

/// Tokens that one node holds of one tenant.
#[derive(Debug, Clone, Copy)]
struct Loan {
    tokens: u32,
    expires_ms: u64,
}

/// Token bucket and outstanding loans of one tenant.
#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    /// Loans by node.
    loans: HashMap<String, Loan>,
}

/// Lends tokens of all tenants. At most one lender is active in a fleet at a time; it runs on
/// the leader.
#[derive(Debug)]
pub struct Lender {
    tolerance: Tolerance,
    started_ms: u64,
    accounts: HashMap<String, Account>,
}

impl Lender {
    /// Creates a lender that starts at `now_ms`. Its buckets are nearly empty at first, since
    /// it does not know what its predecessor has lent.
    pub fn new(tolerance: Tolerance, now_ms: u64) -> Self {
        Lender {
            tolerance,
            started_ms: now_ms,
            accounts: HashMap::new(),
        }
    }

    /// Answers the loan requests of a node, in their order. `limit_of` returns a tenant's
    /// limit according to the route table in force, or `None` if the tenant has none.
    pub fn lend(
        &mut self,
        now_ms: u64,
        node: &str,
        asks: &[TenantAsk],
        limit_of: impl Fn(&str) -> Option<RequestLimit>,
    ) -> Vec<TenantLoan> {
        asks.iter()
            .map(|ask| match limit_of(&ask.tenant) {
                Some(limit) => self.lend_to(now_ms, node, ask, limit),
                None => TenantLoan {
                    urgent: 0,
                    ahead: 0,
                    shortage: Some(Shortage::NoLimit),
                },
            })
            .collect()
    }

    fn lend_to(
        &mut self,
        now_ms: u64,
        node: &str,
        ask: &TenantAsk,
        limit: RequestLimit,
    ) -> TenantLoan {
        let started_ms = self.started_ms;
        let tolerance = self.tolerance;
        let account = self.accounts.entry(ask.tenant.clone()).or_insert_with(|| {
            let initial_tokens = match is_on(Defect::FullAtStart) {
                true => limit.burst,
                false => Terms::new(&limit, &tolerance).initial_tokens,
            };
            Account {
                bucket: TokenBucket::with_tokens(started_ms, initial_tokens),
                loans: HashMap::new(),
            }
        });
        account.lend(now_ms, node, ask, &Terms::new(&limit, &tolerance))
    }

    /// Answers a loan request under a fraction of the tenant's limit.
    pub(crate) fn lend_fraction(
        &mut self,
        now_ms: u64,
        node: &str,
        ask: &TenantAsk,
        (limit, scale): (RequestLimit, Scale),
    ) -> TenantLoan {
        let terms = Terms::new(&limit, &self.tolerance).scaled(scale);
        let account = self.accounts.entry(ask.tenant.clone());
        let account = account.or_insert_with(|| Account::empty(now_ms));
        account.lend(now_ms, node, ask, &terms)
    }

    /// Opens the account of a tenant with the initial tokens of a fraction of its limit.
    pub(crate) fn open(&mut self, now_ms: u64, tenant: &str, limit: RequestLimit, scale: Scale) {
        let terms = Terms::new(&limit, &self.tolerance).scaled(scale);
        let mut account = Account::empty(now_ms);
        account.bucket = TokenBucket::with_tokens(now_ms, terms.initial_tokens);
        self.accounts.insert(tenant.to_owned(), account);
    }

    /// Refills the bucket of a tenant under the fraction that applied until now. Required before
    /// the fraction changes: a bucket is refilled for the time since its last use.
    pub(crate) fn settle(&mut self, now_ms: u64, tenant: &str, limit: RequestLimit, scale: Scale) {
        self.add_tokens(now_ms, tenant, (limit, scale), 0);
    }

    /// Refills the bucket of a tenant and adds tokens, at most up to its capacity.
    pub(crate) fn add_tokens(
        &mut self,
        now_ms: u64,
        tenant: &str,
        (limit, scale): (RequestLimit, Scale),
        tokens: u32,
    ) {
        let terms = Terms::new(&limit, &self.tolerance).scaled(scale);
        if let Some(account) = self.accounts.get_mut(tenant) {
            let limit = terms.limit;
            account.bucket.fill(now_ms, limit.rate_per_s, limit.burst);
            account.bucket.add(f64::from(tokens), limit.burst);
        }
    }

    /// Removes and returns the whole tokens of a bucket beyond the capacity under a fraction.
    pub(crate) fn take_excess(&mut self, tenant: &str, limit: RequestLimit, scale: Scale) -> u32 {
        let terms = Terms::new(&limit, &self.tolerance).scaled(scale);
        let capacity = terms.limit.burst.max(0.0).ceil() as u32;
        let account = self.accounts.get_mut(tenant);
        account.map_or(0, |account| {
            let excess = account.bucket.whole_tokens().saturating_sub(capacity);
            account.bucket.remove(excess);
            excess
        })
    }

    /// Returns the tokens with which a lender of a fraction of a limit begins.
    pub(crate) fn initial_tokens(&self, limit: RequestLimit, scale: Scale) -> u32 {
        let terms = Terms::new(&limit, &self.tolerance).scaled(scale);
        terms.initial_tokens as u32
    }

    /// Drops the accounts of all tenants for which `is_limited` returns false.
    pub fn keep_only(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.accounts.retain(|tenant, _| is_limited(tenant));
    }
}

impl Account {
    fn empty(now_ms: u64) -> Self {
        Account {
            bucket: TokenBucket::with_tokens(now_ms, 0.0),
            loans: HashMap::new(),
        }
    }

    fn lend(&mut self, now_ms: u64, node: &str, ask: &TenantAsk, terms: &Terms) -> TenantLoan {
        let Terms {
            limit, max_held, ..
        } = *terms;
        let burst = limit.burst.max(1.0);
        self.bucket.fill(now_ms, limit.rate_per_s, burst);
        self.loans.retain(|_, loan| loan.expires_ms > now_ms);
        let recorded = self.loans.remove(node).map_or(0, |loan| loan.tokens);
        // Only tokens that this lender lent and that have not expired return to the bucket, and
        // none that the node still holds: an ask may arrive again.
        let returnable = recorded.saturating_sub(ask.held);
        self.bucket
            .add(f64::from(ask.returned.min(returnable)), burst);
        let held = ask.held + self.loans.values().map(|loan| loan.tokens).sum::<u32>();
        let urgent = ask.urgent.min(self.bucket.whole_tokens());
        self.bucket.remove(urgent);
        let ahead = ask.ahead.min(self.available_ahead(held, max_held));
        self.bucket.remove(ahead);
        let loan = Loan {
            tokens: ask.held + ahead,
            expires_ms: now_ms + LOAN_LIFETIME_MS,
        };
        if loan.tokens > 0 {
            self.loans.insert(node.to_owned(), loan);
        }
        let shortage = (urgent < ask.urgent).then(|| Shortage::LimitReached {
            next_ms: self.bucket.next_ms(limit.rate_per_s),
        });
        TenantLoan {
            urgent,
            ahead,
            shortage,
        }
    }

    /// Returns how many more tokens may be lent in advance when nodes already hold `held`. The
    /// total held is at most what the bucket contains, so that half of the tokens can serve
    /// waiting requests at any node.
    fn available_ahead(&self, held: u32, max_held: f64) -> u32 {
        let in_bucket = self.bucket.whole_tokens();
        match is_on(Defect::UnboundedLoans) {
            true => in_bucket,
            false => in_bucket.min(max_held as u32).saturating_sub(held),
        }
    }
}
