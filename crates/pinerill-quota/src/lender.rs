//! Lends tokens of all tenants to the nodes of a fleet.
//!
//! Invariants: tokens leave a bucket only as loans, so that what is lent in any span is at
//! most what the limit allows in it; tokens that nodes hold of a tenant, as they told them,
//! stay within [`Terms::most_held`].

use std::collections::HashMap;

use crate::bucket::TokenBucket;
use crate::defect::{is_on, Defect};
use crate::limit::{RequestLimit, Tolerance};
use crate::message::{Shortage, TenantAsk, TenantLoan};

/// Time after which tokens on loan lapse, milliseconds, counted by the node from its last
/// answered ask and by the lender from when it answered, which is later. Tokens of a node
/// that is gone are missing for so long to what may be on loan.
pub const LOAN_LIFE_MS: u64 = 5_000;

/// Longest time that a request waits for a token, milliseconds: its token may be lent so
/// much later than it came, for which a part of what is tolerated is needed.
pub const LONGEST_WAIT_MS: u64 = 500;

/// Lenders that may begin, and whose tokens may be held, within a window. A fleet that has
/// lost its leader takes half a second or more to have another one, so that there may be
/// more of them, as `tests/bound.rs` plays; each that follows finds less demand left.
const LENDERS_AT_ONCE: f64 = 2.0;

/// On which terms a tenant's tokens are lent.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Terms {
    limit: RequestLimit,
    most_held: f64,
    /// Tokens in the bucket of a lender that begins.
    at_start: f64,
}

impl Terms {
    /// What is tolerated covers, first, requests that wait for a token over the edge of a
    /// window. Where it does not, the limit is kept lower. Half of the rest may be held, and
    /// half is what lenders begin with. On a fleet of 50 nodes whose processes were all
    /// killed, 669 of the 1,165 calls of the first two seconds were refused, nearly all below
    /// their limits, where its lender began with nothing, and 385 with this.
    fn of(limit: &RequestLimit, tolerance: &Tolerance) -> Self {
        let allowed = limit.allowed_in(tolerance.window_ms);
        let tolerated = tolerance.margin(limit);
        let while_waiting = limit.allowed_in(LONGEST_WAIT_MS) - limit.burst;
        let left = tolerated - while_waiting;
        let kept = ((allowed + left.min(0.0)) / allowed).clamp(0.0, 1.0);
        let for_each = left.max(0.0) / LENDERS_AT_ONCE / 2.0;
        Terms {
            limit: limit.scaled(kept),
            most_held: for_each,
            at_start: for_each.min(limit.burst),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    tokens: u32,
    lapses_ms: u64,
}

#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    loans: HashMap<String, Loan>,
}

/// Lends tokens of all tenants.
#[derive(Debug)]
pub struct Lender {
    tolerance: Tolerance,
    began_ms: u64,
    accounts: HashMap<String, Account>,
}

impl Lender {
    /// A lender that begins now, with nearly empty buckets: what another one has lent until
    /// now is not known here.
    pub fn new(tolerance: Tolerance, now_ms: u64) -> Self {
        Lender {
            tolerance,
            began_ms: now_ms,
            accounts: HashMap::new(),
        }
    }

    /// Lends to a node, in the order of its asks. `limit_of` names a tenant's limit by the
    /// table in force.
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
        let began_ms = self.began_ms;
        let tolerance = self.tolerance;
        let account = self.accounts.entry(ask.tenant.clone()).or_insert_with(|| {
            let at_start = match is_on(Defect::FullAtStart) {
                true => limit.burst,
                false => Terms::of(&limit, &tolerance).at_start,
            };
            Account {
                bucket: TokenBucket::with_tokens(began_ms, at_start),
                loans: HashMap::new(),
            }
        });
        account.lend(now_ms, node, ask, &Terms::of(&limit, &tolerance))
    }

    /// Forgets tenants that have no limit any more.
    pub fn keep_only(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.accounts.retain(|tenant, _| is_limited(tenant));
    }
}

impl Account {
    fn lend(&mut self, now_ms: u64, node: &str, ask: &TenantAsk, terms: &Terms) -> TenantLoan {
        let Terms {
            limit, most_held, ..
        } = *terms;
        let burst = limit.burst.max(1.0);
        self.bucket.fill(now_ms, limit.rate_per_s, burst);
        self.loans.retain(|_, loan| loan.lapses_ms > now_ms);
        let own = self.loans.remove(node).map_or(0, |loan| loan.tokens);
        // Tokens of another lender, or lapsed ones, don't come back into this bucket.
        self.bucket.add(f64::from(ask.returned.min(own)), burst);
        let held = ask.held + self.loans.values().map(|loan| loan.tokens).sum::<u32>();
        let urgent = ask.urgent.min(self.bucket.whole_tokens());
        self.bucket.remove(urgent);
        let ahead = ask.ahead.min(self.room_ahead(held, most_held));
        self.bucket.remove(ahead);
        let loan = Loan {
            tokens: ask.held + ahead,
            lapses_ms: now_ms + LOAN_LIFE_MS,
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

    /// Tokens that may be lent to be held. At most as many are held as the bucket still has,
    /// so that half of them serve requests that wait, wherever these come.
    fn room_ahead(&self, held: u32, most_held: f64) -> u32 {
        let in_bucket = self.bucket.whole_tokens();
        match is_on(Defect::UnboundedLoans) {
            true => in_bucket,
            false => in_bucket.min(most_held as u32).saturating_sub(held),
        }
    }
}
