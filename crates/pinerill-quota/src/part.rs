//! The zone lender: holds leased parts of limits and lends their tokens to the nodes of its
//! zone.
//!
//! Invariants: it lends a part at most [`PART_LIFETIME_MS`] after it sent the request whose
//! answer it applied last; it applies only the answer to its latest request, so what a request
//! reports as held is all that it may act on until it applies the answer to that request.

use std::collections::HashMap;

use crate::defect::{is_on, Defect};
use crate::demand::Demand;
use crate::fraction::FractionLender;
use crate::limit::{RequestLimit, Tolerance};
use crate::message::{Shortage, TenantAsk, TenantLoan};
use crate::renewal::{Holding, PartAnswer, PartRequest, Session, TenantPart, PART_LIFETIME_MS};

/// Time constant of the reported demand, in milliseconds. Longer than a burst of calls, so that
/// parts follow where callers are and not their single bursts.
const DEMAND_DECAY_MS: f64 = 6_000.0;
/// Time after which an answer is ignored, in milliseconds: a leader that was frozen while it
/// answered may have been replaced.
const ANSWER_VALIDITY_MS: u64 = 1_000;
/// Demand below which a tenant without a part is not reported, in requests per 1,000 s.
const LEAST_DEMAND: u32 = 10;

/// State of a zone lender. Times are milliseconds of one clock that counts suspension.
#[derive(Debug)]
pub struct PartHolder {
    machine: String,
    session: Option<Session>,
    /// Number and time of the latest request.
    sent: Option<(u64, u64)>,
    is_answered: bool,
    lease_until_ms: u64,
    lender: FractionLender,
    demands: HashMap<String, Demand>,
}

impl PartHolder {
    /// Creates a holder without parts, for a process that starts. `tolerance` is that of the
    /// whole limits, without what [`crate::fraction::divided_tolerance`] sets aside.
    pub fn new(machine: &str, tolerance: Tolerance, now_ms: u64) -> Self {
        PartHolder {
            machine: machine.to_owned(),
            session: None,
            sent: None,
            is_answered: false,
            lease_until_ms: 0,
            lender: FractionLender::new(tolerance, now_ms, 0),
            demands: HashMap::new(),
        }
    }

    /// Returns the request to send now. Answers to earlier requests no longer count.
    /// `limit_of` returns a tenant's limit according to the route table in force.
    pub fn next_request(
        &mut self,
        now_ms: u64,
        limit_of: impl Fn(&str) -> Option<RequestLimit>,
    ) -> PartRequest {
        self.expire(now_ms, &limit_of);
        self.lender.keep_only(|tenant| limit_of(tenant).is_some());
        let number = self.sent.map_or(1, |(number, _)| number + 1);
        self.sent = Some((number, now_ms));
        self.is_answered = false;
        PartRequest {
            machine: self.machine.clone(),
            session: self.session,
            number,
            holdings: self.holdings(now_ms),
        }
    }

    fn holdings(&mut self, now_ms: u64) -> Vec<Holding> {
        let demand_of = |demand: &Demand| (demand.per_second(now_ms) * 1_000.0) as u32;
        let lender = &self.lender;
        self.demands.retain(|tenant, demand| {
            demand_of(demand) >= LEAST_DEMAND || lender.part_of(tenant) > 0
        });
        let parts = self.lender.parts().map(|(tenant, part)| Holding {
            tenant: tenant.to_owned(),
            part,
            demand: self.demands.get(tenant).map_or(0, demand_of),
        });
        let others = self.demands.iter();
        let others = others.filter(|(tenant, _)| self.lender.part_of(tenant) == 0);
        let others = others.map(|(tenant, demand)| Holding {
            tenant: tenant.clone(),
            part: 0,
            demand: demand_of(demand),
        });
        parts.chain(others).collect()
    }

