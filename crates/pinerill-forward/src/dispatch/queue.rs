//! Order in which waiting calls get slots. Pure.
//!
//! Calls are ordered by rank first. Where slots are shared among tenants, the calls of a rank within
//! their tenant's share precede those over it. Then calls that can still meet their objective come
//! first, the one with the earliest latest start at the head. Late calls follow, the newest first:
//! their objective is missed in any case, and the callers of the newest ones will wait longest from
//! now on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use super::report::{QueuePosition, TenantKey};
use super::shares::Shares;
use super::tenant_use::WaitingByTenant;

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

/// A waiting call in the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queued {
    /// Ticket of the call.
    pub ticket: Ticket,
    /// Whether its tenant's share is used up by its slots in use and its waiting calls before this
    /// one.
    pub over_share: bool,
    precedence: Precedence,
}

impl Queued {
    /// Returns the urgency class of the call.
    pub fn rank(&self) -> u32 {
        self.precedence.rank
    }
}

/// Calls that wait for a slot at a worker, ordered by urgency.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    next_ticket: Ticket,
    calls: BTreeMap<Ticket, (TenantKey, WaitingCall)>,
    /// Shares of the slots; `None` where they are not shared among tenants.
    shares: Option<Shares>,
}

impl WaitingQueue {
    /// Adds a call of a caller without a tenant and returns its ticket.
    pub fn push(&mut self, call: WaitingCall) -> Ticket {
        self.push_of(TenantKey::from_name(None), call)
    }

    /// Adds a call of a tenant and returns its ticket.
    pub fn push_of(&mut self, tenant: TenantKey, call: WaitingCall) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.calls.insert(ticket, (tenant, call));
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

    /// Returns the number of waiting calls of each tenant.
    pub fn waiting_by_tenant(&self) -> WaitingByTenant {
        let mut waiting = HashMap::new();
        for (tenant, _) in self.calls.values() {
            *waiting.entry(*tenant).or_default() += 1;
        }
        waiting
    }

    /// Replaces the shares by which calls are ordered from now on; with `None`, tenants do not
    /// matter.
    pub fn set_shares(&mut self, shares: Option<Shares>) {
        self.shares = shares;
    }

    /// Returns the shares in force.
    pub fn shares(&self) -> Option<&Shares> {
        self.shares.as_ref()
    }

    /// Returns the shares in force, to count slots that were taken or released since the division.
    pub fn shares_mut(&mut self) -> Option<&mut Shares> {
        self.shares.as_mut()
    }

    /// Returns up to `max` calls from the head of the queue, in the order in which they are served.
    pub fn head(&self, now_ms: u64, max: usize) -> Vec<Ticket> {
        let order = self.order(now_ms, None);
        order.iter().take(max).map(|queued| queued.ticket).collect()
    }

    /// Returns the number of waiting calls that would be served before a call that arrived now and
    /// has no tenant.
    pub fn ahead_of(&self, now_ms: u64, newcomer: &WaitingCall) -> usize {
        self.place_of(now_ms, TenantKey::from_name(None), newcomer)
            .0
    }

    /// Returns the number of waiting calls that would be served before a call of a tenant that
    /// arrived now, and whether that call would be over share.
    pub fn place_of(
        &self,
        now_ms: u64,
        tenant: TenantKey,
        newcomer: &WaitingCall,
    ) -> (usize, bool) {
        self.place_among(now_ms, tenant, newcomer, |_| true)
    }

    /// Like [`Self::place_of`], where only the calls that `competes` accepts count: those that wait
    /// for the same slots.
    pub fn place_among(
        &self,
        now_ms: u64,
        tenant: TenantKey,
        newcomer: &WaitingCall,
        competes: impl Fn(Ticket) -> bool,
    ) -> (usize, bool) {
        if self.shares.is_none() {
            let own = Precedence::new(now_ms, self.next_ticket, newcomer);
            let calls = self.calls.iter();
            let ahead = calls
                .filter(|(ticket, (_, call))| Precedence::new(now_ms, **ticket, call) < own)
                .filter(|(ticket, _)| competes(**ticket));
            return (ahead.count(), false);
        }
        let order = self.order(now_ms, Some((tenant, newcomer)));
        let is_own = |queued: &Queued| queued.ticket == self.next_ticket;
        let ahead = order.iter().take_while(|queued| !is_own(queued));
        let ahead = ahead.filter(|queued| competes(queued.ticket)).count();
        let own = order.iter().find(|queued| is_own(queued));
        (ahead, own.is_none_or(|queued| queued.over_share))
    }

    /// Returns all calls in the order in which they are served, with `newcomer` as if it had
    /// arrived now.
    pub fn order(&self, now_ms: u64, newcomer: Option<(TenantKey, &WaitingCall)>) -> Vec<Queued> {
        let waiting = self.calls.iter();
        let waiting = waiting.map(|(ticket, (tenant, call))| (*ticket, *tenant, call));
        let newcomer = newcomer.map(|(tenant, call)| (self.next_ticket, tenant, call));
        let mut order: Vec<(TenantKey, Queued)> = waiting
            .chain(newcomer)
            .map(|(ticket, tenant, call)| {
                let queued = Queued {
                    ticket,
                    over_share: false,
                    precedence: Precedence::new(now_ms, ticket, call),
                };
                (tenant, queued)
            })
            .collect();
        order.sort_unstable_by_key(|(_, queued)| queued.precedence);
        if let Some(shares) = &self.shares {
            separate_parts(&mut order, shares);
        }
        order.into_iter().map(|(_, queued)| queued).collect()
    }

    /// Returns the position of a waiting call in the order of a zone's queues.
    pub fn position(&self, now_ms: u64, queued: &Queued) -> Option<QueuePosition> {
        let (_, call) = self.calls.get(&queued.ticket)?;
        let slack_ms = call.latest_start_ms as i64 - now_ms as i64;
        Some(QueuePosition {
            rank: call.rank,
            over_share: queued.over_share,
            slack_ms: slack_ms.clamp(i32::MIN.into(), i32::MAX.into()) as i32,
        })
    }
}

/// Keeps the first `max` calls of each `key`, in the same order.
pub fn first_of_each<K: Eq + Hash>(
    mut order: Vec<Queued>,
    max: usize,
    key: impl Fn(&Queued) -> K,
) -> Vec<Queued> {
    let mut kept: HashMap<K, usize> = HashMap::new();
    order.retain(|queued| {
        let calls = kept.entry(key(queued)).or_default();
        *calls += 1;
        *calls <= max
    });
    order
}

/// Marks the calls that exceed the room of their tenants, and moves them behind the others of their
/// rank.
fn separate_parts(order: &mut [(TenantKey, Queued)], shares: &Shares) {
    let mut rooms: HashMap<TenantKey, u32> = HashMap::new();
    for (tenant, queued) in order.iter_mut() {
        let room = rooms.entry(*tenant).or_insert_with(|| shares.room(*tenant));
        queued.over_share = *room == 0;
        *room = room.saturating_sub(1);
    }
    order.sort_by_key(|(_, queued)| (queued.precedence.rank, queued.over_share));
}
