//! What clients of one run share: truth, facts, the engines' ledger, and the
//! clocks that stamp entries.

use pinerill_control::codec::encode;
use pinerill_control::job::{JobCommand, JobEntry};
use pinerill_node::batch::LEASE_MS;
use pinerill_wire::message::AttemptRef;

use super::facts::Facts;
use super::ledger::{ItemId, Ledger, RunId};
use super::service::JobGroup;
use super::truth::JobTruth;
use crate::cluster::{CallKind, Cluster, MAX_SKEW_PPM};
use crate::scenario::Violation;

const AT_MOST_ONCE: &str = "an item not to be repeated runs at most once";
const COMMITTED_FIRST: &str = "nothing runs before its lease is committed";
const CANCELLED_STOPS: &str = "nothing of a cancelled job starts";
/// Wall time when a run begins, Unix milliseconds.
pub(super) const START_MS: u64 = 1_700_000_000_000;
/// Longest time from the last word of a node's lease to the engine,
/// milliseconds.
const ARRIVAL_SLACK_MS: u64 = 100;
/// Parts in a million.
const MILLION: u64 = 1_000_000;

/// Shared by all clients of one run.
pub(super) struct World {
    pub(super) truth: JobTruth,
    pub(super) facts: Facts,
    pub(super) ledger: Ledger,
    /// How far each machine's wall clock is ahead, milliseconds.
    wall_offsets_ms: Vec<u64>,
    broken: Vec<Violation>,
}

impl World {
    pub(super) fn new(wall_offsets_ms: Vec<u64>) -> Self {
        World {
            truth: JobTruth::default(),
            facts: Facts::default(),
            ledger: Ledger::default(),
            wall_offsets_ms,
            broken: Vec::new(),
        }
    }

    /// The stamp that the machine at `place` gives now.
    pub(super) fn stamp_ms(&self, now_ms: u64, place: usize) -> u64 {
        let offset_ms = self.wall_offsets_ms.get(place).copied().unwrap_or(0);
        let wall_ms = START_MS + now_ms + offset_ms;
        wall_ms.max(self.truth.now_ms())
    }

    /// The proposal of a command to the machine at `place`.
    pub(super) fn propose(
        &self,
        now_ms: u64,
        place: usize,
        command: JobCommand,
    ) -> CallKind<JobGroup> {
        let entry = JobEntry {
            now_ms: self.stamp_ms(now_ms, place),
            commands: vec![command],
        };
        CallKind::Propose(encode(&entry))
    }

    /// A run starts at an engine.
    pub(super) fn start_run(&mut self, now_ms: u64, attempt: AttemptRef, once: bool) -> RunId {
        let item = ItemId::from(attempt);
        if !self.truth.was_leased(attempt) {
            self.violate(now_ms, COMMITTED_FIRST, format!("{attempt:?}"));
        }
        let before = self.ledger.starts(item);
        if once && !before.is_empty() {
            let detail = format!("{attempt:?} after starts at {before:?}");
            self.violate(now_ms, AT_MOST_ONCE, detail);
        }
        let skew_ms = LEASE_MS * MAX_SKEW_PPM.unsigned_abs() / MILLION;
        let longest_ms = LEASE_MS + skew_ms + ARRIVAL_SLACK_MS;
        let cancelled_ms = self.facts.cancelled_ms(attempt.job);
        if cancelled_ms.is_some_and(|at_ms| at_ms + longest_ms < now_ms) {
            let detail = format!("{attempt:?}, cancelled at {cancelled_ms:?}");
            self.violate(now_ms, CANCELLED_STOPS, detail);
        }
        self.ledger.start(now_ms, item)
    }

    fn violate(&mut self, at_ms: u64, rule: &'static str, detail: String) {
        self.broken.push(Violation {
            at_ms,
            rule,
            detail,
        });
    }

    /// Hands rules that were broken to the run's report.
    pub(super) fn report_broken(&mut self, cluster: &mut Cluster<JobGroup>) {
        for broken in self.truth.take_broken() {
            cluster.violate(broken.rule, broken.detail);
        }
        let mut others = std::mem::take(&mut self.broken);
        others.extend(self.facts.take_broken());
        for broken in others {
            cluster.violate(broken.rule, broken.detail);
        }
    }
}
