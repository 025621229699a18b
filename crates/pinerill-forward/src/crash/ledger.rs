//! Which requests crash the workers that run them. Pure.
//!
//! A worker that crashes ends all that ran there; the request that caused it is one of
//! them. So one crash under a request proves nothing, and a second one happens by chance.
//! A request is blocked after [`CRASHES_AT_ONE_POINT`] crashes, each of another start of a
//! worker, that came at about the same point of its answer; one that got further in a later
//! run did not cause the earlier ones. Whatever the points, [`CRASHES_ANYWHERE`] are enough.
//! A run to a good end clears all crashes that are known by then.
//!
//! Blocking a sound request costs its caller an answer until an operator clears it or
//! [`CRASH_LIFE_MS`] have passed; one more crash costs all that runs at a worker, some ten
//! calls, and the worker for seconds. Three crashes in a row without a good run happen to
//! less than one sound request in a thousand, also on days on which a worker in five
//! crashes each few seconds (a property test holds that).
//!
//! What it gains: on three nodes and six workers a request that crashes its workers and is sent
//! 40 times runs 4 times; without a ledger 80 times (one run each on real processes).
//!
//! Each node keeps a ledger and tells the others what changes. Reports can be merged in
//! any order and any number of times: the same reports lead to the same verdicts.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{RequestFingerprint, WorkerStart};

/// Crashes at about the same point of a request's answer after which it is blocked.
pub const CRASHES_AT_ONE_POINT: usize = 3;
/// Crashes at any points after which it is blocked: one that crashes workers at random
/// moments gets twice as far and no further.
pub const CRASHES_ANYWHERE: usize = 2 * CRASHES_AT_ONE_POINT;
/// Events by which two runs may differ and still have ended at the same point: a process
/// dies a moment after its cause, and its last events may be lost with its connections.
const SAME_POINT_EVENTS: u64 = 8;
/// Time after its last crash at which a request is forgotten, milliseconds: a caller who
/// repeats it for longer costs three workers each ten minutes.
pub const CRASH_LIFE_MS: u64 = 600_000;
/// Requests remembered at most, some 300 bytes each.
pub const MOST_REQUESTS: usize = 4_096;
/// Crashes remembered of one request at most; more change no verdict.
const MOST_CRASHES: usize = 2 * CRASHES_ANYWHERE;
/// Time for which a change is told again, since a datagram may have been lost,
/// milliseconds. Blocked requests are told for as long as they are blocked.
const TOLD_AGAIN_MS: u64 = 5_000;

/// One crash of a worker under a request, as nodes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The start of a worker that crashed.
    pub worker: WorkerStart,
    /// Number of the last event that arrived before; 0 if none did.
    pub reach: u64,
    /// The request did not cause it: it ran to a good end since, or an operator says so.
    pub is_cleared: bool,
    /// Time since the crash, milliseconds.
    pub age_ms: u64,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    MayRun,
    /// It is known to crash workers.
    Blocked,
}

/// A blocked request, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// Crashes under it that count.
    pub crashes: usize,
    /// Time since the last of them, milliseconds.
    pub last_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    reach: u64,
    is_cleared: bool,
    at_ms: u64,
    changed_ms: u64,
}

#[derive(Debug, Default)]
struct Crashes {
    by_worker: BTreeMap<WorkerStart, Crash>,
}

impl Crashes {
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.by_worker.values().filter(|crash| !crash.is_cleared)
    }

    fn furthest(&self) -> u64 {
        self.counted().map(|crash| crash.reach).max().unwrap_or(0)
    }

    fn verdict(&self) -> Verdict {
        let furthest = self.furthest();
        let at_one_point = self
            .counted()
            .filter(|crash| crash.reach + SAME_POINT_EVENTS >= furthest)
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

    /// What is lost with it, the least first.
    fn weight(&self) -> (usize, u64) {
        (self.counted().count(), self.last_ms())
    }

    /// Makes room for one more: a cleared crash or, if there is none, the oldest one.
    fn make_room(&mut self) {
        if self.by_worker.len() < MOST_CRASHES {
            return;
        }
        let crashes = self.by_worker.iter();
        let least = crashes.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at_ms));
        if let Some(worker) = least.map(|(worker, _)| *worker) {
            self.by_worker.remove(&worker);
        }
    }

    /// Takes in a crash; true if that changes anything.
    fn merge(&mut self, now_ms: u64, report: &CrashReport) -> bool {
        let Some(known) = self.by_worker.get_mut(&report.worker) else {
            self.make_room();
            let crash = Crash {
                reach: report.reach,
                is_cleared: report.is_cleared,
                at_ms: now_ms.saturating_sub(report.age_ms),
                changed_ms: now_ms,
            };
            self.by_worker.insert(report.worker, crash);
            return true;
        };
        let changes = report.reach > known.reach || (report.is_cleared && !known.is_cleared);
        if changes {
            known.reach = known.reach.max(report.reach);
            known.is_cleared |= report.is_cleared;
            known.changed_ms = now_ms;
        }
        changes
    }
}

