//! One worker as this node sees it.

use std::sync::Arc;

use pinerill_calls::directory::{WorkerEntry, WorkerState};
use pinerill_calls::protocol::LoadSample;

use super::prefixes::PrefixMemory;
use super::slow_start::SlowStartPermit;
use super::suspicion::Suspicion;

/// A load sample counts in full up to this age, milliseconds.
const SAMPLE_FRESH_MS: u64 = 700;
/// And not at all from this age on.
const SAMPLE_EXPIRED_MS: u64 = 3_000;
/// Longest time that reading one prompt is believed to take, milliseconds.
const MAX_PREFILL_MS: f64 = 5_000.0;
/// First time for which a worker that failed is avoided, milliseconds.
const INITIAL_BACKOFF_MS: u64 = 400;
/// Longest time for which it is avoided.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Time for which a break that another node told counts, milliseconds. A worker that ends
/// all connections is tried by some node of a zone more often than that; one that ends few
/// soon counts as sound again.
const PEER_CONNECTION_LOSS_MS: u64 = 1_000;
/// Time after a worker that failed need not be avoided any more in which only calls that may
/// run again try it, milliseconds. Where no such calls come, the others must in the end.
const PROBATION_MS: u64 = 2_000;
/// Time for which a worker that had no room is avoided.
const FULL_BACKOFF_MS: u64 = 100;
/// Part of a request by which a worker may seem over its slots: samples fade.
const SLOT_TOLERANCE: f64 = 0.5;

/// A worker.
#[derive(Debug)]
pub struct Worker {
    entry: Arc<WorkerEntry>,
    /// Requests of this node there.
    pub(super) in_flight: u32,
    /// Requests there of the other nodes of this zone, as they tell.
    pub(super) peers_in_flight: u32,
    /// Requests there of the nodes of other zones, as these tell.
    pub(super) zones_in_flight: u32,
    /// Until when places there are promised to other nodes, milliseconds.
    promised_until_ms: Vec<u64>,
    /// When it will have read all prompts that are known to be sent there, on
    /// the node's clock, milliseconds.
    prefill_until_ms: f64,
    /// Prompts that it has read.
    pub(super) prefixes: PrefixMemory,
    /// Requests of others there, when that was learnt.
    other_requests: Option<OtherRequestsSample>,
    failures: u32,
    avoid_until_ms: u64,
    /// What other nodes say of it.
    pub(super) suspicion: Suspicion,
    /// When it last ended a connection on which it had a request of another node.
    peer_connection_lost_ms: Option<u64>,
    full_until_ms: u64,
    /// When it was last asked something whose answer showed that it stays.
    confirmed_ms: Option<u64>,
    /// Until when it is cold, as far as told.
    cold_until_ms: u64,
    /// Its process was gone; whether it has started again since is not known.
    may_have_restarted: bool,
    /// Lets one request go there while it is cold.
    permit: Option<SlowStartPermit>,
}

#[derive(Debug, Clone, Copy)]
struct OtherRequestsSample {
    requests: u32,
    received_ms: u64,
}

impl Worker {
    pub(super) fn new(now_ms: u64, entry: WorkerEntry) -> Self {
        Worker {
            cold_until_ms: now_ms.saturating_add(entry.cold_left_ms),
            entry: Arc::new(entry),
            in_flight: 0,
            peers_in_flight: 0,
            zones_in_flight: 0,
            promised_until_ms: Vec::new(),
            prefill_until_ms: 0.0,
            prefixes: PrefixMemory::default(),
            other_requests: None,
            failures: 0,
            avoid_until_ms: 0,
            suspicion: Suspicion::default(),
            peer_connection_lost_ms: None,
            full_until_ms: 0,
            confirmed_ms: None,
            may_have_restarted: false,
            permit: None,
        }
    }

    /// Its entry in the directory.
    pub fn entry(&self) -> &Arc<WorkerEntry> {
        &self.entry
    }

    /// A worker that was seen leaving never comes back under its identifier.
    pub(super) fn update_entry(&mut self, now_ms: u64, entry: &WorkerEntry) {
        self.extend_cold_period(now_ms, entry.cold_left_ms);
        let is_draining = self.entry.state == WorkerState::Draining;
        if *self.entry != *entry {
            self.entry = Arc::new(entry.clone());
        }
        if is_draining {
            self.mark_draining();
        }
    }

    pub(super) fn mark_draining(&mut self) {
        if self.entry.state != WorkerState::Draining {
            let mut entry = WorkerEntry::clone(&self.entry);
            entry.state = WorkerState::Draining;
            self.entry = Arc::new(entry);
        }
    }

