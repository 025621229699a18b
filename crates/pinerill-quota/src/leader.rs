//! The leader's side of divided limits: answers zone lenders and lends its own part.

use std::collections::{BTreeMap, HashMap};

use crate::division::{Division, RESERVE};
use crate::fraction::FractionLender;
use crate::limit::{RequestLimit, Tolerance};
use crate::message::{Shortage, TenantAsk, TenantLoan};
use crate::renewal::{PartAnswer, PartRequest, WHOLE};

/// Division of all limits and lender of the leader's own parts, in one term.
#[derive(Debug)]
pub struct LeaderLender {
    division: Division,
    lender: FractionLender,
    /// Whether the initial tokens of parts that nobody held were added.
    is_opened: bool,
}

impl LeaderLender {
    /// Begins a term. `tolerance` is that of the whole limits, without what
    /// [`crate::fraction::divided_tolerance`] sets aside. `members` maps the address of each
    /// control machine that may hold a part to its zone.
    pub fn begin(
        term: u64,
        now_ms: u64,
        tolerance: Tolerance,
        members: BTreeMap<String, String>,
    ) -> Self {
        LeaderLender {
            division: Division::begin(term, now_ms, members),
            lender: FractionLender::new(tolerance, now_ms, RESERVE),
            is_opened: false,
        }
    }

    /// Returns the division of limits.
    pub fn division(&self) -> &Division {
        &self.division
    }

    /// Answers a zone lender ([`Division::answer`]). `limits` are those in force, by tenant.
    pub fn renew(
        &mut self,
        now_ms: u64,
        request: &PartRequest,
        limits: &HashMap<String, RequestLimit>,
    ) -> Option<PartAnswer> {
        let tenants = limits.keys().map(String::as_str);
        let mut answer = self.division.answer(now_ms, request, tenants);
        // The own part shrinks at the same moment as another one grows.
        let mut excess: HashMap<&str, u32> = HashMap::new();
        for (tenant, limit) in limits {
            let own = self.division.own_part(now_ms, tenant);
            let tokens = self.lender.set(now_ms, tenant, *limit, own);
            if tokens > 0 {
                excess.insert(tenant, tokens);
            }
        }
        self.open(now_ms, limits);
        if let Some(PartAnswer::Parts(parts)) = &mut answer {
            for one in parts {
                one.tokens = excess.remove(one.tenant.as_str()).unwrap_or(0);
            }
        }
        self.lender.keep_only(|tenant| limits.contains_key(tenant));
        answer
    }

    /// Adds the initial tokens of the parts that nobody held when the term began.
    fn open(&mut self, now_ms: u64, limits: &HashMap<String, RequestLimit>) {
        if self.is_opened || !self.division.is_complete(now_ms) {
            return;
        }
        self.is_opened = true;
        if self.division.is_fresh() {
            for (tenant, limit) in limits {
                self.lender
                    .add_initial(now_ms, tenant, *limit, WHOLE - RESERVE);
            }
        }
    }

    /// Answers the loan requests of a node, in their order, under the leader's own part.
    pub fn lend(
        &mut self,
        now_ms: u64,
        node: &str,
        asks: &[TenantAsk],
        limits: &HashMap<String, RequestLimit>,
    ) -> Vec<TenantLoan> {
        asks.iter()
            .map(|ask| {
                let limit = limits.get(&ask.tenant);
                limit.map_or(without(Shortage::NoLimit), |limit| {
                    self.lend_to(now_ms, node, ask, *limit)
                })
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
        let own = self.division.own_part(now_ms, &ask.tenant);
        self.lender.set(now_ms, &ask.tenant, limit, own);
        let loan = self.lender.lend(now_ms, node, ask, limit);
        loan.unwrap_or(without(Shortage::LimitReached { next_ms: 1_000 }))
    }
}

fn without(shortage: Shortage) -> TenantLoan {
    TenantLoan {
        urgent: 0,
        ahead: 0,
        shortage: Some(shortage),
    }
}
