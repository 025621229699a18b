//! What callers, operators and the platform did and saw.

use pinerill_types::job::{ItemState, JobState};

use super::ledger_index::Run;
use crate::load::content::BatchItem;
use crate::load::record::OnlineRecord;

/// All that is checked of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Online requests to services that only engines back.
    pub online: Vec<OnlineRecord>,
    /// Online requests to services of which an old script takes a share; a
    /// script keeps no ledger.
    pub scripted: Vec<OnlineRecord>,
    /// Batch jobs.
    pub jobs: Vec<JobHistory>,
    /// Workers that were said to be leaving.
    pub leaving: Vec<LeavingWorker>,
    /// Workers that were killed.
    pub killed: Vec<KilledWorker>,
    /// Whether items may end as indeterminate.
    pub indeterminate: Indeterminate,
}

/// A worker that was killed: what ran there ended with it, without a line in
/// its ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KilledWorker {
    /// Its name.
    pub worker: String,
    /// When, Unix time in microseconds.
    pub at_us: u64,
}

impl History {
    /// Whether a run without an end ended with its worker.
    pub fn ended_by_kill(&self, run: &Run) -> bool {
        let mut killed = self.killed.iter();
        killed.any(|one| run.worker() == one.worker && run.started_us <= one.at_us)
    }
}

/// Whether an item that must not be repeated may end as indeterminate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Indeterminate {
    /// Nothing failed that could hide an outcome.
    #[default]
    Never,
    /// A node, a worker or a link was lost.
    Allowed,
}

/// One batch job as its tenant saw it.
#[derive(Clone, Debug)]
pub struct JobHistory {
    /// Its idempotency key.
    pub key: String,
    /// Its identifier, once a submission was answered.
    pub id: Option<String>,
    /// What was submitted.
    pub items: Vec<ItemExpectation>,
    /// Its cancel, once that was answered.
    pub cancel: Option<Cancel>,
    /// Its state when it was read last.
    pub state: Option<JobState>,
    /// The output as it was read, oldest reading first.
    pub readings: Vec<Vec<ItemObservation>>,
}

/// The cancel of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// When it was answered, Unix time in microseconds.
    pub answered_us: u64,
    /// Items that the answer counted as indeterminate: not to be repeated, and
    /// leased at that moment or before.
    pub indeterminate: u32,
}

/// One submitted item and its right answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemExpectation {
    /// The caller's identifier.
    pub custom_id: String,
    /// Name of its content, as ledgers have it.
    pub content: String,
    /// Whether it must not be repeated.
    pub at_most_once: bool,
    /// Digest of the right answer.
    pub digest: String,
}

/// One line of a job's output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemObservation {
    /// The caller's identifier.
    pub custom_id: String,
    /// Index within the job.
    pub index: u32,
    /// How it ended.
    pub state: ItemState,
    /// Digest of the answer's text, if there is an answer.
    pub digest: Option<String>,
}

/// A worker that was said to be leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingWorker {
    /// Its name.
    pub worker: String,
    /// When the first sign could be seen, Unix time in microseconds.
    pub sign_us: u64,
    /// When it counted as another one (a new incarnation), Unix time in
    /// microseconds; none when it stayed away.
    pub back_us: Option<u64>,
}

impl JobHistory {
    /// A job that has not been submitted yet.
    pub fn new(key: impl Into<String>, items: &[BatchItem]) -> Self {
        Self {
            key: key.into(),
            id: None,
            items: items.iter().map(ItemExpectation::of).collect(),
            cancel: None,
            state: None,
            readings: Vec::new(),
        }
    }

    /// The output as it was read last.
    pub fn last_reading(&self) -> &[ItemObservation] {
        self.readings.last().map_or(&[], Vec::as_slice)
    }
}

impl ItemExpectation {
    /// What is expected of an item.
    pub fn of(item: &BatchItem) -> Self {
        Self {
            custom_id: item.custom_id.clone(),
            content: item.content.clone(),
            at_most_once: item.at_most_once,
            digest: item.answer.digest(item.max_tokens),
        }
    }
}
