//! The leader's division of limits into parts, which are counted in units of 1/[`WHOLE`].
//!
//! Invariant: the parts that any process may act on add up to at most [`WHOLE`]. The part of a
//! holder counts as out until the holder reports a smaller one or its lease is over. The leader
//! lets a lease end later than the holder does. A new leader grows no part before all
//! control machines have reported to it or all leases of its predecessors are over.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::defect::{is_on, Defect};
use crate::renewal::{PartAnswer, PartRequest, Session, TenantPart, PART_LIFETIME_MS, WHOLE};

/// Part of each limit that the leader always keeps for itself.
pub const RESERVE: u16 = 200;
/// Smallest part of a zone, with which its callers can start.
const FLOOR: u16 = 30;
/// Smallest change of a part. Smaller differences in demand are noise.
const LEAST_CHANGE: u16 = 40;
/// Largest growth of a part in one renewal, so that the first zone to report its demand after a
/// restart does not take what the others need shortly after.
const MOST_GROWTH: u16 = 100;
/// Difference in rate between two clocks over the lifetime of a part, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 200;

/// What the leader knows of one control machine.
#[derive(Debug, Default)]
struct Holder {
    /// Number of the session in which it reported last.
    session: u64,
    /// Number of its last request in that session.
    number: u64,
    /// Time from which its parts no longer count.
    expires_ms: u64,
    /// Largest part on which it may act, by tenant.
    out: HashMap<String, u16>,
    /// Reported demand, by tenant, in requests per 1,000 s.
    demands: HashMap<String, u32>,
}

impl Holder {
    fn out(&self, now_ms: u64, tenant: &str) -> u16 {
        match now_ms < self.expires_ms {
            true => self.out.get(tenant).copied().unwrap_or(0),
            false => 0,
        }
    }

    fn holds_any(&self, now_ms: u64) -> bool {
        now_ms < self.expires_ms && self.out.values().any(|part| *part > 0)
    }
}

/// Parts of all limits in one term of a leader. Times are milliseconds of one clock that counts
/// suspension.
#[derive(Debug)]
pub struct Division {
    term: u64,
    began_ms: u64,
    sessions: u64,
    /// Whether a part of a predecessor was reported.
    has_adopted: bool,
    /// Zone of each control machine, by address.
    members: BTreeMap<String, String>,
    holders: BTreeMap<String, Holder>,
    /// Address of the zone lender, by zone.
    lenders: BTreeMap<String, String>,
}

impl Division {
    /// Begins the division of a leader's term. `members` maps the address of each control
    /// machine that may hold a part to its zone.
    pub fn begin(term: u64, now_ms: u64, members: BTreeMap<String, String>) -> Self {
        Division {
            term,
            began_ms: now_ms,
            sessions: 0,
            has_adopted: false,
            members,
            holders: BTreeMap::new(),
            lenders: BTreeMap::new(),
        }
    }

    /// Replaces the control machines. Parts of those that are gone count until they expire.
    pub fn set_members(&mut self, members: BTreeMap<String, String>) {
        self.members = members;
    }

    /// Returns whether limits are divided: only among several zones.
    pub fn is_divided(&self) -> bool {
        let zones: BTreeSet<&String> = self.members.values().collect();
        zones.len() > 1
    }

