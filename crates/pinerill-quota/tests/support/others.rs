//! Ways that were weighed: a fixed share for each node, and counts that nodes tell.

use std::collections::VecDeque;

use pinerill_quota::bucket::TokenBucket;
use rand_pcg::Pcg64Mcg;

use super::{Answer, Call, Way, World, TOLERANCE};

/// Each node lets pass its part of each limit, and of what is tolerated.
pub struct FixedShares {
    buckets: Vec<Vec<Option<TokenBucket>>>,
    limits: Vec<(f64, f64)>,
}

impl FixedShares {
    pub fn new(nodes: usize, tenants: usize) -> Self {
        FixedShares {
            buckets: vec![vec![None; tenants]; nodes],
            limits: vec![(0.0, 0.0); tenants],
        }
    }
}

impl Way for FixedShares {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer {
        let (rate, burst) = self.limits[call.tenant];
        let bucket = self.buckets[call.node][call.tenant]
            .get_or_insert_with(|| TokenBucket::with_tokens(now_ms, burst));
        match bucket.take(now_ms, rate, burst) {
            Ok(()) => Answer::Passes,
            Err(_) => Answer::Refused,
        }
    }

    fn step(&mut self, _now_ms: u64, world: &World, _: &mut Pcg64Mcg) -> Vec<(Call, Answer)> {
        let nodes = world.nodes as f64;
        for (share, tenant) in self.limits.iter_mut().zip(&world.tenants) {
            let burst = tenant.limit.burst + TOLERANCE.margin(&tenant.limit);
            *share = (tenant.limit.rate_per_s / nodes, burst / nodes);
        }
        Vec::new()
    }

    fn bytes(&self) -> u64 {
        0
    }
}

/// Nodes tell all others what passed, each tenth of a second; each lets pass what the
/// limit leaves of the sum that it knows.
pub struct ToldCounts {
    buckets: Vec<Vec<TokenBucket>>,
    /// What passed at each node since it last told.
    untold: Vec<Vec<u32>>,
    told: VecDeque<(u64, usize, Vec<u32>)>,
    limits: Vec<(f64, f64)>,
    bytes: u64,
}

const TELL_MS: u64 = 100;
const TRAVEL_MS: u64 = 25;
const MESSAGE_BYTES: u64 = 40;
const TENANT_BYTES: u64 = 6;

impl ToldCounts {
    pub fn new(nodes: usize, tenants: usize) -> Self {
        ToldCounts {
            buckets: vec![vec![TokenBucket::with_tokens(0, 1e9); tenants]; nodes],
            untold: vec![vec![0; tenants]; nodes],
            told: VecDeque::new(),
            limits: vec![(0.0, 0.0); tenants],
            bytes: 0,
        }
    }
}

impl Way for ToldCounts {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer {
        let (rate, burst) = self.limits[call.tenant];
        match self.buckets[call.node][call.tenant].take(now_ms, rate, burst) {
            Ok(()) => {
                self.untold[call.node][call.tenant] += 1;
                Answer::Passes
            }
            Err(_) => Answer::Refused,
        }
    }

    fn step(&mut self, now_ms: u64, world: &World, _: &mut Pcg64Mcg) -> Vec<(Call, Answer)> {
        for (known, tenant) in self.limits.iter_mut().zip(&world.tenants) {
            *known = (tenant.limit.rate_per_s, tenant.limit.burst.max(1.0));
        }
        for node in &world.restarted {
            for (bucket, (_, burst)) in self.buckets[*node].iter_mut().zip(&self.limits) {
                *bucket = TokenBucket::with_tokens(now_ms, *burst);
            }
        }
        if now_ms.is_multiple_of(TELL_MS) {
            for (node, counts) in self.untold.iter_mut().enumerate() {
                let news = counts.iter().filter(|count| **count > 0).count() as u64;
                if news > 0 && !world.cut[node] && !world.frozen[node] {
                    self.bytes += (MESSAGE_BYTES + news * TENANT_BYTES) * (world.nodes as u64 - 1);
                    let told = std::mem::replace(counts, vec![0; counts.len()]);
                    self.told.push_back((now_ms + TRAVEL_MS, node, told));
                }
            }
        }
        while self.told.front().is_some_and(|told| told.0 <= now_ms) {
            let Some((_, from, counts)) = self.told.pop_front() else {
                break;
            };
            for (node, buckets) in self.buckets.iter_mut().enumerate() {
                if node == from || world.cut[node] {
                    continue;
                }
                for (bucket, count) in buckets.iter_mut().zip(&counts) {
                    bucket.remove(*count);
                }
            }
        }
        Vec::new()
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}
