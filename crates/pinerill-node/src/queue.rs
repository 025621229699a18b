//! Requests of one service that wait for a place at an engine. Pure.
//!
//! Bounded, fair among tenants (one of each in turn), and early: whoever
//! would wait longer than allowed is not queued at all.

use std::collections::{BTreeMap, VecDeque};

use pinerill_types::TenantName;

/// Weight of the newest pause between two places in its moving average.
const PACE_WEIGHT: f64 = 0.1;

/// Number of a waiting request.
pub type Ticket = u64;

/// What became of a request that asked to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits.
    Waits,
    /// It waits, and this one of a tenant with more than its share does not.
    Displaced(Ticket),
    /// The queue is full or the wait would be too long; milliseconds until
    /// there may be room.
    Refused(u64),
}

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<TenantName, VecDeque<Ticket>>,
    turn: Option<TenantName>,
    length: usize,
    placed_ms: Option<u64>,
    pause_ms: f64,
}

impl FairQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The wait of one more request, in milliseconds, from the pace at which
    /// places came free while requests waited.
    pub fn expected_wait_ms(&self) -> u64 {
        (self.pause_ms * (self.length + 1) as f64) as u64
    }

    /// Lets a request wait, if it would get its turn within `patience_ms`.
    pub fn enqueue(
        &mut self,
        tenant: &TenantName,
        ticket: Ticket,
        limit: usize,
        patience_ms: u64,
    ) -> Enqueued {
        let wait = self.expected_wait_ms();
        let full = self.length >= limit;
        let late = wait > patience_ms;
        if (full || late) && !self.is_below_share(tenant) {
            return Enqueued::Refused(wait.max(1));
        }
        let displaced = if full || late {
            self.drop_newest_of_longest()
        } else {
            None
        };
        if (full || late) && displaced.is_none() {
            return Enqueued::Refused(wait.max(1));
        }
        self.push(tenant, ticket);
        displaced.map_or(Enqueued::Waits, Enqueued::Displaced)
    }

    fn push(&mut self, tenant: &TenantName, ticket: Ticket) {
        if self.length == 0 {
            self.placed_ms = None;
        }
        self.waiting
            .entry(tenant.clone())
            .or_default()
            .push_back(ticket);
        self.length += 1;
    }

    /// Whether a tenant has fewer waiting requests than an equal share.
    fn is_below_share(&self, tenant: &TenantName) -> bool {
        let own = self.waiting.get(tenant).map_or(0, VecDeque::len);
        let newcomer = usize::from(own == 0);
        let tenants = self.waiting.len() + newcomer;
        tenants > 1 && (own + 1) * tenants <= self.length
    }

    fn drop_newest_of_longest(&mut self) -> Option<Ticket> {
        let longest = self
            .waiting
            .iter()
            .max_by_key(|(_, tickets)| tickets.len())?
            .0
            .clone();
        let ticket = self.waiting.get_mut(&longest)?.pop_back()?;
        self.after_removal(&longest);
        Some(ticket)
    }

    fn after_removal(&mut self, tenant: &TenantName) {
        self.length -= 1;
        if self.waiting.get(tenant).is_some_and(VecDeque::is_empty) {
            self.waiting.remove(tenant);
        }
    }

    /// The request that [`Self::pop`] would give.
    pub fn peek(&self) -> Option<Ticket> {
        let tenant = self.next_tenant()?;
        self.waiting.get(&tenant)?.front().copied()
    }

    /// A place is free: the next request, of the tenant whose turn it is.
    pub fn pop(&mut self, now_ms: u64) -> Option<Ticket> {
        let tenant = self.next_tenant()?;
        let ticket = self.waiting.get_mut(&tenant)?.pop_front()?;
        self.after_removal(&tenant);
        self.turn = Some(tenant);
        self.note_pace(now_ms);
        Some(ticket)
    }

    fn next_tenant(&self) -> Option<TenantName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.turn.as_ref().and_then(|turn| {
            let range = (Excluded(turn), Unbounded);
            self.waiting.range::<TenantName, _>(range).next()
        });
        let next = after.or_else(|| self.waiting.iter().next())?;
        Some(next.0.clone())
    }

    fn note_pace(&mut self, now_ms: u64) {
        if let Some(before) = self.placed_ms {
            let pause = now_ms.saturating_sub(before) as f64;
            self.pause_ms += PACE_WEIGHT * (pause - self.pause_ms);
        }
        self.placed_ms = Some(now_ms);
    }

    /// A request no longer waits.
    pub fn remove(&mut self, tenant: &TenantName, ticket: Ticket) -> bool {
        let Some(tickets) = self.waiting.get_mut(tenant) else {
            return false;
        };
        let Some(at) = tickets.iter().position(|one| *one == ticket) else {
            return false;
        };
        tickets.remove(at);
        self.after_removal(tenant);
        true
    }
}
