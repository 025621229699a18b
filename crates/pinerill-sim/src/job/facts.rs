//! What callers were told, and what later answers may not contradict.

use std::collections::BTreeMap;

use pinerill_types::job::{ItemCounts, ItemState, JobState, JobStatus};
use pinerill_types::JobId;
use pinerill_wire::message::ItemResult;

use super::ledger::ItemId;
use crate::scenario::Violation;

const ACCEPTED_STAYS: &str = "an accepted job stays";
const ENDED_STAYS: &str = "ended items stay ended";
const CANCELLED_STAYS: &str = "a cancelled job stays cancelled";
const RESULT_STAYS: &str = "a result never changes";
const EVERY_ITEM_ONCE: &str = "every item of a job is counted once";

/// What is known of one job from answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// It was accepted.
    pub accepted: bool,
    /// It was cancelled.
    pub cancelled: bool,
    /// So many items had ended.
    pub ended: u32,
}

/// Answers of all callers so far. What is known when a read begins must show
/// in its answer.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    floors: BTreeMap<JobId, Floor>,
    cancelled_ms: BTreeMap<JobId, u64>,
    results: BTreeMap<ItemId, (ItemState, String)>,
    broken: Vec<Violation>,
}

impl Facts {
    /// What a read of a job that begins now has to show.
    pub fn floor(&self, job: JobId) -> Floor {
        self.floors.get(&job).copied().unwrap_or_default()
    }

    /// A job was acknowledged as accepted.
    pub fn accepted(&mut self, job: JobId) {
        self.floors.entry(job).or_default().accepted = true;
    }

    /// A cancellation was acknowledged.
    pub fn cancelled(&mut self, now_ms: u64, job: JobId) {
        self.floors.entry(job).or_default().cancelled = true;
        self.cancelled_ms.entry(job).or_insert(now_ms);
    }

    /// When a job's cancellation was first acknowledged.
    pub fn cancelled_ms(&self, job: JobId) -> Option<u64> {
        self.cancelled_ms.get(&job).copied()
    }

    /// Results that were read of a job, by index.
    pub fn results(&self, job: JobId) -> impl Iterator<Item = (ItemId, &(ItemState, String))> {
        let of_job = move |item: &ItemId| item.job == job;
        let results = self.results.iter();
        results
            .filter(move |(item, _)| of_job(item))
            .map(|(item, result)| (*item, result))
    }

    /// Jobs that were acknowledged as accepted.
    pub fn accepted_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        let floors = self.floors.iter();
        floors.filter(|(_, one)| one.accepted).map(|(job, _)| *job)
    }

    /// A status was read that was asked for when `floor` was known.
    pub fn status_read(&mut self, now_ms: u64, job: JobId, floor: Floor, read: Option<&JobStatus>) {
        let Some(status) = read else {
            if floor != Floor::default() {
                self.violate(now_ms, ACCEPTED_STAYS, format!("{job} is not known"));
            }
            return;
        };
        let ended = ended_items(&status.counts);
        if sum(&status.counts) != status.counts.total && status.state != JobState::Receiving {
            self.violate(now_ms, EVERY_ITEM_ONCE, format!("{status:?}"));
        }
        if floor.accepted && status.state == JobState::Receiving {
            self.violate(now_ms, ACCEPTED_STAYS, format!("{status:?}"));
        }
        if floor.cancelled && status.state != JobState::Cancelled {
            self.violate(now_ms, CANCELLED_STAYS, format!("{status:?}"));
        }
        if ended < floor.ended {
            let detail = format!("{} had ended, {status:?}", floor.ended);
            self.violate(now_ms, ENDED_STAYS, detail);
        }
        let known = self.floors.entry(job).or_default();
        known.accepted |= status.state != JobState::Receiving;
        known.cancelled |= status.state == JobState::Cancelled;
        known.ended = known.ended.max(ended);
    }

    /// Results were read that were asked for when `floor` was known.
    pub fn output_read(&mut self, now_ms: u64, job: JobId, floor: Floor, read: &[ItemResult]) {
        if (read.len() as u32) < floor.ended {
            let detail = format!(
                "{} of {job} had ended, {} are read",
                floor.ended,
                read.len()
            );
            self.violate(now_ms, ENDED_STAYS, detail);
        }
        for result in read {
            let index = result.index;
            let item = ItemId { job, index };
            let new = (result.state, result.body.clone());
            let known = self.results.entry(item).or_insert_with(|| new.clone());
            if *known != new {
                let detail = format!("{item:?} was {known:?}, is {new:?}");
                self.violate(now_ms, RESULT_STAYS, detail);
            }
        }
    }

    fn violate(&mut self, at_ms: u64, rule: &'static str, detail: String) {
        self.broken.push(Violation {
            at_ms,
            rule,
            detail,
        });
    }

    /// Rules broken since the last call.
    pub fn take_broken(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.broken)
    }
}

fn ended_items(counts: &ItemCounts) -> u32 {
    counts.completed + counts.failed + counts.cancelled + counts.indeterminate
}

fn sum(counts: &ItemCounts) -> u32 {
    counts.pending + counts.leased + ended_items(counts)
}
