//! The order in which waiting calls get places. Pure.
//!
//! Ranks go before everything else. Within a rank, calls that can still meet
//! their objective go first, the one that must begin soonest at their head.
//! Calls that are late already follow, the newest first: all of them are worth
//! the same, and those that came last have callers who wait longest from here.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Names a waiting call at this node.
pub type Ticket = u64;

/// What decides a waiting call's place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingCall {
    /// 0 is the most urgent.
    pub rank: u32,
    /// Until when it may begin and still meet its objective, milliseconds on
    /// the node's clock.
    pub in_time_until_ms: u64,
}

/// Place in the order; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    rank: u32,
    within_rank: WithinRank,
}

/// Place among calls of the same rank; those in time before those that are late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WithinRank {
    InTime { until_ms: u64, ticket: Ticket },
    Late { newest: Reverse<Ticket> },
}

impl Precedence {
    fn of(now_ms: u64, ticket: Ticket, call: &WaitingCall) -> Self {
        let until_ms = call.in_time_until_ms;
        let within_rank = match until_ms >= now_ms {
            true => WithinRank::InTime { until_ms, ticket },
            false => WithinRank::Late {
                newest: Reverse(ticket),
            },
        };
        Precedence {
            rank: call.rank,
            within_rank,
        }
    }
}

/// Calls that wait for a place at a worker.
#[derive(Debug, Default)]
pub struct WaitingLine {
    next_ticket: Ticket,
    calls: BTreeMap<Ticket, WaitingCall>,
}

impl WaitingLine {
    /// A call begins to wait.
    pub fn join(&mut self, call: WaitingCall) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.calls.insert(ticket, call);
        ticket
    }

    /// A call waits no more; nothing if it did not.
    pub fn leave(&mut self, ticket: Ticket) {
        self.calls.remove(&ticket);
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// The first calls of the order, `most` of them at the most.
    pub fn first(&self, now_ms: u64, most: usize) -> Vec<Ticket> {
        let mut order: Vec<(Precedence, Ticket)> = self
            .calls
            .iter()
            .map(|(ticket, call)| (Precedence::of(now_ms, *ticket, call), *ticket))
            .collect();
        order.sort_unstable();
        order.truncate(most);
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Calls that would go before a call that came now.
    pub fn ahead_of(&self, now_ms: u64, newcomer: &WaitingCall) -> usize {
        let own = Precedence::of(now_ms, self.next_ticket, newcomer);
        let others = self.calls.iter();
        others
            .filter(|(ticket, call)| Precedence::of(now_ms, **ticket, call) < own)
            .count()
    }
}
