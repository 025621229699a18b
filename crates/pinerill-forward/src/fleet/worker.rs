//! State of one worker as this node knows it.

use std::sync::Arc;

use pinerill_calls::directory::{WorkerEntry, WorkerState};
use pinerill_calls::protocol::LoadSample;

use super::pace::USUAL_PACE;
use super::prefixes::PrefixMemory;
use super::slow_start::SlowStartPermit;
use super::software::WorkerSoftware;
use super::suspicion::Suspicion;

/// Age in milliseconds up to which a load sample counts in full.
const SAMPLE_FRESH_MS: u64 = 700;
/// Age in milliseconds from which a load sample no longer counts.
const SAMPLE_EXPIRED_MS: u64 = 3_000;
/// Upper bound in milliseconds on the estimated prefill time of one prompt.
const MAX_PREFILL_MS: f64 = 5_000.0;
/// Time in milliseconds for which a worker is avoided after its first failure.
const INITIAL_BACKOFF_MS: u64 = 400;
/// Upper bound in milliseconds on the time for which a failing worker is avoided.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Time in milliseconds for which a connection loss reported by another node counts. Within that
/// time some node of the zone tries again a worker that ends all its connections, while a worker
/// that ends few of them soon counts as proven again.
const PEER_CONNECTION_LOSS_MS: u64 = 1_000;
/// Time in milliseconds, after the backoff of a failed worker has ended, in which only calls that
/// may be retried are sent to it. If no such calls arrive, calls that run once must eventually be
/// sent to it again.
const PROBATION_MS: u64 = 2_000;
/// Time in milliseconds for which a worker that had no free slot is skipped.
const FULL_BACKOFF_MS: u64 = 100;
/// Fraction of a request by which the estimated occupancy may exceed the slots, because load
/// samples fade gradually.
const SLOT_TOLERANCE: f64 = 0.5;

/// State of one worker: its directory entry, estimated load, failures and confirmation.
#[derive(Debug)]
pub struct Worker {
    entry: Arc<WorkerEntry>,
    software: WorkerSoftware,
    /// This node's requests in flight at the worker.
    pub(super) in_flight: u32,
    /// Requests in flight there of the other nodes of this zone, from their reports.
    pub(super) peers_in_flight: u32,
    /// Requests in flight there of the nodes of other zones, from their reports.
    pub(super) zones_in_flight: u32,
    /// When each slot promised to another node is released, in milliseconds.
    promised_until_ms: Vec<u64>,
    /// When the worker is expected to finish the prefill of all prompts known to be sent to it, in
    /// milliseconds on the node's clock.
    prefill_until_ms: f64,
    /// Prompt prefixes that the worker has processed.
    pub(super) prefixes: PrefixMemory,
    /// Requests in flight there that no node has reported, from the last load sample. `None` before
    /// the first sample.
    other_requests: Option<OtherRequestsSample>,
    failures: u32,
    avoid_until_ms: u64,
    /// Reports of other nodes that the worker did not answer them.
    pub(super) suspicion: Suspicion,
    /// When the worker last ended a connection that carried another node's request.
    peer_connection_lost_ms: Option<u64>,
    full_until_ms: u64,
    /// Send time of the latest request whose answer confirmed that the worker stays.
    confirmed_ms: Option<u64>,
    /// When the worker's known cold period ends, in milliseconds.
    cold_until_ms: u64,
    /// Whether the worker stopped listening and has not answered since, so that it may have
    /// restarted.
    may_have_restarted: bool,
    /// Permit for one request while the worker is cold.
    permit: Option<SlowStartPermit>,
    /// Time that work takes there, relative to the median of its service in this zone; 1 if unknown.
    pub(super) pace: f64,
    /// Pace that counts when a call is placed: the known one, otherwise that of the fastest known
    /// worker of the service.
    pub(super) placing_pace: f64,
}

#[derive(Debug, Clone, Copy)]
struct OtherRequestsSample {
    requests: u32,
    received_ms: u64,
    work_percent: Option<u32>,
}

