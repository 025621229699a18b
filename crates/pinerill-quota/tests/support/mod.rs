//! A fleet's nodes, its tenants' calls and what can go wrong between them, by seed.

#![allow(dead_code)]

pub mod loans;
pub mod others;

use pinerill_quota::bucket::TokenBucket;
use pinerill_quota::limit::{RequestLimit, Tolerance};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

pub const TOLERANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    share: 0.1,
    requests: 20.0,
};

/// What a way of keeping limits answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Passes,
    Refused,
    /// It will be told by [`Way::step`].
    Waits,
}

/// A call that came.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub tenant: usize,
    pub node: usize,
    pub sent_ms: u64,
}

/// A way of keeping limits over a fleet.
pub trait Way {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer;
    /// Lets a millisecond pass; calls that waited and pass or are refused now.
    fn step(&mut self, now_ms: u64, world: &World, draw: &mut Pcg64Mcg) -> Vec<(Call, Answer)>;
    /// A call that passed never ran.
    fn give_back(&mut self, _now_ms: u64, _call: Call, _passed_ms: u64) {}
    /// Bytes sent so far.
    fn bytes(&self) -> u64;
}

/// A tenant's limit and its calls.
#[derive(Debug, Clone)]
pub struct Tenant {
    pub limit: RequestLimit,
    /// Calls a second, in the mean.
    pub demand_per_s: f64,
    /// Nodes at which its callers are.
    pub nodes: Vec<usize>,
}

/// What is in force and what is down.
#[derive(Debug)]
pub struct World {
    pub tenants: Vec<Tenant>,
    pub nodes: usize,
    /// The leader answers; another one each time it comes back.
    pub has_leader: bool,
    pub leaders: u32,
    /// Nodes that don't reach the leader.
    pub cut: Vec<bool>,
    /// Nodes that stand still.
    pub frozen: Vec<bool>,
    /// Nodes that start anew in this millisecond.
    pub restarted: Vec<usize>,
    /// Part of answers that are lost.
    pub lost_part: f64,
}

/// A day to be played.
#[derive(Debug, Clone)]
pub struct Day {
    pub nodes: usize,
    pub tenants: Vec<Tenant>,
    pub seconds: u64,
    /// Calls come in bursts of 1.87 times the mean for 2.4 s each 5.8 s.
    pub in_bursts: bool,
    /// Leaders are lost, nodes cut off, frozen and killed, answers lost, limits lowered,
    /// and calls refused that had passed.
    pub has_faults: bool,
    /// Part of the calls that pass but never run, where there are faults.
    pub never_run_part: f64,
    pub seed: u64,
}

/// What came of it, by tenant.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub asked: u64,
    pub passed: u64,
    /// Passed by one bucket for the whole fleet.
    pub owed: u64,
    /// Most calls that ran in any window beyond what is tolerated.
    pub excess: f64,
    /// Calls that waited longer than a tenth of a second.
    pub slow: u64,
}

/// When callers come, after the processes have started.
const START_MS: u64 = 10_000;
const LEADERLESS_MS: u64 = 700;
/// A tenth of the callers change their node each second where there are faults.
const MOVES_PER_S: f64 = 0.1;

pub fn play(day: &Day, way: &mut dyn Way) -> Vec<Outcome> {
    Player::new(day).play(day, way)
}

struct Player {
    draw: Pcg64Mcg,
    /// For what concerns a way alone, so that all ways see the same calls.
    way_draw: Pcg64Mcg,
    world: World,
    buckets: Vec<TokenBucket>,
    /// When each run's call was sent, by tenant.
    runs: Vec<Vec<u64>>,
    /// Since when each limit is in force, with the limit.
    limits: Vec<Vec<(u64, RequestLimit)>>,
    outcomes: Vec<Outcome>,
    passed: Vec<(u64, Call)>,
}

impl Player {
    fn new(day: &Day) -> Self {
        let seeded = |add: u64| Pcg64Mcg::new(u128::from(day.seed) << 8 | u128::from(add) | 1);
        let tenants = day.tenants.clone();
        Player {
            draw: seeded(2),
            way_draw: seeded(4),
            buckets: tenants
                .iter()
                .map(|tenant| TokenBucket::with_tokens(0, tenant.limit.burst))
                .collect(),
            runs: vec![Vec::new(); tenants.len()],
            limits: tenants.iter().map(|one| vec![(0, one.limit)]).collect(),
            outcomes: vec![Outcome::default(); tenants.len()],
            passed: Vec::new(),
            world: World {
                nodes: day.nodes,
                tenants,
                has_leader: true,
                leaders: 1,
                cut: vec![false; day.nodes],
                frozen: vec![false; day.nodes],
                restarted: Vec::new(),
                lost_part: 0.0,
            },
        }
    }

