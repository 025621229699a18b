//! Order in which waiting calls get slots. Pure.
//!
//! Calls are ordered by rank first. Within a rank, calls that can still meet their objective come
//! first, the one with the earliest latest start at the head. Late calls follow, the newest first:
//! their objective is missed in any case, and the callers of the newest ones will wait longest from
//! now on.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Identifies a waiting call at this node. Tickets increase in the order of arrival.
pub type Ticket = u64;

/// Properties of a waiting call that determine its position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingCall {
    /// Urgency class; 0 is the most urgent.
    pub rank: u32,
    /// Latest time at which the call can start and still meet its objective, in milliseconds on the
    /// node's clock.
    pub latest_start_ms: u64,
}

/// Position in the queue; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    rank: u32,
    within_rank: WithinRank,
}

/// Position within a rank; calls that are in time sort before late ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WithinRank {
    InTime {
        latest_start_ms: u64,
        ticket: Ticket,
    },
    Late {
        newest: Reverse<Ticket>,
    },
}

impl Precedence {
    fn new(now_ms: u64, ticket: Ticket, call: &WaitingCall) -> Self {
        let latest_start_ms = call.latest_start_ms;
        let within_rank = match latest_start_ms >= now_ms {
            true => WithinRank::InTime {
                latest_start_ms,
                ticket,
            },
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

/// Calls that wait for a slot at a worker, ordered by urgency.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    next_ticket: Ticket,
    calls: BTreeMap<Ticket, WaitingCall>,
}

impl WaitingQueue {
    /// Adds a call and returns its ticket.
    pub fn push(&mut self, call: WaitingCall) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.calls.insert(ticket, call);
        ticket
    }

    /// Removes a call; does nothing if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) {
        self.calls.remove(&ticket);
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns up to `max` calls from the head of the queue, in the order in which they are served.
    pub fn head(&self, now_ms: u64, max: usize) -> Vec<Ticket> {
        let mut order: Vec<(Precedence, Ticket)> = self
            .calls
            .iter()
            .map(|(ticket, call)| (Precedence::new(now_ms, *ticket, call), *ticket))
            .collect();
        order.sort_unstable();
        order.truncate(max);
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Returns the number of waiting calls that would be served before a call that arrived now.
    pub fn ahead_of(&self, now_ms: u64, newcomer: &WaitingCall) -> usize {
        let own = Precedence::new(now_ms, self.next_ticket, newcomer);
        let others = self.calls.iter();
        others
            .filter(|(ticket, call)| Precedence::new(now_ms, **ticket, call) < own)
            .count()
    }
}