impl Worker {
    pub(super) fn new(now_ms: u64, entry: WorkerEntry) -> Self {
        Worker {
            cold_until_ms: now_ms.saturating_add(entry.cold_left_ms),
            software: WorkerSoftware::of(&entry),
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
            pace: USUAL_PACE,
            placing_pace: USUAL_PACE,
        }
    }

    /// Returns the worker's latest directory entry.
    pub fn entry(&self) -> &Arc<WorkerEntry> {
        &self.entry
    }

    /// Returns the software that the worker runs.
    pub fn software(&self) -> WorkerSoftware {
        self.software
    }

    /// Replaces the directory entry. A worker that was seen draining stays draining under the same
    /// identifier, and keeps its software version if the new entry does not state one.
    pub(super) fn update_entry(&mut self, now_ms: u64, entry: &WorkerEntry) {
        self.extend_cold_period(now_ms, entry.cold_left_ms);
        let is_draining = self.entry.state == WorkerState::Draining;
        if *self.entry != *entry {
            let mut entry = entry.clone();
            entry.version = entry.version.or_else(|| self.entry.version.clone());
            self.software = WorkerSoftware::of(&entry);
            self.entry = Arc::new(entry);
        }
        if is_draining {
            self.mark_draining();
        }
    }

    /// Records the software version of the worker if it is not known yet.
    pub(super) fn learn_version(&mut self, version: &str) {
        if self.entry.version.is_none() {
            let mut entry = WorkerEntry::clone(&self.entry);
            entry.version = Some(version.to_owned());
            self.software = WorkerSoftware::of(&entry);
            self.entry = Arc::new(entry);
        }
    }

    pub(super) fn mark_draining(&mut self) {
        if self.entry.state != WorkerState::Draining {
            let mut entry = WorkerEntry::clone(&self.entry);
            entry.state = WorkerState::Draining;
            self.entry = Arc::new(entry);
        }
    }

