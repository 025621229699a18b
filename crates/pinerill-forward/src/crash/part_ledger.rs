//! Determines which parts of prompts crash the workers that begin an answer on them. Pure: callers
//! pass in the time.
//!
//! Requests that share such a part need not be alike otherwise, so each of them has its own free
//! crashes in the ledger of requests. A crash of a worker counts for all parts of all prompts that
//! ran there. What tells the cause from the parts beside it is that no run with it ever gets past
//! the beginning of its answer: a completed run, or one that has been writing for a while, clears
//! all crashes under its parts that are known by then. A part is blocked after
//! [`CRASHES_UNDER_PART`] crashes of different incarnations without such a run in between.
//!
//! Blocking a harmless part that most prompts hold, such as a system prompt, would be worse than
//! the crashes. Four rules bound that. A blocked part makes trial runs (`trials`). Workers that end at the same moment count as one crash, as
//! they do when a rack loses power. A part with a sound run in the last minute needs
//! [`CRASHES_UNDER_PROVEN_PART`] crashes, and its block ends [`PROVEN_BLOCK_MS`] after the last one.
//! And runs that were under way when a part was blocked still clear it.
//!
//! Two parts that always come together can't be told apart, and both are blocked.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::ledger::Verdict;
use super::rotation::Rotation;
use super::{PartKey, WorkerIncarnation};

/// Number of crashes under a part that block it.
pub const CRASHES_UNDER_PART: usize = 4;
/// Number of crashes that block a part with a sound run in the last [`PROVEN_MS`].
pub const CRASHES_UNDER_PROVEN_PART: usize = 10;
/// Time in milliseconds for which a sound run proves a part.
pub const PROVEN_MS: u64 = 60_000;
/// Time in milliseconds after the last crash at which the block of a proven part ends.
pub const PROVEN_BLOCK_MS: u64 = 3_000;
/// Time in milliseconds within which crashes count as one. Nodes see the crashes of workers that end
/// at the same moment some tens of milliseconds apart.
const SAME_MOMENT_MS: u64 = 60;
/// Time in milliseconds after its last crash at which a part is removed.
pub const PART_CRASH_LIFE_MS: u64 = 600_000;
/// Limit on the parts with crashes, some 500 bytes each.
pub const MAX_PARTS: usize = 4_096;
/// Limit on the parts that are remembered as proven, some 50 bytes each. Beyond it, all are
/// forgotten; frequent ones are soon proven again.
const MAX_PROVEN_PARTS: usize = 16_384;
/// Limit on the crashes kept per part; more change no verdict.
const MAX_CRASHES_PER_PART: usize = 32;
/// Time in milliseconds for which a change is sent again, since a datagram may have been lost.
/// Crashes under blocked parts are sent for as long as the parts are blocked.
const RESEND_MS: u64 = 5_000;

/// One crash of a worker under a part, as it is sent between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// Part that a prompt at the worker held.
    pub part: PartKey,
    /// Incarnation of the worker that crashed.
    pub worker: WorkerIncarnation,
    /// Whether the part is known not to have caused the crash.
    pub is_cleared: bool,
    /// Time since the crash, milliseconds.
    pub age_ms: u64,
}

/// A blocked part, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedPart {
    /// Key of the part.
    pub part: PartKey,
    /// Number of crashes under the part that are not cleared.
    pub crashes: usize,
    /// Time since the last crash under the part, milliseconds.
    pub last_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    is_cleared: bool,
    at_ms: u64,
    changed_ms: u64,
}

#[derive(Debug, Default)]
struct Crashes {
    by_worker: BTreeMap<WorkerIncarnation, Crash>,
}

impl Crashes {
    /// Returns the number of crashes that are not cleared, counting those at the same moment once.
    fn counted(&self) -> usize {
        let uncleared = self.by_worker.values().filter(|crash| !crash.is_cleared);
        let mut times: Vec<u64> = uncleared.map(|crash| crash.at_ms).collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut began_ms = None;
        for at_ms in times {
            if began_ms.is_none_or(|began_ms| at_ms >= began_ms + SAME_MOMENT_MS) {
                moments += 1;
                began_ms = Some(at_ms);
            }
        }
        moments
    }

