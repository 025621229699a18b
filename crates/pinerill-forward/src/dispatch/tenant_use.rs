//! Slots that tenants' calls use and calls of theirs that wait, at this node, at its peers and in
//! other zones. Pure.
//!
//! A report lists only the tenants with the most slots and waiting calls. Of any other tenant, each
//! node counts only its own calls; without reports, it does so of all tenants.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::report::{TenantKey, TenantUse};
use super::shares::{TenantDemand, Weights};
use crate::fleet::ReportOrder;

/// Number of tenants in one report.
pub const MAX_REPORTED_TENANTS: usize = 24;
/// Time for which the report of a node counts, in milliseconds.
const NODE_REPORT_TTL_MS: u64 = 700;
/// Time for which the report of another zone counts, in milliseconds.
const ZONE_REPORT_TTL_MS: u64 = 1_500;

/// Sender of a report.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reporter {
    Node(SocketAddr),
    Zone(String),
}

#[derive(Debug)]
struct Report {
    order: ReportOrder,
    at_ms: u64,
    tenants: Vec<TenantUse>,
}

/// Number of calls that wait, by tenant.
pub type WaitingByTenant = HashMap<TenantKey, u32>;

/// Slots in use and calls that wait, by tenant.
#[derive(Debug, Default)]
pub struct TenantUses {
    own: HashMap<TenantKey, u32>,
    reports: HashMap<Reporter, Report>,
    weights: Arc<Weights>,
}

impl TenantUses {
    /// Replaces the weights of the tenants.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = Arc::new(weights);
    }

    /// Returns the weights of the tenants.
    pub fn weights(&self) -> Arc<Weights> {
        self.weights.clone()
    }

    /// Counts a slot that a call of this node takes.
    pub fn record_start(&mut self, tenant: TenantKey) {
        *self.own.entry(tenant).or_default() += 1;
    }

    /// Counts a slot that a call of this node releases.
    pub fn record_end(&mut self, tenant: TenantKey) {
        if let Some(running) = self.own.get_mut(&tenant) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.own.remove(&tenant);
            }
        }
    }

    /// Returns whether calls of this node use slots.
    pub fn any_in_use(&self) -> bool {
        !self.own.is_empty()
    }

    /// Replaces the report of a node of this zone. Returns false, and changes nothing, if a newer
    /// one is known.
    pub fn record_node(
        &mut self,
        now_ms: u64,
        node: SocketAddr,
        order: ReportOrder,
        tenants: Vec<TenantUse>,
    ) -> bool {
        self.record(now_ms, Reporter::Node(node), order, tenants)
    }

    /// Replaces the report of another zone. Returns false, and changes nothing, if a newer one is
    /// known.
    pub fn record_zone(
        &mut self,
        now_ms: u64,
        zone: &str,
        order: ReportOrder,
        tenants: Vec<TenantUse>,
    ) -> bool {
        self.record(now_ms, Reporter::Zone(zone.to_owned()), order, tenants)
    }

    fn record(
        &mut self,
        now_ms: u64,
        reporter: Reporter,
        order: ReportOrder,
        mut tenants: Vec<TenantUse>,
    ) -> bool {
        self.reports.retain(|_, report| {
            now_ms <= report.at_ms + NODE_REPORT_TTL_MS.max(ZONE_REPORT_TTL_MS)
        });
        let known = self.reports.get(&reporter);
        if known.is_some_and(|known| !order.is_newer_than(known.order)) {
            return false;
        }
        tenants.truncate(MAX_REPORTED_TENANTS);
        let report = Report {
            order,
            at_ms: now_ms,
            tenants,
        };
        self.reports.insert(reporter, report);
        true
    }

    /// Discards all reports, for example because the machine was suspended.
    pub fn forget_reports(&mut self) {
        self.reports.clear();
    }

    /// Returns this node's use, the heaviest tenants first, as reported to its peers.
    pub fn own_report(&self, waiting: &WaitingByTenant) -> Vec<TenantUse> {
        heaviest(self.own_uses(waiting))
    }

    /// Returns the use of all nodes of this zone, the heaviest tenants first, as reported to other
    /// zones.
    pub fn zone_report(&self, now_ms: u64, waiting: &WaitingByTenant) -> Vec<TenantUse> {
        let mut sums = self.own_uses(waiting);
        for (reporter, report) in self.fresh(now_ms) {
            if matches!(reporter, Reporter::Node(_)) {
                add(&mut sums, &report.tenants);
            }
        }
        heaviest(sums)
    }

    /// Returns what each known tenant uses and wants at all nodes.
    pub fn demands(&self, now_ms: u64, waiting: &WaitingByTenant) -> Vec<TenantDemand> {
        let mut sums = self.own_uses(waiting);
        for (_, report) in self.fresh(now_ms) {
            add(&mut sums, &report.tenants);
        }
        let demands = sums.into_values().map(|sum| TenantDemand {
            tenant: sum.tenant,
            in_use: sum.running,
            waiting: sum.waiting,
            weight: self.weights.of(sum.tenant),
        });
        demands.collect()
    }

    /// Returns the age in milliseconds of the oldest report that counts; `None` if none does.
    pub fn oldest_report_ms(&self, now_ms: u64) -> Option<u64> {
        let ages = self.fresh(now_ms).map(|(_, report)| now_ms - report.at_ms);
        ages.max()
    }

    fn own_uses(&self, waiting: &WaitingByTenant) -> HashMap<TenantKey, TenantUse> {
        let mut sums = HashMap::with_capacity(self.own.len() + waiting.len());
        for (tenant, running) in &self.own {
            sum_of(&mut sums, *tenant).running = *running;
        }
        for (tenant, calls) in waiting {
            sum_of(&mut sums, *tenant).waiting = *calls;
        }
        sums
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = (&Reporter, &Report)> {
        self.reports.iter().filter(move |(reporter, report)| {
            let ttl_ms = match reporter {
                Reporter::Node(_) => NODE_REPORT_TTL_MS,
                Reporter::Zone(_) => ZONE_REPORT_TTL_MS,
            };
            now_ms <= report.at_ms + ttl_ms
        })
    }
}

fn sum_of(sums: &mut HashMap<TenantKey, TenantUse>, tenant: TenantKey) -> &mut TenantUse {
    sums.entry(tenant).or_insert(TenantUse {
        tenant,
        running: 0,
        waiting: 0,
    })
}

fn add(sums: &mut HashMap<TenantKey, TenantUse>, tenants: &[TenantUse]) {
    for one in tenants {
        let sum = sum_of(sums, one.tenant);
        sum.running = sum.running.saturating_add(one.running);
        sum.waiting = sum.waiting.saturating_add(one.waiting);
    }
}

fn heaviest(sums: HashMap<TenantKey, TenantUse>) -> Vec<TenantUse> {
    let mut uses: Vec<TenantUse> = sums.into_values().collect();
    uses.sort_unstable_by_key(|one| {
        let slots = u64::from(one.running) + u64::from(one.waiting);
        (std::cmp::Reverse(slots), one.tenant)
    });
    uses.truncate(MAX_REPORTED_TENANTS);
    uses
}