    /// Records that the worker, when asked at `asked_ms`, confirmed that it stays.
    pub(super) fn confirm(&mut self, asked_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(asked_ms));
    }

    /// Returns the send time of the latest request whose answer confirmed that the worker stays, or
    /// `None` if there was no such answer.
    pub(super) fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// Records that a prompt was sent to the worker. Prefills run one after the other.
    pub(super) fn expect_prefill(&mut self, now_ms: u64, prefill_ms: f64) {
        let prefill_start_ms = self.prefill_until_ms.max(now_ms as f64);
        self.prefill_until_ms = prefill_start_ms + prefill_ms.clamp(0.0, MAX_PREFILL_MS);
    }

    /// Returns the estimated time in milliseconds until the worker has finished all known prefills.
    pub(super) fn remaining_prefill_ms(&self, now_ms: u64) -> f64 {
        (self.prefill_until_ms - now_ms as f64).max(0.0)
    }

    pub(super) fn record_load(&mut self, now_ms: u64, sample: LoadSample) {
        let all = sample.running + sample.waiting;
        self.other_requests = Some(OtherRequestsSample {
            requests: all.saturating_sub(self.known_in_flight()),
            received_ms: now_ms,
            work_percent: sample.work_percent,
        });
    }

    /// Returns the time that work takes at this moment in percent of the usual one, as the last load
    /// sample tells it; `None` if that is `max_age_ms` old or older.
    pub(super) fn work_percent(&self, now_ms: u64, max_age_ms: u64) -> Option<u32> {
        let sample = self.other_requests?;
        let is_fresh = now_ms.saturating_sub(sample.received_ms) < max_age_ms;
        sample.work_percent.filter(|_| is_fresh)
    }

    /// Extends the cold period to at least `cold_ms` from now; never shortens it.
    pub(super) fn extend_cold_period(&mut self, now_ms: u64, cold_ms: u64) {
        let until_ms = now_ms.saturating_add(cold_ms);
        self.cold_until_ms = self.cold_until_ms.max(until_ms);
    }

    /// Returns whether the worker is cold, or may have restarted and is therefore treated as cold.
    pub(super) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms || self.may_have_restarted
    }

    /// Records that the worker's process has ended. If the worker answers again, it has restarted.
    pub(super) fn mark_not_listening(&mut self) {
        self.may_have_restarted = true;
    }

    pub(super) fn set_permit(&mut self, permit: SlowStartPermit) {
        self.permit = Some(permit);
    }

    pub(super) fn has_permit(&self, now_ms: u64) -> bool {
        self.permit.is_some_and(|permit| permit.is_valid(now_ms))
    }

    /// Takes the permit for the next request, if it is still valid. A permit serves one request.
    pub(super) fn take_permit(&mut self, now_ms: u64) -> Option<SlowStartPermit> {
        self.permit.take().filter(|permit| permit.is_valid(now_ms))
    }

    /// Records a successful answer and clears earlier failures. If the worker had stopped listening
    /// before, it has restarted and is cold for `cold_ms` from now.
    pub(super) fn record_success(&mut self, now_ms: u64, cold_ms: u64) {
        if std::mem::take(&mut self.may_have_restarted) {
            self.extend_cold_period(now_ms, cold_ms);
        }
        self.failures = 0;
        self.avoid_until_ms = 0;
        self.suspicion.clear();
    }

    /// Records a failure. Each consecutive failure doubles the time for which the worker is
    /// avoided.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        let backoff_ms = INITIAL_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.avoid_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    pub(super) fn record_peer_connection_loss(&mut self, now_ms: u64) {
        self.peer_connection_lost_ms = Some(now_ms);
    }

    /// Returns whether a call that runs once may be sent to the worker: its last request from this
    /// node did not fail, and no other node has reported a failure, within the respective periods.
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

    /// Returns the estimated number of requests at the worker: those of this node, those that other
    /// nodes report, promised slots, and unreported requests weighted by the age of the load
    /// sample.
    pub(super) fn occupied(&self, now_ms: u64) -> f64 {
        let known = self.known_in_flight() + self.promised_slots(now_ms);
        f64::from(known) + self.estimated_other_requests(now_ms)
    }

    fn known_in_flight(&self) -> u32 {
        self.in_flight + self.peers_in_flight + self.zones_in_flight
    }

    /// Promises a slot to another node until `until_ms`.
    pub(super) fn promise_slot(&mut self, now_ms: u64, until_ms: u64) {
        self.promised_until_ms.retain(|until| *until > now_ms);
        self.promised_until_ms.push(until_ms);
    }

    /// Returns the number of slots currently promised to other nodes.
    pub(super) fn promised_slots(&self, now_ms: u64) -> u32 {
        let promised = self.promised_until_ms.iter();
        promised.filter(|until| **until > now_ms).count() as u32
    }

    /// Returns whether one more request would start at once and leave `spare` slots free.
    pub(crate) fn has_free_slot(&self, now_ms: u64, spare: f64) -> bool {
        let required = self.occupied(now_ms) + 1.0 + spare;
        !self.is_full(now_ms) && required <= self.slots() + SLOT_TOLERANCE
    }

    /// Returns how many more requests would start at once.
    pub(super) fn free_slots(&self, now_ms: u64) -> usize {
        let free = self.slots() + SLOT_TOLERANCE - self.occupied(now_ms);
        free.max(0.0) as usize
    }

    /// Returns whether the last load sample is recent enough to count in full.
    pub(super) fn is_load_known(&self, now_ms: u64) -> bool {
        self.load_age_ms(now_ms)
            .is_some_and(|age| age <= SAMPLE_FRESH_MS)
    }

    /// Returns the age of the last load sample in milliseconds, or `None` if there is no sample.
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

    /// Returns whether the worker is avoided after a failure.
    pub(super) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Returns whether the worker recently reported that it has no free slot.
    pub(super) fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.entry.slots.max(1))
    }
}