/// All requests under which workers crashed a while ago.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestFingerprint, Crashes>,
    /// Where telling goes on.
    told_up_to: usize,
}

impl CrashLedger {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests of which something is known.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Takes in what this or another node saw; true if that changes anything.
    pub fn take(&mut self, now_ms: u64, report: &CrashReport) -> bool {
        if report.age_ms >= CRASH_LIFE_MS {
            return false;
        }
        if !self.requests.contains_key(&report.request) {
            self.make_room();
        }
        let crashes = self.requests.entry(report.request).or_default();
        crashes.merge(now_ms, report)
    }

    /// Whether a request may run.
    pub fn verdict(&self, request: RequestFingerprint) -> Verdict {
        let crashes = self.requests.get(&request);
        crashes.map_or(Verdict::MayRun, Crashes::verdict)
    }

    /// A run got up to an event, so that crashes well before it had another cause. Returns
    /// what the others are to be told.
    pub fn outlived(
        &mut self,
        now_ms: u64,
        request: RequestFingerprint,
        reach: u64,
    ) -> Vec<CrashReport> {
        self.clear_if(now_ms, request, |crash| {
            crash.reach + SAME_POINT_EVENTS < reach
        })
    }

    /// A request ran to a good end, or an operator says that it is sound. Returns what the
    /// others are to be told.
    pub fn clear(&mut self, now_ms: u64, request: RequestFingerprint) -> Vec<CrashReport> {
        self.clear_if(now_ms, request, |_| true)
    }

    fn clear_if(
        &mut self,
        now_ms: u64,
        request: RequestFingerprint,
        is_refuted: impl Fn(&Crash) -> bool,
    ) -> Vec<CrashReport> {
        let Some(crashes) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let mut cleared = Vec::new();
        for (worker, crash) in &mut crashes.by_worker {
            if !crash.is_cleared && is_refuted(crash) {
                crash.is_cleared = true;
                crash.changed_ms = now_ms;
                cleared.push(report(now_ms, request, *worker, crash));
            }
        }
        cleared
    }

    /// Up to `most` reports that the others may lack: what changed a short while ago, and
    /// what blocks requests. Goes on where it left off the last time.
    pub fn to_tell(&mut self, now_ms: u64, most: usize) -> Vec<CrashReport> {
        let mut all = Vec::new();
        for (request, crashes) in &self.requests {
            let blocks = crashes.verdict() == Verdict::Blocked;
            let told = crashes.by_worker.iter().filter(|(_, crash)| {
                let is_news = now_ms <= crash.changed_ms + TOLD_AGAIN_MS;
                is_news || (blocks && !crash.is_cleared)
            });
            all.extend(told.map(|(worker, crash)| report(now_ms, *request, *worker, crash)));
        }
        all.sort_unstable_by_key(|report| (report.request, report.worker));
        if all.is_empty() {
            return all;
        }
        let begin = self.told_up_to % all.len();
        self.told_up_to = begin + most;
        all.rotate_left(begin);
        all.truncate(most);
        all
    }

    /// Forgets requests whose last crash is long ago.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.requests
            .retain(|_, crashes| now_ms < crashes.last_ms() + CRASH_LIFE_MS);
    }

    /// All blocked requests.
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

    fn make_room(&mut self) {
        if self.requests.len() < MOST_REQUESTS {
            return;
        }
        let least = self.requests.iter().min_by_key(|(_, one)| one.weight());
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}

fn report(
    now_ms: u64,
    request: RequestFingerprint,
    worker: WorkerStart,
    crash: &Crash,
) -> CrashReport {
    CrashReport {
        request,
        worker,
        reach: crash.reach,
        is_cleared: crash.is_cleared,
        age_ms: now_ms.saturating_sub(crash.at_ms),
    }
}
