//! Determines which requests crash the workers that run them. Pure: callers pass in the time.
//!
//! A crash of a worker ends all requests that ran there, of which one caused it. So one crash under
//! a request proves nothing, and a second one happens by chance. A request is blocked after
//! [`CRASHES_AT_ONE_POINT`] crashes, each of another incarnation of a worker, at about the same
//! point of its answer; a request that got further in a later run did not cause the earlier
//! crashes. [`CRASHES_ANYWHERE`] crashes block it wherever in the answer they happened. A completed
//! run clears all crashes that are known by then.
//!
//! Blocking a harmless request denies its caller an answer until a trial run (`trials`) clears it. Each further crash ends all requests at a worker, some ten calls,
//! and costs the worker for seconds. Fewer than one harmless request in a thousand gets three
//! crashes in a row without a completed run, even while one worker in five crashes every few
//! seconds (a test checks this).
//!
//! With three nodes and six workers, a request that crashes its workers and is sent 40 times runs
//! 4 times; without a ledger it runs 80 times (one run each on real processes).
//!
//! Each node keeps a ledger and broadcasts its changes. Reports can be merged in any order and any
//! number of times: the same reports lead to the same verdicts.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::rotation::Rotation;
use super::{RequestFingerprint, WorkerIncarnation};

/// Number of crashes at about the same point of a request's answer that block it.
pub const CRASHES_AT_ONE_POINT: usize = 3;
/// Number of crashes at any points of a request's answer that block it. It limits a request that
/// crashes workers at random moments to twice as many crashes.
pub const CRASHES_ANYWHERE: usize = 2 * CRASHES_AT_ONE_POINT;
/// Number of events by which the ends of two runs may differ and still count as the same point: a
/// process ends some time after the cause, and its last events may be lost with its connections.
const SAME_POINT_EVENTS: u64 = 8;
/// Time in milliseconds after its last crash at which a request is removed. A caller who keeps
/// repeating a crashing request therefore crashes three workers every ten minutes.
pub const CRASH_LIFE_MS: u64 = 600_000;
/// Limit on the requests in the ledger, some 300 bytes each.
pub const MAX_REQUESTS: usize = 4_096;
/// Limit on the crashes kept per request; more change no verdict.
const MAX_CRASHES_PER_REQUEST: usize = 2 * CRASHES_ANYWHERE;
/// Time in milliseconds for which a change is sent again, since a datagram may have been lost.
/// Crashes of blocked requests are sent for as long as the requests are blocked.
const RESEND_MS: u64 = 5_000;

/// One crash of a worker under a request, as it is sent between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request that was running.
    pub request: RequestFingerprint,
    /// Incarnation of the worker that crashed.
    pub worker: WorkerIncarnation,
    /// Number of the last event received before the crash; 0 if none was.
    #[serde(rename = "reach")]
    pub last_event: u64,
    /// Whether the request is known not to have caused the crash, since a later run got further or
    /// completed, or an operator cleared it.
    pub is_cleared: bool,
    /// Time since the crash, milliseconds.
    pub age_ms: u64,
}

/// Whether a request may be sent to workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The known crashes are too few to block it.
    MayRun,
    /// The request is known to crash workers.
    Blocked,
}

/// A blocked request, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedRequest {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// Number of crashes under the request that are not cleared.
    pub crashes: usize,
    /// Time since the last crash under the request, milliseconds.
    pub last_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    last_event: u64,
    is_cleared: bool,
    at_ms: u64,
    changed_ms: u64,
}

#[derive(Debug, Default)]
struct Crashes {
    by_worker: BTreeMap<WorkerIncarnation, Crash>,
}

impl Crashes {
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.by_worker.values().filter(|crash| !crash.is_cleared)
    }

    fn furthest_event(&self) -> u64 {
        self.counted()
            .map(|crash| crash.last_event)
            .max()
            .unwrap_or(0)
    }

    fn verdict(&self) -> Verdict {
        let furthest_event = self.furthest_event();
        let at_one_point = self
            .counted()
            .filter(|crash| crash.last_event + SAME_POINT_EVENTS >= furthest_event)
            .count();
        let anywhere = self.counted().count();
        match at_one_point >= CRASHES_AT_ONE_POINT || anywhere >= CRASHES_ANYWHERE {
            true => Verdict::Blocked,
            false => Verdict::MayRun,
        }
    }

    fn last_ms(&self) -> u64 {
        let times = self.by_worker.values().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    fn last_counted_ms(&self) -> u64 {
        let times = self.counted().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    /// Sort key for eviction: requests with fewer counted crashes are evicted first, and among
    /// those the one whose last crash is the oldest.
    fn eviction_key(&self) -> (usize, u64) {
        (self.counted().count(), self.last_ms())
    }

    /// Removes one crash if the limit is reached: the oldest cleared crash or, if none is cleared,
    /// the oldest one.
    fn evict_if_full(&mut self) {
        if self.by_worker.len() < MAX_CRASHES_PER_REQUEST {
            return;
        }
        let crashes = self.by_worker.iter();
        let least = crashes.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at_ms));
        if let Some(worker) = least.map(|(worker, _)| *worker) {
            self.by_worker.remove(&worker);
        }
    }

    /// Merges a crash report. Returns whether it changed anything.
    fn merge(&mut self, now_ms: u64, report: &CrashReport) -> bool {
        let Some(known) = self.by_worker.get_mut(&report.worker) else {
            self.evict_if_full();
            let crash = Crash {
                last_event: report.last_event,
                is_cleared: report.is_cleared,
                at_ms: now_ms.saturating_sub(report.age_ms),
                changed_ms: now_ms,
            };
            self.by_worker.insert(report.worker, crash);
            return true;
        };
        let changes =
            report.last_event > known.last_event || (report.is_cleared && !known.is_cleared);
        if changes {
            known.last_event = known.last_event.max(report.last_event);
            known.is_cleared |= report.is_cleared;
            known.changed_ms = now_ms;
        } else if known.is_cleared && !report.is_cleared && now_ms > known.changed_ms + RESEND_MS {
            // The sender missed the clearing, so that it is sent again.
            known.changed_ms = now_ms;
        }
        changes
    }
}

