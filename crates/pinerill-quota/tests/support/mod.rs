//! Simulates a fleet's nodes, its tenants' calls and faults. A run depends only on its seed.

#![allow(dead_code)]

pub mod fleet;
pub mod loans;
pub mod other_strategies;

use pinerill_quota::bucket::TokenBucket;
use pinerill_quota::limit::{RequestLimit, Tolerance};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

pub const TOLERANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    share: 0.1,
    requests: 20.0,
};

/// A strategy's decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Passes,
    Rejected,
    /// The call waits; [`Strategy::step`] returns the decision.
    Waits,
}

/// A call that has arrived at a node.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub tenant: usize,
    pub node: usize,
    pub sent_ms: u64,
}

/// A strategy for enforcing limits over a fleet.
pub trait Strategy {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer;
    /// Simulates one millisecond. Returns the decisions on calls that waited.
    fn step(&mut self, now_ms: u64, world: &World, rng: &mut Pcg64Mcg) -> Vec<(Call, Answer)>;
    /// Notifies the strategy that a call admitted at `passed_ms` never ran.
    fn return_token(&mut self, _now_ms: u64, _call: Call, _passed_ms: u64) {}
    /// Returns the number of bytes sent so far.
    fn bytes(&self) -> u64;
}

/// A tenant's limit and demand.
#[derive(Debug, Clone)]
pub struct Tenant {
    pub limit: RequestLimit,
    /// Mean demand in calls per second.
    pub demand_per_s: f64,
    /// The nodes that its callers use, one entry per caller.
    pub nodes: Vec<usize>,
}

/// Current limits and faults.
#[derive(Debug)]
pub struct World {
    pub tenants: Vec<Tenant>,
    pub nodes: usize,
    /// Whether a leader answers. A leader that is lost is replaced by a new one.
    pub has_leader: bool,
    /// Number of leaders so far.
    pub leaders: u32,
    /// Nodes that can't reach the leader or other nodes.
    pub partitioned: Vec<bool>,
    /// Nodes whose processes are frozen.
    pub frozen: Vec<bool>,
    /// Nodes that restart in this millisecond.
    pub restarted: Vec<usize>,
    /// Fraction of answers that are lost.
    pub lost_part: f64,
}

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub nodes: usize,
    pub tenants: Vec<Tenant>,
    pub seconds: u64,
    /// Whether calls arrive in bursts of 1.87 times the mean rate for 2.4 s of every 5.8 s.
    pub in_bursts: bool,
    /// Whether faults occur: leaders and answers are lost, nodes are partitioned, frozen and
    /// killed, limits change, and some admitted calls never run.
    pub has_faults: bool,
    /// Fraction of admitted calls that never run, if faults occur.
    pub never_run_part: f64,
    pub seed: u64,
}

/// Result of a run for one tenant.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub arrived: u64,
    pub passed: u64,
    /// Number of calls that one bucket for the whole fleet would have admitted.
    pub baseline: u64,
    /// Largest number of calls that ran in any window beyond limit and tolerance.
    pub excess: f64,
    /// Number of admitted calls that waited longer than 100 ms.
    pub slow: u64,
}

/// Time of the first calls; the processes start at zero.
const START_MS: u64 = 10_000;
/// Mean time until a lost leader is replaced.
const LEADERLESS_MS: u64 = 700;
/// Probability per second that one of a tenant's callers moves to another node, if faults
/// occur.
const MOVE_PROBABILITY: f64 = 0.1;

pub fn simulate(scenario: &Scenario, strategy: &mut dyn Strategy) -> Vec<Outcome> {
    Simulation::new(scenario).simulate(scenario, strategy)
}

