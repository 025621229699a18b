//! Items that wait for an engine, and questions for more.

use std::collections::BTreeMap;

use pinerill_types::ServiceName;
use pinerill_wire::message::AttemptRef;

use super::{Planner, Stage};
use crate::batch::demand::free_places;
use crate::batch::message::Output;

/// Longest wait of a leased item for an engine, milliseconds; then another
/// node may have it.
const READY_LIMIT_MS: u64 = 5_000;
/// Most reports that wait while more items are leased.
const REPORTS_LIMIT: usize = 4_096;

impl Planner {
    pub(super) fn start_ready(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let waiting: Vec<AttemptRef> = self.ready.iter().map(|(_, one)| *one).collect();
        for attempt in waiting {
            let Some(item) = self.items.get_mut(&attempt) else {
                continue;
            };
            let Some(lease_end_ms) = self.leases.end_for_start(now_ms, attempt) else {
                continue;
            };
            let service = &item.lease.service;
            let Some(engine) = self.board.choose(now_ms, service, &item.tried) else {
                continue;
            };
            self.board.start(now_ms, &engine, attempt, service);
            self.ready.remove(&(item.lease.deadline_ms, attempt));
            item.stage = Stage::AtEngine(engine.clone());
            out.push(Output::Start {
                attempt,
                item: item.lease.clone(),
                engine,
                lease_end_ms,
            });
        }
    }

    pub(super) fn release_stale(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let stale: Vec<AttemptRef> = self
            .ready
            .iter()
            .map(|(_, attempt)| *attempt)
            .filter(|attempt| self.is_stale(now_ms, *attempt))
            .collect();
        for attempt in stale {
            self.give_back(now_ms, attempt, out);
        }
    }

    fn is_stale(&self, now_ms: u64, attempt: AttemptRef) -> bool {
        let Some(item) = self.items.get(&attempt) else {
            return false;
        };
        let Stage::Ready { since_ms } = item.stage else {
            return false;
        };
        let waited = since_ms + READY_LIMIT_MS <= now_ms;
        waited || !self.board.has_untried(&item.lease.service, &item.tried)
    }

    pub(super) fn ask(&mut self, now_ms: u64) {
        if self.drain_until_ms.is_some() || self.outbox.len() >= REPORTS_LIMIT {
            return;
        }
        let mut wanted = free_places(&self.board, self.hints.backlog(), now_ms);
        for (_, attempt) in &self.ready {
            if let Some(item) = self.items.get(attempt) {
                reduce(&mut wanted, &item.lease.service, 1);
            }
        }
        for want in self.leases.asked() {
            reduce(&mut wanted, &want.service, want.limit);
        }
        let leases = &self.leases;
        let questions = self
            .hints
            .questions(now_ms, wanted, |group| !leases.has_question(group));
        for (group, wants) in questions {
            self.leases.ask(now_ms, group, wants);
        }
    }
}

fn reduce(wanted: &mut BTreeMap<ServiceName, u32>, service: &ServiceName, count: u32) {
    if let Some(wanted) = wanted.get_mut(service) {
        *wanted = wanted.saturating_sub(count);
    }
}