    /// Applies the answer to the request with this number. Returns whether it was applied.
    pub fn apply(
        &mut self,
        now_ms: u64,
        number: u64,
        answer: &PartAnswer,
        limit_of: impl Fn(&str) -> Option<RequestLimit>,
    ) -> bool {
        let Some((latest, sent_ms)) = self.sent else {
            return false;
        };
        let is_late = number != latest || now_ms >= sent_ms + ANSWER_VALIDITY_MS;
        if is_late && !is_on(Defect::LateAnswersApply) || self.is_answered {
            return false;
        }
        self.is_answered = true;
        self.expire(now_ms, &limit_of);
        match answer {
            PartAnswer::Session(session) => self.session = Some(*session),
            PartAnswer::Parts(parts) => {
                self.lease_until_ms = sent_ms + PART_LIFETIME_MS;
                self.set_parts(now_ms, parts, &limit_of);
                for one in parts.iter().filter(|one| one.tokens > 0) {
                    if let Some(limit) = limit_of(&one.tenant) {
                        self.lender.add(now_ms, &one.tenant, limit, one.tokens);
                    }
                }
            }
        }
        true
    }

    fn set_parts(
        &mut self,
        now_ms: u64,
        parts: &[TenantPart],
        limit_of: impl Fn(&str) -> Option<RequestLimit>,
    ) {
        let granted: HashMap<&str, u16> = parts
            .iter()
            .map(|one| (one.tenant.as_str(), one.part))
            .collect();
        let held: Vec<String> = self.lender.parts().map(|one| one.0.to_owned()).collect();
        let dropped = held.iter().map(String::as_str);
        let dropped = dropped.filter(|tenant| !granted.contains_key(tenant));
        let changes = dropped.map(|tenant| (tenant, 0)).chain(granted.clone());
        for (tenant, part) in changes {
            if let Some(limit) = limit_of(tenant) {
                self.lender.set(now_ms, tenant, limit, part);
            }
        }
    }

    fn expire(&mut self, now_ms: u64, limit_of: impl Fn(&str) -> Option<RequestLimit>) {
        if now_ms >= self.lease_until_ms && !is_on(Defect::PartsNeverExpire) {
            self.set_parts(now_ms, &[], limit_of);
        }
    }

    /// Returns whether this process may lend any part now.
    pub fn holds_any(&self, now_ms: u64) -> bool {
        now_ms < self.lease_until_ms && self.lender.parts().next().is_some()
    }

    /// Returns the part of a tenant's limit that this process may lend now.
    pub fn part_of(&self, now_ms: u64, tenant: &str) -> u16 {
        match now_ms < self.lease_until_ms || is_on(Defect::PartsNeverExpire) {
            true => self.lender.part_of(tenant),
            false => 0,
        }
    }

    /// Answers the loan requests of a node, in their order; `None` for each tenant of whose limit
    /// no part is held. All of them count as demand of the zone.
    pub fn lend(
        &mut self,
        now_ms: u64,
        node: &str,
        asks: &[TenantAsk],
        limit_of: impl Fn(&str) -> Option<RequestLimit>,
    ) -> Vec<Option<TenantLoan>> {
        self.expire(now_ms, &limit_of);
        asks.iter()
            .map(|ask| {
                let Some(limit) = limit_of(&ask.tenant) else {
                    return Some(no_limit());
                };
                self.record_demand(now_ms, ask);
                self.lender.lend(now_ms, node, ask, limit)
            })
            .collect()
    }

    fn record_demand(&mut self, now_ms: u64, ask: &TenantAsk) {
        let demand = self.demands.entry(ask.tenant.clone());
        let demand = demand.or_insert_with(|| Demand::with_decay(DEMAND_DECAY_MS));
        demand.record(now_ms, ask.urgent.saturating_add(ask.ahead));
    }
}

fn no_limit() -> TenantLoan {
    TenantLoan {
        urgent: 0,
        ahead: 0,
        shortage: Some(Shortage::NoLimit),
    }
}