struct Simulation {
    /// Random numbers for calls and faults.
    rng: Pcg64Mcg,
    /// Random numbers for the strategy, kept apart so that all strategies get the same calls.
    strategy_rng: Pcg64Mcg,
    world: World,
    buckets: Vec<TokenBucket>,
    /// Send times of the calls that ran, by tenant.
    runs: Vec<Vec<u64>>,
    /// All limits with the time since when each is in force, by tenant.
    limits: Vec<Vec<(u64, RequestLimit)>>,
    outcomes: Vec<Outcome>,
    /// Recently admitted calls with the time of admission; they may still turn out not to run.
    passed: Vec<(u64, Call)>,
}

impl Simulation {
    fn new(scenario: &Scenario) -> Self {
        let seeded = |add: u64| Pcg64Mcg::new(u128::from(scenario.seed) << 8 | u128::from(add) | 1);
        let tenants = scenario.tenants.clone();
        Simulation {
            rng: seeded(2),
            strategy_rng: seeded(4),
            buckets: tenants
                .iter()
                .map(|tenant| TokenBucket::with_tokens(0, tenant.limit.burst))
                .collect(),
            runs: vec![Vec::new(); tenants.len()],
            limits: tenants.iter().map(|one| vec![(0, one.limit)]).collect(),
            outcomes: vec![Outcome::default(); tenants.len()],
            passed: Vec::new(),
            world: World {
                nodes: scenario.nodes,
                tenants,
                has_leader: true,
                leaders: 1,
                partitioned: vec![false; scenario.nodes],
                frozen: vec![false; scenario.nodes],
                restarted: Vec::new(),
                lost_part: 0.0,
            },
        }
    }

    fn simulate(mut self, scenario: &Scenario, strategy: &mut dyn Strategy) -> Vec<Outcome> {
        let mut leader_back_ms = 0;
        for now_ms in START_MS..START_MS + scenario.seconds * 1_000 {
            self.world.restarted.clear();
            if scenario.has_faults {
                self.inject_faults(now_ms, &mut leader_back_ms);
            }
            for (call, answer) in strategy.step(now_ms, &self.world, &mut self.strategy_rng) {
                self.record_answer(now_ms, call, answer);
            }
            let factor = burst_factor(scenario, now_ms);
            for tenant in 0..self.world.tenants.len() {
                let expected = self.world.tenants[tenant].demand_per_s * factor / 1_000.0;
                for _ in 0..poisson(&mut self.rng, expected) {
                    self.call(now_ms, tenant, strategy);
                }
            }
            if scenario.has_faults {
                self.reject_some(now_ms, scenario.never_run_part, strategy);
            }
        }
        for tenant in 0..self.outcomes.len() {
            let lag_ms = 2 * TOLERANCE.window_ms;
            let excess = excess(&mut self.runs[tenant], &self.limits[tenant], lag_ms);
            self.outcomes[tenant].excess = excess;
        }
        self.outcomes
    }

    fn call(&mut self, now_ms: u64, tenant: usize, strategy: &mut dyn Strategy) {
        let nodes = &self.world.tenants[tenant].nodes;
        let node = nodes[self.rng.gen_range(0..nodes.len())];
        if self.world.frozen[node] {
            return;
        }
        let limit = self.world.tenants[tenant].limit;
        let outcome = &mut self.outcomes[tenant];
        outcome.arrived += 1;
        let baseline = self.buckets[tenant].take(now_ms, limit.rate_per_s, limit.burst.max(1.0));
        outcome.baseline += u64::from(baseline.is_ok());
        let call = Call {
            tenant,
            node,
            sent_ms: now_ms,
        };
        let answer = strategy.admit(now_ms, call);
        self.record_answer(now_ms, call, answer);
    }

    fn record_answer(&mut self, now_ms: u64, call: Call, answer: Answer) {
        if answer != Answer::Passes {
            return;
        }
        let outcome = &mut self.outcomes[call.tenant];
        outcome.passed += 1;
        outcome.slow += u64::from(now_ms > call.sent_ms + 100);
        self.runs[call.tenant].push(call.sent_ms);
        self.passed.push((now_ms, call));
    }