    fn play(mut self, day: &Day, way: &mut dyn Way) -> Vec<Outcome> {
        let mut leader_back_ms = 0;
        for now_ms in START_MS..START_MS + day.seconds * 1_000 {
            self.world.restarted.clear();
            if day.has_faults {
                self.break_something(now_ms, &mut leader_back_ms);
            }
            for (call, answer) in way.step(now_ms, &self.world, &mut self.way_draw) {
                self.take(now_ms, call, answer);
            }
            let factor = burst_factor(day, now_ms);
            for tenant in 0..self.world.tenants.len() {
                let expected = self.world.tenants[tenant].demand_per_s * factor / 1_000.0;
                for _ in 0..poisson(&mut self.draw, expected) {
                    self.call(now_ms, tenant, way);
                }
            }
            if day.has_faults {
                self.refuse_some(now_ms, day.never_run_part, way);
            }
        }
        for tenant in 0..self.outcomes.len() {
            let excess = excess(&mut self.runs[tenant], &self.limits[tenant]);
            self.outcomes[tenant].excess = excess;
        }
        self.outcomes
    }

    fn call(&mut self, now_ms: u64, tenant: usize, way: &mut dyn Way) {
        let nodes = &self.world.tenants[tenant].nodes;
        let node = nodes[self.draw.gen_range(0..nodes.len())];
        if self.world.frozen[node] {
            return;
        }
        let limit = self.world.tenants[tenant].limit;
        let outcome = &mut self.outcomes[tenant];
        outcome.asked += 1;
        let owed = self.buckets[tenant].take(now_ms, limit.rate_per_s, limit.burst.max(1.0));
        outcome.owed += u64::from(owed.is_ok());
        let call = Call {
            tenant,
            node,
            sent_ms: now_ms,
        };
        let answer = way.admit(now_ms, call);
        self.take(now_ms, call, answer);
    }

    fn take(&mut self, now_ms: u64, call: Call, answer: Answer) {
        if answer != Answer::Passes {
            return;
        }
        let outcome = &mut self.outcomes[call.tenant];
        outcome.passed += 1;
        outcome.slow += u64::from(now_ms > call.sent_ms + 100);
        self.runs[call.tenant].push(call.sent_ms);
        self.passed.push((now_ms, call));
    }

    /// Some calls that passed find no place and never run.
    fn refuse_some(&mut self, now_ms: u64, part: f64, way: &mut dyn Way) {
        let recent = std::mem::take(&mut self.passed);
        for (passed_ms, call) in recent {
            if now_ms < passed_ms + 300 {
                self.passed.push((passed_ms, call));
            } else if self.draw.gen_bool(part) {
                let runs = &mut self.runs[call.tenant];
                let found = runs.iter().rposition(|at| *at == call.sent_ms);
                if let Some(found) = found {
                    runs.remove(found);
                }
                way.give_back(now_ms, call, passed_ms);
            }
        }
    }

    fn break_something(&mut self, now_ms: u64, leader_back_ms: &mut u64) {
        let draw = &mut self.draw;
        let world = &mut self.world;
        if !world.has_leader && now_ms >= *leader_back_ms {
            world.has_leader = true;
            world.leaders += 1;
        }
        if !now_ms.is_multiple_of(100) {
            return;
        }
        if world.has_leader && draw.gen_bool(0.02) {
            world.has_leader = false;
            *leader_back_ms = now_ms + draw.gen_range(0..2 * LEADERLESS_MS);
        }
        world.lost_part = if draw.gen_bool(0.1) { 0.3 } else { 0.0 };
        for node in 0..world.nodes {
            let toggles = |is: bool| if is { 0.05 } else { 0.003 };
            world.cut[node] ^= draw.gen_bool(toggles(world.cut[node]));
            world.frozen[node] ^= draw.gen_bool(toggles(world.frozen[node]));
            if draw.gen_bool(0.002) {
                world.restarted.push(node);
            }
        }
        if !now_ms.is_multiple_of(1_000) {
            return;
        }
        for tenant in 0..world.tenants.len() {
            let one = &mut world.tenants[tenant];
            if draw.gen_bool(MOVES_PER_S) {
                let place = draw.gen_range(0..one.nodes.len());
                one.nodes[place] = draw.gen_range(0..world.nodes);
            }
            if draw.gen_bool(0.02) {
                let factor = draw.gen_range(0.3..1.5);
                one.limit.rate_per_s *= factor;
                one.limit.burst *= factor;
                self.limits[tenant].push((now_ms, one.limit));
            }
        }
    }
}

fn burst_factor(day: &Day, now_ms: u64) -> f64 {
    match (day.in_bursts, now_ms % 5_800 >= 3_400) {
        (false, _) => 1.0,
        (true, true) => 1.87,
        (true, false) => 0.383,
    }
}

fn poisson(draw: &mut Pcg64Mcg, expected: f64) -> u32 {
    let bound = (-expected).exp();
    let mut product: f64 = draw.gen();
    let mut count = 0;
    while product > bound {
        count += 1;
        product *= draw.gen::<f64>();
    }
    count
}

/// Most calls in any window beyond what its highest limit allows and tolerates. A limit
/// counts for one window after it was lowered.
fn excess(runs: &mut [u64], limits: &[(u64, RequestLimit)]) -> f64 {
    runs.sort_unstable();
    let mut most = f64::MIN;
    let mut first = 0;
    for last in 0..runs.len() {
        while runs[last] >= runs[first] + TOLERANCE.window_ms {
            first += 1;
        }
        let from_ms = runs[last].saturating_sub(2 * TOLERANCE.window_ms);
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
