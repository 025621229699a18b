//! The item leases of one node: lease requests, renewals and expiry times.
//!
//! A lease expires a fixed time after its request or renewal was first sent, so
//! it never lasts longer at the node than at its group. A lease request keeps
//! its sequence number until it is answered. The group answers a repeated number
//! with the same items, so no item is leased to a node that does not know of it.
//!
//! This module does no I/O and reads no clock; the planner passes in the time.

use std::collections::BTreeMap;

use pinerill_wire::message::{AttemptRef, LeaseItems, LeaseWant, RenewLeases};

use super::message::NodeIdentity;

/// Duration of a lease without renewal, milliseconds. It is longer than a leader
/// election of a group takes, so that an election loses no lease.
pub const LEASE_MS: u64 = 30_000;
/// Age at which leases are renewed, milliseconds. The response to a renewal also
/// lists cancelled items, so this bounds how long a cancelled item keeps running.
const RENEWAL_AGE_MS: u64 = 3_000;
/// Least remaining time of a lease under which an item is started, milliseconds.
const MIN_REMAINING_LEASE_MS: u64 = 3_000;
/// Backoff after a failed lease request or renewal, milliseconds.
const RETRY_BACKOFF_MS: u64 = 200;
/// Most attempts in one renewal.
const MAX_ATTEMPTS_PER_RENEWAL: usize = 1_024;

#[derive(Debug, Clone)]
struct LeaseRequest {
    message: LeaseItems,
    first_sent_ms: u64,
    in_flight: bool,
    retry_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Renewal {
    attempts: Vec<AttemptRef>,
    sent_ms: u64,
}

#[derive(Debug, Default)]
struct GroupLeases {
    sequence: u64,
    request: Option<LeaseRequest>,
    renewal: Option<Renewal>,
    renew_at_ms: u64,
    /// Expiry time of each lease, in milliseconds of the node's clock.
    expiries_ms: BTreeMap<AttemptRef, u64>,
}

/// All leases of the node, with its open lease requests and renewals.
#[derive(Debug)]
pub struct LeaseTable {
    node: NodeIdentity,
    groups: BTreeMap<u32, GroupLeases>,
}

impl LeaseTable {
    /// Creates a table without leases.
    pub fn new(node: NodeIdentity) -> Self {
        Self {
            node,
            groups: BTreeMap::new(),
        }
    }

    /// Returns whether a lease request to this group is unanswered.
    pub fn has_request(&self, group: u32) -> bool {
        let leases = self.groups.get(&group);
        leases.is_some_and(|leases| leases.request.is_some())
    }

    /// Returns whether a lease request to any group is unanswered.
    pub fn has_requests(&self) -> bool {
        self.groups.values().any(|one| one.request.is_some())
    }

    /// Returns the items that unanswered lease requests ask for, by service.
    pub fn requested(&self) -> impl Iterator<Item = &LeaseWant> {
        let requests = self.groups.values().filter_map(|one| one.request.as_ref());
        requests.flat_map(|request| &request.message.wants)
    }

    /// Creates a lease request to a group that has none unanswered.
    /// [`Self::due_requests`] returns it for sending.
    pub fn add_request(&mut self, now_ms: u64, group: u32, wants: Vec<LeaseWant>) {
        let leases = self.groups.entry(group).or_default();
        leases.sequence += 1;
        leases.request = Some(LeaseRequest {
            message: LeaseItems {
                group,
                node: self.node.name.clone(),
                incarnation: self.node.incarnation,
                sequence: leases.sequence,
                wants,
                lease_ms: LEASE_MS,
            },
            first_sent_ms: now_ms,
            in_flight: false,
            retry_at_ms: 0,
        });
    }

    /// Returns the lease requests to send now, new ones and retries, and marks
    /// them as in flight.
    pub fn due_requests(&mut self, now_ms: u64) -> Vec<LeaseItems> {
        let requests = self
            .groups
            .values_mut()
            .filter_map(|one| one.request.as_mut());
        let due = requests.filter(|one| !one.in_flight && one.retry_at_ms <= now_ms);
        due.map(|request| {
            request.in_flight = true;
            request.message.clone()
        })
        .collect()
    }

