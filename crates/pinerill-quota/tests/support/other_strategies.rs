//! Alternatives to loans: a fixed share of the limit for each node, and counts that the
//! nodes broadcast to each other.

use std::collections::VecDeque;

use pinerill_quota::bucket::TokenBucket;
use rand_pcg::Pcg64Mcg;

use super::{Answer, Call, Strategy, World, TOLERANCE};

/// Each node enforces an equal share of each limit and of its tolerance.
pub struct FixedShares {
    buckets: Vec<Vec<Option<TokenBucket>>>,
    /// Rate per second and burst of a node's share, by tenant.
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

impl Strategy for FixedShares {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer {
        let (rate, burst) = self.limits[call.tenant];
        let bucket = self.buckets[call.node][call.tenant]
            .get_or_insert_with(|| TokenBucket::with_tokens(now_ms, burst));
        match bucket.take(now_ms, rate, burst) {
            Ok(()) => Answer::Passes,
            Err(_) => Answer::Rejected,
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

/// Each node broadcasts the calls that it admitted every tenth of a second, and subtracts
/// the received counts from its own bucket for the whole limit.
pub struct PeerCounts {
    buckets: Vec<Vec<TokenBucket>>,
    /// Calls that each node admitted since its last broadcast.
    unreported: Vec<Vec<u32>>,
    /// Broadcasts in flight: time of arrival, sender and counts by tenant.
    in_flight: VecDeque<(u64, usize, Vec<u32>)>,
    limits: Vec<(f64, f64)>,
    bytes: u64,
}

const BROADCAST_INTERVAL_MS: u64 = 100;
const LATENCY_MS: u64 = 25;
const MESSAGE_BYTES: u64 = 40;
const TENANT_BYTES: u64 = 6;

impl PeerCounts {
    pub fn new(nodes: usize, tenants: usize) -> Self {
        PeerCounts {
            buckets: vec![vec![TokenBucket::with_tokens(0, 1e9); tenants]; nodes],
            unreported: vec![vec![0; tenants]; nodes],
            in_flight: VecDeque::new(),
            limits: vec![(0.0, 0.0); tenants],
            bytes: 0,
        }
    }
}

impl Strategy for PeerCounts {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer {
        let (rate, burst) = self.limits[call.tenant];
        match self.buckets[call.node][call.tenant].take(now_ms, rate, burst) {
            Ok(()) => {
                self.unreported[call.node][call.tenant] += 1;
                Answer::Passes
            }
            Err(_) => Answer::Rejected,
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
        if now_ms.is_multiple_of(BROADCAST_INTERVAL_MS) {
            for (node, counts) in self.unreported.iter_mut().enumerate() {
                let changed = counts.iter().filter(|count| **count > 0).count() as u64;
                if changed > 0 && !world.partitioned[node] && !world.frozen[node] {
                    self.bytes +=
                        (MESSAGE_BYTES + changed * TENANT_BYTES) * (world.nodes as u64 - 1);
                    let counts_sent = std::mem::replace(counts, vec![0; counts.len()]);
                    self.in_flight
                        .push_back((now_ms + LATENCY_MS, node, counts_sent));
                }
            }
        }
        while self
            .in_flight
            .front()
            .is_some_and(|broadcast| broadcast.0 <= now_ms)
        {
            let Some((_, from, counts)) = self.in_flight.pop_front() else {
                break;
            };
            for (node, buckets) in self.buckets.iter_mut().enumerate() {
                if node == from || world.partitioned[node] {
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