    /// Returns whether all parts that may be out are known.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        let mut members = self.members.keys();
        is_on(Defect::NewLeaderGrants)
            || now_ms >= self.began_ms + PART_LIFETIME_MS + CLOCK_MARGIN_MS
            || members.all(|machine| self.holders.contains_key(machine))
    }

    /// Returns whether all control machines have reported, and none of them held a part that a
    /// predecessor had granted: all of them have started anew.
    pub fn is_fresh(&self) -> bool {
        let mut members = self.members.keys();
        !self.has_adopted && members.all(|machine| self.holders.contains_key(machine))
    }

    /// Returns the part of a tenant's limit that the leader may lend itself now.
    pub fn own_part(&self, now_ms: u64, tenant: &str) -> u16 {
        let rest = WHOLE.saturating_sub(self.out_except(now_ms, tenant, ""));
        match self.is_complete(now_ms) || !self.is_divided() {
            true => rest,
            false => rest.min(RESERVE),
        }
    }

    /// Returns the zone lenders that hold parts, by zone.
    pub fn lenders(&self, now_ms: u64) -> impl Iterator<Item = (&str, &str)> {
        let holds = move |machine: &String| {
            let holder = self.holders.get(machine);
            holder.is_some_and(|holder| holder.holds_any(now_ms))
        };
        let lenders = self.lenders.iter().filter(move |(_, one)| holds(one));
        lenders.map(|(zone, machine)| (zone.as_str(), machine.as_str()))
    }

    /// Answers a request; `None` if it is older than another one of the same machine or comes
    /// from an unknown machine. `tenants` are those with a limit.
    pub fn answer<'a>(
        &mut self,
        now_ms: u64,
        request: &PartRequest,
        tenants: impl Iterator<Item = &'a str>,
    ) -> Option<PartAnswer> {
        let zone = self.members.get(&request.machine)?.clone();
        let Some(session) = request.session.filter(|one| one.term == self.term) else {
            self.sessions += 1;
            return Some(PartAnswer::Session(Session {
                term: self.term,
                number: self.sessions,
            }));
        };
        self.record(now_ms, session, request)?;
        let is_lender = self.appoint(now_ms, &zone, &request.machine);
        let mut parts = Vec::new();
        for tenant in tenants {
            let part = match is_lender {
                true => self.next_part(now_ms, tenant, (&zone, &request.machine)),
                false => 0,
            };
            if part > 0 {
                let tenant = tenant.to_owned();
                let tokens = 0;
                parts.push(TenantPart {
                    tenant,
                    part,
                    tokens,
                });
            }
        }
        self.grant(now_ms, &request.machine, &parts);
        Some(PartAnswer::Parts(parts))
    }

    /// Records what a machine reports. Returns `None` if it has sent a newer request.
    fn record(&mut self, now_ms: u64, session: Session, request: &PartRequest) -> Option<()> {
        let of_predecessors = self.began_ms + PART_LIFETIME_MS + CLOCK_MARGIN_MS;
        let holder = self.holders.entry(request.machine.clone());
        let holder = holder.or_insert_with(|| Holder {
            expires_ms: of_predecessors,
            ..Holder::default()
        });
        let newest = (holder.session, holder.number);
        if (session.number, request.number) <= newest {
            return None;
        }
        // What was held when the request was sent may have expired on its way.
        let is_valid = now_ms < holder.expires_ms;
        let holdings = request.holdings.iter();
        let holds_any = holdings.clone().any(|one| one.part > 0);
        self.has_adopted |= holder.session == 0 && holds_any;
        *holder = Holder {
            session: session.number,
            number: request.number,
            // Adopted parts may have been granted by a predecessor shortly before.
            expires_ms: now_ms + PART_LIFETIME_MS + CLOCK_MARGIN_MS,
            out: holdings
                .clone()
                .filter(|one| one.part > 0 && is_valid)
                .map(|one| (one.tenant.clone(), one.part))
                .collect(),
            demands: holdings
                .map(|one| (one.tenant.clone(), one.demand))
                .collect(),
        };
        Some(())
    }

    /// Returns whether a machine is the lender of its zone, after it has been appointed if the
    /// former one holds nothing.
    fn appoint(&mut self, now_ms: u64, zone: &str, machine: &str) -> bool {
        let holds = |one: &String| {
            let holder = self.holders.get(one);
            holder.is_some_and(|holder| holder.holds_any(now_ms))
        };
        let former = self.lenders.get(zone);
        let is_free = former.is_none_or(|former| !holds(former));
        if is_free {
            self.lenders.insert(zone.to_owned(), machine.to_owned());
        }
        self.lenders.get(zone).is_some_and(|one| one == machine)
    }

    fn grant(&mut self, now_ms: u64, machine: &str, parts: &[TenantPart]) {
        let Some(holder) = self.holders.get_mut(machine) else {
            return;
        };
        if is_on(Defect::GrowsBeforeShrink) {
            holder.out.clear();
        }
        for one in parts {
            let out = holder.out.entry(one.tenant.clone()).or_default();
            *out = one.part.max(*out);
        }
        holder.expires_ms = now_ms + PART_LIFETIME_MS + CLOCK_MARGIN_MS;
    }

    fn next_part(&self, now_ms: u64, tenant: &str, (zone, machine): (&str, &str)) -> u16 {
        let holder = self.holders.get(machine);
        let held = holder.map_or(0, |holder| holder.out(now_ms, tenant));
        let target = self.target(tenant, zone);
        let out = self.out_except(now_ms, tenant, machine);
        let available = (WHOLE - RESERVE).saturating_sub(out);
        // A zone may need what this one has in excess in order to start.
        let is_needed = target < held && available < held + FLOOR;
        let is_small = target.abs_diff(held) < LEAST_CHANGE && held >= FLOOR;
        match target > held && self.is_complete(now_ms) {
            _ if is_small && !is_needed => held,
            true => target.min(held + MOST_GROWTH).min(available).max(held),
            false => target.min(held),
        }
    }

    /// Returns the part that a zone should have: the floor, and the rest by demand.
    fn target(&self, tenant: &str, zone: &str) -> u16 {
        if !self.is_divided() {
            return 0;
        }
        let zones: BTreeSet<&String> = self.members.values().collect();
        let demand_in = |zone: Option<&str>| -> u64 {
            let lenders = self.lenders.iter();
            let lenders = lenders.filter(|(of, _)| zone.is_none_or(|zone| zone == of.as_str()));
            let holders = lenders.filter_map(|(_, machine)| self.holders.get(machine));
            let demands = holders.filter_map(|holder| holder.demands.get(tenant));
            demands.map(|demand| u64::from(*demand)).sum()
        };
        let floor = FLOOR.min((WHOLE - RESERVE) / zones.len() as u16);
        let rest = u64::from(WHOLE - RESERVE - floor * zones.len() as u16);
        let of_demand = (rest * demand_in(Some(zone))).checked_div(demand_in(None));
        floor + of_demand.unwrap_or(0) as u16
    }

    /// Returns the sum of the parts that are out at other machines than `machine`.
    fn out_except(&self, now_ms: u64, tenant: &str, machine: &str) -> u16 {
        let others = self.holders.iter().filter(|(other, _)| *other != machine);
        others.map(|(_, holder)| holder.out(now_ms, tenant)).sum()
    }
}
