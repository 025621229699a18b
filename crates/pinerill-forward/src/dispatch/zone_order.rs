//! Order of the queues of a zone's nodes, by the heads that they report, and the node to which a
//! released slot is passed. Pure.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::claims::{nodes_ahead, Contender};
use super::report::{QueuePosition, ServiceQueue};
use crate::fleet::WorkerKey;

/// Time for which a node's report counts, in milliseconds.
const REPORT_TTL_MS: u64 = 700;

#[derive(Debug)]
struct PeerQueues {
    at_ms: u64,
    services: Vec<ServiceQueue>,
}

/// The latest queues of the other nodes in the zone.
#[derive(Debug, Default)]
pub struct ZoneQueues {
    reports: HashMap<SocketAddr, PeerQueues>,
}

/// Other nodes that compete with this one for free slots.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rivals {
    /// Nodes whose calls are of the same part.
    pub equal: Vec<Contender>,
    /// Number of nodes with calls within share, where this node's are over share.
    pub preferred: usize,
}

impl Rivals {
    /// Returns how many of them claim a free slot at a worker before this node, `own`.
    pub fn nodes_ahead(&self, own: Contender, worker: WorkerKey) -> usize {
        self.preferred + nodes_ahead(own, &self.equal, worker)
    }
}

/// Returns whether a released slot is passed from a call at `other` to one at `one`: the call is of
/// a more urgent rank, or its tenant is within its share and the other's is not. Calls of one rank
/// and part keep the slots that their own nodes release: what a slot loses on its way is more than
/// such a call gains.
pub fn precedes(one: &QueuePosition, other: &QueuePosition) -> bool {
    let class = |position: &QueuePosition| (position.rank, position.over_share);
    class(one) < class(other)
}

impl ZoneQueues {
    /// Replaces the queues of a node. An empty list removes them.
    pub fn record(&mut self, now_ms: u64, node: SocketAddr, services: Vec<ServiceQueue>) {
        self.reports
            .retain(|_, report| now_ms <= report.at_ms + REPORT_TTL_MS);
        if services.is_empty() {
            self.reports.remove(&node);
            return;
        }
        let report = PeerQueues {
            at_ms: now_ms,
            services,
        };
        self.reports.insert(node, report);
    }

    /// Discards all reports.
    pub fn forget(&mut self) {
        self.reports.clear();
    }

    /// Returns the node to which a free slot of `service` is passed; `None` if this node keeps it.
    /// `own` is the position of the call that would get the slot here, `None` if no call waits for
    /// it. Only nodes whose heads precede `own` are considered, and among them only those with the
    /// first rank and part. `draw`, a random number between 0 and 1, selects one of these with
    /// probabilities in proportion to their waiting calls of that part. One call there then counts
    /// as served.
    pub fn receiver(
        &mut self,
        now_ms: u64,
        service: &str,
        own: Option<QueuePosition>,
        draw: f64,
    ) -> Option<SocketAddr> {
        let mut nodes: Vec<(QueuePosition, u32, SocketAddr)> = self
            .heads(now_ms, service)
            .filter(|(_, head, _)| own.is_none_or(|own| precedes(head, &own)))
            .map(|(node, head, queue)| (head, calls_of_part(queue, head.over_share), node))
            .collect();
        let class = |head: &QueuePosition| (head.rank, head.over_share);
        let first = nodes.iter().map(|(head, _, _)| class(head)).min()?;
        nodes.retain(|(head, _, _)| class(head) == first);
        nodes.sort_unstable_by_key(|(_, _, node)| *node);
        let node = draw_weighted(&nodes, draw)?;
        self.count_as_served(node, service);
        Some(node)
    }

    /// Returns which of the `others` that have waiting calls compete with this node for free slots,
    /// if the call that would get one here is of this rank, and over share or not. Parts matter only
    /// where the call within share is of the same or a more urgent rank. A node whose queue is
    /// unknown counts as one of the same part.
    pub fn rivals(
        &self,
        now_ms: u64,
        service: &str,
        rank: u32,
        over_share: bool,
        others: Vec<Contender>,
    ) -> Rivals {
        let heads: HashMap<SocketAddr, QueuePosition> = self
            .heads(now_ms, service)
            .map(|(node, head, _)| (node, head))
            .collect();
        let mut rivals = Rivals::default();
        for other in others {
            match heads.get(&other.node) {
                Some(head) if over_share && !head.over_share && head.rank <= rank => {
                    rivals.preferred += usize::from(other.waiting > 0);
                }
                Some(head) if !over_share && head.over_share && rank <= head.rank => {}
                _ => rivals.equal.push(other),
            }
        }
        rivals
    }

    fn heads<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
    ) -> impl Iterator<Item = (SocketAddr, QueuePosition, &'a ServiceQueue)> {
        let fresh = self.reports.iter();
        let fresh = fresh.filter(move |(_, report)| now_ms <= report.at_ms + REPORT_TTL_MS);
        fresh.filter_map(move |(node, report)| {
            let mut queues = report.services.iter();
            let queue = queues.find(|queue| queue.service == service)?;
            let mut head = queue.head?;
            let age_ms = i32::try_from(now_ms.saturating_sub(report.at_ms)).unwrap_or(i32::MAX);
            head.slack_ms = head.slack_ms.saturating_sub(age_ms);
            Some((*node, head, queue))
        })
    }

    /// Takes the first call from the known queue of a node. The position of the next one is unknown
    /// until the next report, so it counts like the first as long as calls of its part are left.
    fn count_as_served(&mut self, node: SocketAddr, service: &str) {
        let report = self.reports.get_mut(&node);
        let mut queues = report.into_iter().flat_map(|report| &mut report.services);
        let Some(queue) = queues.find(|queue| queue.service == service) else {
            return;
        };
        let Some(head) = &mut queue.head else {
            return;
        };
        let calls = match head.over_share {
            true => &mut queue.over_share,
            false => &mut queue.within_share,
        };
        *calls = calls.saturating_sub(1);
        if *calls > 0 {
            return;
        }
        match queue.over_share {
            0 => queue.head = None,
            _ => head.over_share = true,
        }
    }
}

fn calls_of_part(queue: &ServiceQueue, over_share: bool) -> u32 {
    match over_share {
        true => queue.over_share,
        false => queue.within_share,
    }
}

fn draw_weighted(nodes: &[(QueuePosition, u32, SocketAddr)], draw: f64) -> Option<SocketAddr> {
    let weight = |calls: u32| f64::from(calls.max(1));
    let total: f64 = nodes.iter().map(|(_, calls, _)| weight(*calls)).sum();
    let mut to_skip = draw * total;
    for (_, calls, node) in nodes {
        if to_skip < weight(*calls) {
            return Some(*node);
        }
        to_skip -= weight(*calls);
    }
    nodes.last().map(|(_, _, node)| *node)
}