    /// Records the items that a group leased in response to the open request.
    /// Returns what the request asked for; empty if no request was open.
    pub fn record_leased(&mut self, group: u32, items: &[AttemptRef]) -> Vec<LeaseWant> {
        let leases = self.groups.entry(group).or_default();
        let Some(request) = leases.request.take() else {
            return Vec::new();
        };
        let end = request.first_sent_ms + LEASE_MS;
        leases
            .expiries_ms
            .extend(items.iter().map(|item| (*item, end)));
        request.message.wants
    }

    /// Schedules a retry of a lease request that was not answered. The retry keeps
    /// the sequence number, since the group may have leased items already.
    pub fn request_failed(&mut self, now_ms: u64, group: u32) {
        let leases = self.groups.entry(group).or_default();
        if let Some(request) = &mut leases.request {
            request.in_flight = false;
            request.retry_at_ms = now_ms + RETRY_BACKOFF_MS;
        }
    }

    /// Returns when the lease of an attempt expires, in milliseconds, or `None` if
    /// there is no lease or too little of it is left to start the item.
    pub fn expiry_for_start(&self, now_ms: u64, attempt: AttemptRef) -> Option<u64> {
        let leases = self.groups.get(&attempt.job.group)?;
        let end = leases.expiries_ms.get(&attempt).copied();
        end.filter(|end| now_ms + MIN_REMAINING_LEASE_MS < *end)
    }

    /// Removes a lease that is not needed any more.
    pub fn remove(&mut self, attempt: AttemptRef) {
        if let Some(leases) = self.groups.get_mut(&attempt.job.group) {
            leases.expiries_ms.remove(&attempt);
        }
    }

    /// Removes the expired leases and returns their attempts.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<AttemptRef> {
        let mut expired = Vec::new();
        for leases in self.groups.values_mut() {
            leases.expiries_ms.retain(|attempt, end| {
                let is_valid = now_ms < *end;
                if !is_valid {
                    expired.push(*attempt);
                }
                is_valid
            });
        }
        expired
    }

    /// Returns the renewals to send now, at most one per group, and marks them as
    /// in flight.
    pub fn due_renewals(&mut self, now_ms: u64) -> Vec<RenewLeases> {
        let mut due = Vec::new();
        for (group, leases) in &mut self.groups {
            if leases.renewal.is_some() || now_ms < leases.renew_at_ms {
                continue;
            }
            let attempts = attempts_to_renew(&leases.expiries_ms, now_ms);
            if attempts.is_empty() {
                continue;
            }
            leases.renewal = Some(Renewal {
                attempts: attempts.clone(),
                sent_ms: now_ms,
            });
            due.push(RenewLeases {
                group: *group,
                node: self.node.name.clone(),
                lease_ms: LEASE_MS,
                attempts,
            });
        }
        due
    }

    /// Extends the leases of a renewal that was answered and removes those that the
    /// group reported as `lost`.
    pub fn record_renewed(&mut self, group: u32, lost: &[AttemptRef]) {
        let leases = self.groups.entry(group).or_default();
        let Some(renewal) = leases.renewal.take() else {
            return;
        };
        for attempt in renewal.attempts {
            if let Some(end) = leases.expiries_ms.get_mut(&attempt) {
                *end = (*end).max(renewal.sent_ms + LEASE_MS);
            }
        }
        for attempt in lost {
            leases.expiries_ms.remove(attempt);
        }
    }

    /// Schedules a retry of a renewal that failed. Its leases keep their expiry
    /// times.
    pub fn renewal_failed(&mut self, now_ms: u64, group: u32) {
        let leases = self.groups.entry(group).or_default();
        leases.renewal = None;
        leases.renew_at_ms = now_ms + RETRY_BACKOFF_MS;
    }
}

/// Returns the attempts to renew, those that expire first in front. If any lease
/// is old enough, the other leases of the group are included up to the size
/// limit, so that one message renews them together; otherwise it is empty.
fn attempts_to_renew(expiries_ms: &BTreeMap<AttemptRef, u64>, now_ms: u64) -> Vec<AttemptRef> {
    let aged = now_ms + LEASE_MS - RENEWAL_AGE_MS;
    if !expiries_ms.values().any(|end| *end <= aged) {
        return Vec::new();
    }
    let mut attempts: Vec<(u64, AttemptRef)> = expiries_ms
        .iter()
        .map(|(attempt, end)| (*end, *attempt))
        .collect();
    attempts.sort_unstable();
    attempts.truncate(MAX_ATTEMPTS_PER_RENEWAL);
    attempts.into_iter().map(|(_, attempt)| attempt).collect()
}
