//! Max-min shares of slots among tenants. Pure.
//!
//! The demands, each the slots that a tenant uses and its calls that wait, are filled up together
//! until the capacity is divided: a tenant that wants less than the common level gets what it
//! wants, and the others get that level times their weight.

use std::collections::HashMap;
use std::sync::Arc;

use super::report::TenantKey;

/// Weight of a tenant whose weight is not a positive finite number.
pub const DEFAULT_WEIGHT: f64 = 1.0;

/// Weights of tenants in the division of slots.
#[derive(Debug, Clone, PartialEq)]
pub struct Weights {
    by_tenant: HashMap<TenantKey, f64>,
    /// Weight of all other tenants.
    other: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            by_tenant: HashMap::new(),
            other: DEFAULT_WEIGHT,
        }
    }
}

impl Weights {
    /// Returns weights in proportion to the rates that the tenants' limits allow, in requests per
    /// second. A tenant without a limit weighs as much as the largest one with a limit; all weigh
    /// the same if none has a limit.
    pub fn of_limits(rates: impl IntoIterator<Item = (TenantKey, f64)>) -> Self {
        let valid = rates
            .into_iter()
            .filter(|(_, rate)| rate.is_finite() && *rate > 0.0);
        let by_tenant: HashMap<TenantKey, f64> = valid.collect();
        let other = by_tenant.values().copied().reduce(f64::max);
        Weights {
            by_tenant,
            other: other.unwrap_or(DEFAULT_WEIGHT),
        }
    }

    /// Returns the weight of a tenant.
    pub fn of(&self, tenant: TenantKey) -> f64 {
        self.by_tenant.get(&tenant).copied().unwrap_or(self.other)
    }
}

/// What one tenant wants and has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: TenantKey,
    /// Slots in use by its calls.
    pub in_use: u32,
    /// Its calls that wait for a slot.
    pub waiting: u32,
    /// Its weight in the division; [`DEFAULT_WEIGHT`] is used instead of zero, negative and
    /// non-finite values.
    pub weight: f64,
}

impl TenantDemand {
    fn slots(&self) -> f64 {
        f64::from(self.in_use) + f64::from(self.waiting)
    }

    fn weight(&self) -> f64 {
        match self.weight.is_finite() && self.weight > 0.0 {
            true => self.weight,
            false => DEFAULT_WEIGHT,
        }
    }
}

/// What the division gives one tenant, in slots, and what it uses.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Standing {
    /// The smaller one of its demand and `limit`.
    share: f64,
    /// What it could get at most: the common level times its weight.
    limit: f64,
    in_use: u32,
}

/// The division of the slots, and who uses how much of them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    /// Slots per unit of weight up to which demands are filled; infinite if all are met.
    level: f64,
    standings: HashMap<TenantKey, Standing>,
    /// Weights of tenants that had no demand at the division.
    weights: Arc<Weights>,
}

impl Shares {
    /// Divides `capacity` slots among tenants, each of which is listed once.
    pub fn divide(capacity: f64, demands: &[TenantDemand]) -> Self {
        let level = fill_level(capacity, demands);
        let standings = demands.iter().map(|demand| {
            let limit = level * demand.weight();
            let standing = Standing {
                share: demand.slots().min(limit),
                limit,
                in_use: demand.in_use,
            };
            (demand.tenant, standing)
        });
        Shares {
            level,
            standings: standings.collect(),
            weights: Arc::default(),
        }
    }

    /// Sets the weights of tenants that had no demand at the division.
    pub fn with_weights(mut self, weights: Arc<Weights>) -> Self {
        self.weights = weights;
        self
    }

    fn limit(&self, tenant: TenantKey) -> f64 {
        let standing = self.standings.get(&tenant);
        standing.map_or_else(
            || self.level * self.weights.of(tenant),
            |standing| standing.limit,
        )
    }

    /// Divides the slots that calls use now, and at least one, among the tenants.
    pub fn of_slots_in_use(demands: &[TenantDemand]) -> Self {
        let in_use: f64 = demands.iter().map(|demand| f64::from(demand.in_use)).sum();
        Self::divide(in_use.max(1.0), demands)
    }

    /// Returns the share of a tenant in slots; that of a tenant without demand is what it would get
    /// at most.
    pub fn share(&self, tenant: TenantKey) -> f64 {
        let standing = self.standings.get(&tenant);
        standing.map_or_else(|| self.limit(tenant), |standing| standing.share)
    }

    /// Returns the slots in use by a tenant's calls.
    pub fn in_use(&self, tenant: TenantKey) -> u32 {
        self.standings
            .get(&tenant)
            .map_or(0, |standing| standing.in_use)
    }

    /// Returns whether a tenant uses its share or more, so that a further call of it is over share.
    pub fn is_used_up(&self, tenant: TenantKey) -> bool {
        self.room(tenant) == 0
    }

    /// Returns how many more slots a tenant may take until it uses its share or more.
    pub fn room(&self, tenant: TenantKey) -> u32 {
        (self.limit(tenant) - f64::from(self.in_use(tenant)))
            .max(0.0)
            .ceil() as u32
    }

    /// Counts a slot that a call of the tenant has taken since the division.
    pub fn record_start(&mut self, tenant: TenantKey) {
        let limit = self.limit(tenant);
        let standing = self.standings.entry(tenant).or_insert(Standing {
            share: limit,
            limit,
            in_use: 0,
        });
        standing.in_use = standing.in_use.saturating_add(1);
    }

    /// Counts a slot that a call of the tenant has released since the division.
    pub fn record_end(&mut self, tenant: TenantKey) {
        if let Some(standing) = self.standings.get_mut(&tenant) {
            standing.in_use = standing.in_use.saturating_sub(1);
        }
    }
}

/// Returns the slots per unit of weight up to which demands are filled.
fn fill_level(capacity: f64, demands: &[TenantDemand]) -> f64 {
    let mut open: Vec<(f64, f64)> = demands
        .iter()
        .map(|demand| (demand.slots() / demand.weight(), demand.weight()))
        .collect();
    open.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    let mut remaining = capacity.max(0.0);
    let mut weights: f64 = open.iter().map(|(_, weight)| weight).sum();
    for (wanted, weight) in open {
        let level = remaining / weights;
        if wanted > level {
            return level;
        }
        remaining -= wanted * weight;
        weights -= weight;
    }
    f64::INFINITY
}