    /// Removes some admitted calls that find no free slot and never run.
    fn reject_some(&mut self, now_ms: u64, part: f64, strategy: &mut dyn Strategy) {
        let recent = std::mem::take(&mut self.passed);
        for (passed_ms, call) in recent {
            if now_ms < passed_ms + 300 {
                self.passed.push((passed_ms, call));
            } else if self.rng.gen_bool(part) {
                let runs = &mut self.runs[call.tenant];
                let found = runs.iter().rposition(|at| *at == call.sent_ms);
                if let Some(found) = found {
                    runs.remove(found);
                }
                strategy.return_token(now_ms, call, passed_ms);
            }
        }
    }

    fn inject_faults(&mut self, now_ms: u64, leader_back_ms: &mut u64) {
        let rng = &mut self.rng;
        let world = &mut self.world;
        if !world.has_leader && now_ms >= *leader_back_ms {
            world.has_leader = true;
            world.leaders += 1;
        }
        if !now_ms.is_multiple_of(100) {
            return;
        }
        if world.has_leader && rng.gen_bool(0.02) {
            world.has_leader = false;
            *leader_back_ms = now_ms + rng.gen_range(0..2 * LEADERLESS_MS);
        }
        world.lost_part = if rng.gen_bool(0.1) { 0.3 } else { 0.0 };
        for node in 0..world.nodes {
            let toggles = |is: bool| if is { 0.05 } else { 0.003 };
            world.partitioned[node] ^= rng.gen_bool(toggles(world.partitioned[node]));
            world.frozen[node] ^= rng.gen_bool(toggles(world.frozen[node]));
            if rng.gen_bool(0.002) {
                world.restarted.push(node);
            }
        }
        if !now_ms.is_multiple_of(1_000) {
            return;
        }
        for tenant in 0..world.tenants.len() {
            let one = &mut world.tenants[tenant];
            if rng.gen_bool(MOVE_PROBABILITY) {
                let index = rng.gen_range(0..one.nodes.len());
                one.nodes[index] = rng.gen_range(0..world.nodes);
            }
            if rng.gen_bool(0.02) {
                let factor = rng.gen_range(0.3..1.5);
                one.limit.rate_per_s *= factor;
                one.limit.burst *= factor;
                self.limits[tenant].push((now_ms, one.limit));
            }
        }
    }
}

fn burst_factor(scenario: &Scenario, now_ms: u64) -> f64 {
    match (scenario.in_bursts, now_ms % 5_800 >= 3_400) {
        (false, _) => 1.0,
        (true, true) => 1.87,
        (true, false) => 0.383,
    }
}

pub fn poisson(rng: &mut Pcg64Mcg, expected: f64) -> u32 {
    let bound = (-expected).exp();
    let mut product: f64 = rng.gen();
    let mut count = 0;
    while product > bound {
        count += 1;
        product *= rng.gen::<f64>();
    }
    count
}

/// Returns the largest number of calls in any window beyond the highest applicable limit and
/// its tolerance. A limit still applies to windows that end within `lag_ms` after it was
/// replaced: two windows where each lender uses the newest limit.
pub fn excess(runs: &mut [u64], limits: &[(u64, RequestLimit)], lag_ms: u64) -> f64 {
    runs.sort_unstable();
    let mut most = f64::MIN;
    let mut first = 0;
    for last in 0..runs.len() {
        while runs[last] >= runs[first] + TOLERANCE.window_ms {
            first += 1;
        }
        let from_ms = runs[last].saturating_sub(lag_ms);
        let ended = |index: usize| limits.get(index + 1).map_or(u64::MAX, |next| next.0);
        let in_force = limits
            .iter()
            .enumerate()
            .filter(|(index, (began, _))| *began <= runs[last] && ended(*index) > from_ms);
        let allowed = in_force
            .map(|(_, (_, limit))| limit.allowed_in(TOLERANCE.window_ms) + TOLERANCE.margin(limit));
        let count = (last - first + 1) as f64;
        most = most.max(count - allowed.fold(0.0, f64::max));
    }
    most
}
