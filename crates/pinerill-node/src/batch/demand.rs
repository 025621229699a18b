//! Decides how many items to request from which job group.
//!
//! This module does no I/O and reads no clock; the planner passes in the time.

use std::collections::BTreeMap;

use pinerill_types::ServiceName;
use pinerill_wire::message::LeaseWant;

use super::engines::EngineTable;
use super::message::Backlog;

/// Most items of one service in one lease request.
const MAX_ITEMS_PER_WANT: u32 = 64;
/// Number of running items per item that is leased ahead, so that a slot that
/// becomes free is filled without waiting for a lease request.
const LEASE_AHEAD_DIVISOR: u32 = 8;
/// First backoff after a group returned no items of a service, milliseconds.
/// It doubles with every further empty response.
const EMPTY_BACKOFF_MS: u64 = 200;
/// Longest backoff after empty responses, milliseconds.
const MAX_EMPTY_BACKOFF_MS: u64 = 2_000;

/// The backoff for one service at one group after empty responses.
#[derive(Debug, Clone, Copy, Default)]
struct EmptyBackoff {
    until_ms: u64,
    pause_ms: u64,
}

/// Approximate knowledge of which groups hold items that wait for a lease.
#[derive(Debug, Default)]
pub struct GroupHints {
    backlog: Backlog,
    backoffs: BTreeMap<(ServiceName, u32), EmptyBackoff>,
    /// Rotates the order of the groups with every round of requests.
    cursor: usize,
}

/// Returns how many more items of each service with a backlog the node can use:
/// its share of the free slots, plus the items to lease ahead. The free slots of
/// an engine that serves several such services are shared equally.
pub fn lease_demand(
    engines: &EngineTable,
    backlog: &Backlog,
    now_ms: u64,
) -> BTreeMap<ServiceName, u32> {
    let mut demand: BTreeMap<ServiceName, u32> = BTreeMap::new();
    for (number, (slots, services)) in engines.startable_items(now_ms).enumerate() {
        let waiting: Vec<&ServiceName> = services
            .iter()
            .filter(|one| backlog.contains_key(*one))
            .collect();
        if waiting.is_empty() || slots == 0 {
            continue;
        }
        let count = waiting.len() as u32;
        for (at, service) in waiting.into_iter().enumerate() {
            // A remainder goes to a different service at each engine, so that no
            // service gets all of them.
            let turn = (at + number) as u32 % count;
            let share = slots / count + u32::from(turn < slots % count);
            *demand.entry(service.clone()).or_default() += share;
        }
    }
    for (service, running) in engines.running_by_service() {
        if backlog.contains_key(&service) {
            *demand.entry(service).or_default() += running.div_ceil(LEASE_AHEAD_DIVISOR);
        }
    }
    demand
}

impl GroupHints {
    /// Creates empty hints. `cursor` selects the group that is asked first and
    /// should differ between nodes, so that they spread over the groups.
    pub fn new(cursor: usize) -> Self {
        Self {
            cursor,
            ..Self::default()
        }
    }

    /// Replaces the backlog with one that the groups reported.
    pub fn set_backlog(&mut self, backlog: Backlog) {
        self.backlog = backlog;
    }

    /// Returns the number of items that wait, by service and group.
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Distributes the `wanted` items of each service over the groups that have
    /// some. Skips groups for which `is_free` returns false and those in backoff.
    /// Returns the lease request of each group.
    pub fn lease_requests(
        &mut self,
        now_ms: u64,
        wanted: BTreeMap<ServiceName, u32>,
        is_free: impl Fn(u32) -> bool,
    ) -> BTreeMap<u32, Vec<LeaseWant>> {
        let mut lease_requests: BTreeMap<u32, Vec<LeaseWant>> = BTreeMap::new();
        for (service, mut left) in wanted {
            for (group, pending) in self.candidates(now_ms, &service) {
                if left == 0 {
                    break;
                }
                if !is_free(group) {
                    continue;
                }
                let limit = left
                    .min(MAX_ITEMS_PER_WANT)
                    .min(u32::try_from(pending).unwrap_or(MAX_ITEMS_PER_WANT));
                left -= limit;
                let service = service.clone();
                lease_requests
                    .entry(group)
                    .or_default()
                    .push(LeaseWant { service, limit });
            }
        }
        if !lease_requests.is_empty() {
            self.cursor = self.cursor.wrapping_add(1);
        }
        lease_requests
    }

    /// Returns the groups that have items of a service and are not in backoff,
    /// with their number of items, in rotation from the cursor on.
    fn candidates(&self, now_ms: u64, service: &ServiceName) -> Vec<(u32, u64)> {
        let Some(groups) = self.backlog.get(service) else {
            return Vec::new();
        };
        let mut candidates: Vec<(u32, u64)> = groups
            .iter()
            .map(|(group, pending)| (*group, *pending))
            .filter(|(group, pending)| {
                let backoff = self.backoffs.get(&(service.clone(), *group));
                *pending > 0 && backoff.is_none_or(|backoff| backoff.until_ms <= now_ms)
            })
            .collect();
        if !candidates.is_empty() {
            let start = self.cursor % candidates.len();
            candidates.rotate_left(start);
        }
        candidates
    }

    /// Records that a group returned `got` items for `want`. An empty response
    /// starts or doubles the backoff; any other ends it and lowers the hint.
    pub fn record_response(&mut self, now_ms: u64, group: u32, want: &LeaseWant, got: u32) {
        let key = (want.service.clone(), group);
        if got == 0 {
            let backoff = self.backoffs.entry(key).or_default();
            backoff.pause_ms = (backoff.pause_ms * 2).clamp(EMPTY_BACKOFF_MS, MAX_EMPTY_BACKOFF_MS);
            backoff.until_ms = now_ms + backoff.pause_ms;
            return;
        }
        self.backoffs.remove(&key);
        let groups = self.backlog.get_mut(&want.service);
        if let Some(pending) = groups.and_then(|groups| groups.get_mut(&group)) {
            // The hint may be too low, so it stays above 0 until a request comes
            // back empty or the group reports a new backlog.
            *pending = pending.saturating_sub(u64::from(got)).max(1);
        }
    }
}