    fn last_ms(&self) -> u64 {
        let times = self.by_worker.values().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    fn last_uncleared_ms(&self) -> u64 {
        let uncleared = self.by_worker.values().filter(|crash| !crash.is_cleared);
        uncleared.map(|crash| crash.at_ms).max().unwrap_or(0)
    }

    fn evict_if_full(&mut self) {
        if self.by_worker.len() < MAX_CRASHES_PER_PART {
            return;
        }
        let crashes = self.by_worker.iter();
        let least = crashes.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at_ms));
        if let Some(worker) = least.map(|(worker, _)| *worker) {
            self.by_worker.remove(&worker);
        }
    }

    /// Merges a crash report. `proven_ms` is when a run was last sound, which clears earlier crashes.
    /// Returns whether the report changed anything.
    fn merge(&mut self, now_ms: u64, report: &PartCrashReport, proven_ms: Option<u64>) -> bool {
        let Some(known) = self.by_worker.get_mut(&report.worker) else {
            self.evict_if_full();
            let at_ms = now_ms.saturating_sub(report.age_ms);
            let crash = Crash {
                is_cleared: report.is_cleared
                    || proven_ms.is_some_and(|proven_ms| at_ms < proven_ms),
                at_ms,
                changed_ms: now_ms,
            };
            self.by_worker.insert(report.worker, crash);
            return true;
        };
        let changes = report.is_cleared && !known.is_cleared;
        if changes {
            known.is_cleared = true;
            known.changed_ms = now_ms;
        } else if known.is_cleared && !report.is_cleared && now_ms > known.changed_ms + RESEND_MS {
            // The sender missed the clearing, so that it is sent again.
            known.changed_ms = now_ms;
        }
        changes
    }
}

/// Parts under which workers crashed within the last [`PART_CRASH_LIFE_MS`], and parts that are
/// known to be sound.
#[derive(Debug, Default)]
pub struct PartLedger {
    parts: HashMap<PartKey, Crashes>,
    /// When a run with a part was last known to be sound, in milliseconds.
    proven_ms: HashMap<PartKey, u64>,
    resent: Rotation,
    resent_blocking: Rotation,
}

impl PartLedger {
    /// Returns whether no part has a crash.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of parts with crashes.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Merges a report of this or another node. Returns whether it changed anything; reports older
    /// than [`PART_CRASH_LIFE_MS`] are ignored.
    pub fn merge(&mut self, now_ms: u64, report: &PartCrashReport) -> bool {
        if report.age_ms >= PART_CRASH_LIFE_MS {
            return false;
        }
        if !self.parts.contains_key(&report.part) {
            self.evict_if_full();
        }
        let proven_ms = self.proven_ms.get(&report.part).copied();
        let crashes = self.parts.entry(report.part).or_default();
        crashes.merge(now_ms, report, proven_ms)
    }

    /// Returns whether requests with a part may run.
    pub fn verdict(&self, now_ms: u64, part: PartKey) -> Verdict {
        match self.last_blocking_crash_ms(now_ms, part) {
            Some(_) => Verdict::Blocked,
            None => Verdict::MayRun,
        }
    }

    /// Returns when the last of the crashes that block a part happened, in milliseconds; `None` if
    /// requests with it may run.
    pub fn last_blocking_crash_ms(&self, now_ms: u64, part: PartKey) -> Option<u64> {
        let crashes = self.parts.get(&part)?;
        let (counted, last_ms) = (crashes.counted(), crashes.last_ms());
        let is_blocked = match self.is_proven(last_ms, part) {
            true => counted >= CRASHES_UNDER_PROVEN_PART && now_ms < last_ms + PROVEN_BLOCK_MS,
            false => counted >= CRASHES_UNDER_PART,
        };
        is_blocked.then(|| crashes.last_uncleared_ms())
    }

