//! The queue of one service's requests that wait for an engine slot. It does no I/O; the
//! caller passes the time.
//!
//! The queue is bounded and serves tenants round-robin, one request each. If it is full or the
//! expected wait of a new request is too long, the request is rejected at once. A request of a
//! tenant with less than an equal share of the queue displaces another tenant's request instead.

use std::collections::{BTreeMap, VecDeque};

use pinerill_types::TenantName;

/// Weight of the latest interval between two dequeued requests in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Number that identifies a queued request. The caller assigns it and keeps it unique.
pub type Ticket = u64;

/// Result of [`FairQueue::enqueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request is queued.
    Queued,
    /// The request is queued, and the request with this ticket was removed in exchange. It was
    /// the newest of the tenant with the most queued requests.
    Displaced(Ticket),
    /// The queue is full or the wait would be too long. Contains the time after which to
    /// retry in milliseconds: the expected wait, but at least 1.
    Rejected(u64),
}

/// Queued requests of one service, in the order of arrival for each tenant.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Contains only tenants that have queued requests.
    waiting: BTreeMap<TenantName, VecDeque<Ticket>>,
    last_tenant: Option<TenantName>,
    length: usize,
    last_pop_ms: Option<u64>,
    mean_interval_ms: f64,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the expected wait of one more request in milliseconds. It is based on the average
    /// interval between dequeued requests while the queue was not empty.
    pub fn expected_wait_ms(&self) -> u64 {
        (self.mean_interval_ms * (self.length + 1) as f64) as u64
    }

    /// Enqueues a request unless the queue has `limit` requests or the expected wait exceeds
    /// `max_wait_ms`. In these cases, a request of a tenant below its equal share displaces the
    /// newest one of the tenant with the most requests.
    pub fn enqueue(
        &mut self,
        tenant: &TenantName,
        ticket: Ticket,
        limit: usize,
        max_wait_ms: u64,
    ) -> EnqueueOutcome {
        let wait = self.expected_wait_ms();
        let full = self.length >= limit;
        let too_long = wait > max_wait_ms;
        if (full || too_long) && !self.is_below_fair_share(tenant) {
            return EnqueueOutcome::Rejected(wait.max(1));
        }
        let displaced = if full || too_long {
            self.displace_newest()
        } else {
            None
        };
        if (full || too_long) && displaced.is_none() {
            return EnqueueOutcome::Rejected(wait.max(1));
        }
        self.push(tenant, ticket);
        displaced.map_or(EnqueueOutcome::Queued, EnqueueOutcome::Displaced)
    }

    /// Appends a request. The first one in an empty queue starts a new interval, so that idle
    /// times do not count as waiting times.
    fn push(&mut self, tenant: &TenantName, ticket: Ticket) {
        if self.length == 0 {
            self.last_pop_ms = None;
        }
        self.waiting
            .entry(tenant.clone())
            .or_default()
            .push_back(ticket);
        self.length += 1;
    }

    /// Returns whether a tenant stays within an equal share of the queue with one more request.
    /// False if no other tenant has queued requests.
    fn is_below_fair_share(&self, tenant: &TenantName) -> bool {
        let own = self.waiting.get(tenant).map_or(0, VecDeque::len);
        let newcomer = usize::from(own == 0);
        let tenants = self.waiting.len() + newcomer;
        tenants > 1 && (own + 1) * tenants <= self.length
    }

    /// Removes the newest request of the tenant with the most queued requests.
    fn displace_newest(&mut self) -> Option<Ticket> {
        let longest = self
            .waiting
            .iter()
            .max_by_key(|(_, tickets)| tickets.len())?
            .0
            .clone();
        let ticket = self.waiting.get_mut(&longest)?.pop_back()?;
        self.account_removal(&longest);
        Some(ticket)
    }

    /// Updates the length, and removes the tenant if it has no other queued request.
    fn account_removal(&mut self, tenant: &TenantName) {
        self.length -= 1;
        if self.waiting.get(tenant).is_some_and(VecDeque::is_empty) {
            self.waiting.remove(tenant);
        }
    }

    /// Returns the request that [`Self::pop`] would remove, or None if the queue is empty.
    pub fn peek(&self) -> Option<Ticket> {
        let tenant = self.next_tenant()?;
        self.waiting.get(&tenant)?.front().copied()
    }

    /// Removes and returns the oldest request of the tenant whose turn it is, or None if the
    /// queue is empty. `now_ms` is the current time, from which the average interval is updated.
    pub fn pop(&mut self, now_ms: u64) -> Option<Ticket> {
        let tenant = self.next_tenant()?;
        let ticket = self.waiting.get_mut(&tenant)?.pop_front()?;
        self.account_removal(&tenant);
        self.last_tenant = Some(tenant);
        self.update_interval(now_ms);
        Some(ticket)
    }

    /// Returns the tenant whose turn it is: the next one by name after the tenant served last.
    fn next_tenant(&self) -> Option<TenantName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last_tenant.as_ref().and_then(|last| {
            let range = (Excluded(last), Unbounded);
            self.waiting.range::<TenantName, _>(range).next()
        });
        let next = after.or_else(|| self.waiting.iter().next())?;
        Some(next.0.clone())
    }

    /// Updates the average interval between dequeued requests.
    fn update_interval(&mut self, now_ms: u64) {
        if let Some(previous) = self.last_pop_ms {
            let interval = now_ms.saturating_sub(previous) as f64;
            self.mean_interval_ms += INTERVAL_WEIGHT * (interval - self.mean_interval_ms);
        }
        self.last_pop_ms = Some(now_ms);
    }

    /// Removes a request. Returns false if it is not queued.
    pub fn remove(&mut self, tenant: &TenantName, ticket: Ticket) -> bool {
        let Some(tickets) = self.waiting.get_mut(tenant) else {
            return false;
        };
        let Some(index) = tickets.iter().position(|one| *one == ticket) else {
            return false;
        };
        tickets.remove(index);
        self.account_removal(tenant);
        true
    }
}