    /// It was asked something at that moment, and its answer showed that it stays.
    pub(super) fn confirm(&mut self, asked_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(asked_ms));
    }

    /// When it was last asked something whose answer showed that it stays.
    pub(super) fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// A prompt was sent there; it is read after those sent before.
    pub(super) fn expect_prefill(&mut self, now_ms: u64, prefill_ms: f64) {
        let prefill_start_ms = self.prefill_until_ms.max(now_ms as f64);
        self.prefill_until_ms = prefill_start_ms + prefill_ms.clamp(0.0, MAX_PREFILL_MS);
    }

    /// Time until it has read what is known to be sent there.
    pub(super) fn remaining_prefill_ms(&self, now_ms: u64) -> f64 {
        (self.prefill_until_ms - now_ms as f64).max(0.0)
    }

    pub(super) fn record_load(&mut self, now_ms: u64, sample: LoadSample) {
        let all = sample.running + sample.waiting;
        self.other_requests = Some(OtherRequestsSample {
            requests: all.saturating_sub(self.known_in_flight()),
            received_ms: now_ms,
        });
    }

    /// It is cold for so long from now on, or longer if that was told before.
    pub(super) fn extend_cold_period(&mut self, now_ms: u64, cold_ms: u64) {
        let until_ms = now_ms.saturating_add(cold_ms);
        self.cold_until_ms = self.cold_until_ms.max(until_ms);
    }

    /// Whether it is cold, or may be since it was gone.
    pub(super) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms || self.may_have_restarted
    }

    /// Its process is gone. Where it is there again, it has started anew.
    pub(super) fn mark_not_listening(&mut self) {
        self.may_have_restarted = true;
    }

    pub(super) fn set_permit(&mut self, permit: SlowStartPermit) {
        self.permit = Some(permit);
    }

    pub(super) fn has_permit(&self, now_ms: u64) -> bool {
        self.permit.is_some_and(|permit| permit.is_valid(now_ms))
    }

    /// The permit for the next request there; it serves one.
    pub(super) fn take_permit(&mut self, now_ms: u64) -> Option<SlowStartPermit> {
        self.permit.take().filter(|permit| permit.is_valid(now_ms))
    }

    /// It answered as it should. If it was gone before, it has started again: it is cold for
    /// `cold_ms` from now on.
    pub(super) fn record_success(&mut self, now_ms: u64, cold_ms: u64) {
        if std::mem::take(&mut self.may_have_restarted) {
            self.extend_cold_period(now_ms, cold_ms);
        }
        self.failures = 0;
        self.avoid_until_ms = 0;
        self.suspicion.clear();
    }

    /// Each failure in a row doubles the time for which it is avoided.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        let backoff_ms = INITIAL_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.avoid_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    pub(super) fn record_peer_connection_loss(&mut self, now_ms: u64) {
        self.peer_connection_lost_ms = Some(now_ms);
    }

    /// Whether a call that runs once may be risked there: neither this node's last request
    /// there failed nor that of another one that told it, for a while.
    pub(super) fn is_proven(&self, now_ms: u64) -> bool {
        let lost_ms = self.peer_connection_lost_ms;
        let lost_by_peer =
            lost_ms.is_some_and(|lost_ms| now_ms < lost_ms + PEER_CONNECTION_LOSS_MS);
        let failed = self.failures > 0 && now_ms < self.avoid_until_ms + PROBATION_MS;
        !failed && !lost_by_peer && !self.suspicion.has_report(now_ms)
    }

    pub(super) fn mark_full(&mut self, now_ms: u64) {
        self.full_until_ms = now_ms + FULL_BACKOFF_MS;
    }

    /// Requests there: those of this node, those that other nodes tell of, places that
    /// are promised, and those of others as far as still believed.
    pub(super) fn occupied(&self, now_ms: u64) -> f64 {
        let known = self.known_in_flight() + self.promised_slots(now_ms);
        f64::from(known) + self.estimated_other_requests(now_ms)
    }

    fn known_in_flight(&self) -> u32 {
        self.in_flight + self.peers_in_flight + self.zones_in_flight
    }

    /// A place there is promised to another node.
    pub(super) fn promise_slot(&mut self, now_ms: u64, until_ms: u64) {
        self.promised_until_ms.retain(|until| *until > now_ms);
        self.promised_until_ms.push(until_ms);
    }

    /// Places there that are promised to other nodes.
    pub(super) fn promised_slots(&self, now_ms: u64) -> u32 {
        let promised = self.promised_until_ms.iter();
        promised.filter(|until| **until > now_ms).count() as u32
    }

    /// Whether one more request would begin at once and leave so many slots free.
    pub(crate) fn has_free_slot(&self, now_ms: u64, spare: f64) -> bool {
        let required = self.occupied(now_ms) + 1.0 + spare;
        !self.is_full(now_ms) && required <= self.slots() + SLOT_TOLERANCE
    }

    /// Requests that would begin at once.
    pub(super) fn free_slots(&self, now_ms: u64) -> usize {
        let free = self.slots() + SLOT_TOLERANCE - self.occupied(now_ms);
        free.max(0.0) as usize
    }

    /// Whether what others do there was learnt a short while ago.
    pub(super) fn is_load_known(&self, now_ms: u64) -> bool {
        self.load_age_ms(now_ms)
            .is_some_and(|age| age <= SAMPLE_FRESH_MS)
    }

    /// Age of the newest load sample, milliseconds.
    pub(super) fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let sample = self.other_requests?;
        Some(now_ms.saturating_sub(sample.received_ms))
    }

    fn estimated_other_requests(&self, now_ms: u64) -> f64 {
        let Some(sample) = self.other_requests else {
            return 0.0;
        };
        let age = now_ms.saturating_sub(sample.received_ms);
        let fade_ms = SAMPLE_EXPIRED_MS - SAMPLE_FRESH_MS;
        let remaining_ms = SAMPLE_EXPIRED_MS.saturating_sub(age).min(fade_ms);
        f64::from(sample.requests) * remaining_ms as f64 / fade_ms as f64
    }

    /// Whether it failed a short while ago.
    pub(super) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Whether it had no room a moment ago.
    pub(super) fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.entry.slots.max(1))
    }
}