    /// Records that a run with a part got past the beginning of its answer, and clears the crashes
    /// under it. Returns the reports to broadcast.
    pub fn record_sound(&mut self, now_ms: u64, part: PartKey) -> Vec<PartCrashReport> {
        if self.proven_ms.len() >= MAX_PROVEN_PARTS && !self.proven_ms.contains_key(&part) {
            self.proven_ms.clear();
        }
        self.proven_ms.insert(part, now_ms);
        self.clear(now_ms, part)
    }

    /// Clears all crashes under a part. Returns the reports to broadcast.
    pub fn clear(&mut self, now_ms: u64, part: PartKey) -> Vec<PartCrashReport> {
        let Some(crashes) = self.parts.get_mut(&part) else {
            return Vec::new();
        };
        let mut cleared = Vec::new();
        for (worker, crash) in &mut crashes.by_worker {
            if !crash.is_cleared {
                crash.is_cleared = true;
                crash.changed_ms = now_ms;
                cleared.push(report(now_ms, part, *worker, crash));
            }
        }
        cleared
    }

    /// Returns up to `limit` reports that other nodes may lack: half of them crashes that block
    /// parts, the others recent changes. Successive calls rotate through all such reports.
    pub fn reports_to_resend(&mut self, now_ms: u64, limit: usize) -> Vec<PartCrashReport> {
        let (mut blocking, mut recent) = (Vec::new(), Vec::new());
        for (part, crashes) in &self.parts {
            let blocks = self.verdict(now_ms, *part) == Verdict::Blocked;
            for (worker, crash) in &crashes.by_worker {
                let report = report(now_ms, *part, *worker, crash);
                if blocks && !crash.is_cleared {
                    blocking.push(report);
                } else if now_ms <= crash.changed_ms + RESEND_MS {
                    recent.push(report);
                }
            }
        }
        for reports in [&mut blocking, &mut recent] {
            reports.sort_unstable_by_key(|report| (report.part, report.worker));
        }
        let mut resent = self.resent_blocking.take(blocking, limit / 2);
        let rest = limit - resent.len();
        resent.extend(self.resent.take(recent, rest));
        resent
    }

    /// Removes parts whose last crash is at least [`PART_CRASH_LIFE_MS`] ago, and proofs that no
    /// longer count.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.parts
            .retain(|_, crashes| now_ms < crashes.last_ms() + PART_CRASH_LIFE_MS);
        let parts = &self.parts;
        self.proven_ms.retain(|part, at_ms| {
            let proves_later_crashes = now_ms < *at_ms + PROVEN_MS;
            proves_later_crashes || parts.contains_key(part)
        });
    }

    /// Returns all blocked parts, ordered by key.
    pub fn blocked(&self, now_ms: u64) -> Vec<BlockedPart> {
        let parts = self.parts.iter();
        let blocked = parts.filter(|(part, _)| self.verdict(now_ms, **part) == Verdict::Blocked);
        let mut listed: Vec<BlockedPart> = blocked
            .map(|(part, crashes)| BlockedPart {
                part: *part,
                crashes: crashes.counted(),
                last_ms: now_ms.saturating_sub(crashes.last_ms()),
            })
            .collect();
        listed.sort_unstable_by_key(|one| one.part);
        listed
    }

    /// Returns whether a run with the part was sound within [`PROVEN_MS`] before `at_ms`, or later.
    fn is_proven(&self, at_ms: u64, part: PartKey) -> bool {
        let proven_ms = self.proven_ms.get(&part);
        proven_ms.is_some_and(|proven_ms| at_ms < proven_ms + PROVEN_MS)
    }

    fn evict_if_full(&mut self) {
        if self.parts.len() < MAX_PARTS {
            return;
        }
        let parts = self.parts.iter();
        let least = parts.min_by_key(|(_, crashes)| (crashes.counted(), crashes.last_ms()));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.parts.remove(&part);
        }
    }
}

fn report(now_ms: u64, part: PartKey, worker: WorkerIncarnation, crash: &Crash) -> PartCrashReport {
    PartCrashReport {
        part,
        worker,
        is_cleared: crash.is_cleared,
        age_ms: now_ms.saturating_sub(crash.at_ms),
    }
}