/// Requests under which workers crashed within the last [`CRASH_LIFE_MS`], with the known crashes.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestFingerprint, Crashes>,
    resent: Rotation,
}

impl CrashLedger {
    /// Returns whether the ledger contains no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests in the ledger.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Merges a report of this or another node. Returns whether it changed anything; reports older
    /// than [`CRASH_LIFE_MS`] are ignored.
    pub fn merge(&mut self, now_ms: u64, report: &CrashReport) -> bool {
        if report.age_ms >= CRASH_LIFE_MS {
            return false;
        }
        if !self.requests.contains_key(&report.request) {
            self.evict_if_full();
        }
        let crashes = self.requests.entry(report.request).or_default();
        crashes.merge(now_ms, report)
    }

    /// Returns whether a request may run.
    pub fn verdict(&self, request: RequestFingerprint) -> Verdict {
        let crashes = self.requests.get(&request);
        crashes.map_or(Verdict::MayRun, Crashes::verdict)
    }

    /// Returns when the last of the crashes that block a request happened, in milliseconds; `None` if
    /// it may run.
    pub fn last_blocking_crash_ms(&self, request: RequestFingerprint) -> Option<u64> {
        let crashes = self.requests.get(&request)?;
        (crashes.verdict() == Verdict::Blocked).then(|| crashes.last_counted_ms())
    }

    /// Clears the crashes under a request that happened well before an event which a run of it has
    /// reached, since they had another cause. Returns the reports to broadcast.
    pub fn clear_before(
        &mut self,
        now_ms: u64,
        request: RequestFingerprint,
        last_event: u64,
    ) -> Vec<CrashReport> {
        self.clear_if(now_ms, request, |crash| {
            crash.last_event + SAME_POINT_EVENTS < last_event
        })
    }

    /// Clears all crashes under a request that completed or that an operator cleared. Returns the
    /// reports to broadcast.
    pub fn clear(&mut self, now_ms: u64, request: RequestFingerprint) -> Vec<CrashReport> {
        self.clear_if(now_ms, request, |_| true)
    }

    fn clear_if(
        &mut self,
        now_ms: u64,
        request: RequestFingerprint,
        is_disproved: impl Fn(&Crash) -> bool,
    ) -> Vec<CrashReport> {
        let Some(crashes) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let mut cleared = Vec::new();
        for (worker, crash) in &mut crashes.by_worker {
            if !crash.is_cleared && is_disproved(crash) {
                crash.is_cleared = true;
                crash.changed_ms = now_ms;
                cleared.push(report(now_ms, request, *worker, crash));
            }
        }
        cleared
    }

    /// Returns up to `limit` reports that other nodes may lack: recent changes, and the crashes
    /// that block requests. Successive calls rotate through all such reports.
    pub fn reports_to_resend(&mut self, now_ms: u64, limit: usize) -> Vec<CrashReport> {
        let mut all = Vec::new();
        for (request, crashes) in &self.requests {
            let blocks = crashes.verdict() == Verdict::Blocked;
            let due = crashes.by_worker.iter().filter(|(_, crash)| {
                let is_recent = now_ms <= crash.changed_ms + RESEND_MS;
                is_recent || (blocks && !crash.is_cleared)
            });
            all.extend(due.map(|(worker, crash)| report(now_ms, *request, *worker, crash)));
        }
        all.sort_unstable_by_key(|report| (report.request, report.worker));
        self.resent.take(all, limit)
    }

    /// Removes requests whose last crash is at least [`CRASH_LIFE_MS`] ago.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.requests
            .retain(|_, crashes| now_ms < crashes.last_ms() + CRASH_LIFE_MS);
    }

    /// Returns all blocked requests, ordered by fingerprint.
    pub fn blocked(&self, now_ms: u64) -> Vec<BlockedRequest> {
        let blocked = self
            .requests
            .iter()
            .filter(|(_, crashes)| crashes.verdict() == Verdict::Blocked);
        let mut listed: Vec<BlockedRequest> = blocked
            .map(|(request, crashes)| BlockedRequest {
                request: *request,
                crashes: crashes.counted().count(),
                last_ms: now_ms.saturating_sub(crashes.last_ms()),
            })
            .collect();
        listed.sort_unstable_by_key(|one| one.request);
        listed
    }

    fn evict_if_full(&mut self) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let least = self
            .requests
            .iter()
            .min_by_key(|(_, one)| one.eviction_key());
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}

fn report(
    now_ms: u64,
    request: RequestFingerprint,
    worker: WorkerIncarnation,
    crash: &Crash,
) -> CrashReport {
    CrashReport {
        request,
        worker,
        last_event: crash.last_event,
        is_cleared: crash.is_cleared,
        age_ms: now_ms.saturating_sub(crash.at_ms),
    }
}
