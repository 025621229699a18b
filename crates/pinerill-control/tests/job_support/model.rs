//! A naive model of the job group: every rule written down as plainly as
//! possible, item by item.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pinerill_control::job::LEASE_STEP_LIMIT_MS;
use pinerill_types::job::{AttemptEnd, ItemState, JobState};
use pinerill_types::JobId;
use pinerill_wire::message::{AttemptRef, AttemptVerdict, SubmitJob};

pub struct ModelItem {
    pub once: bool,
    pub state: ItemState,
    pub attempt: u32,
    pub lapses: u32,
    /// The report that led to the state.
    pub report: Option<AttemptEnd>,
    /// Node and start that hold the lease, and when it ends.
    pub lease: (usize, u64, u64),
    pub result: String,
}

pub struct ModelJob {
    pub whole: SubmitJob,
    pub state: JobState,
    pub items: Vec<ModelItem>,
}

#[derive(Default)]
pub struct ModelNode {
    pub incarnation: u64,
    pub sequence: u64,
    pub answer: Vec<AttemptRef>,
}

/// What should be: every rule written down as plainly as possible.
pub struct Model {
    pub jobs: BTreeMap<JobId, ModelJob>,
    pub nodes: [ModelNode; 3],
    /// Every attempt that was ever leased.
    pub attempts: Vec<AttemptRef>,
    pub lease_clock: u64,
    pub now_ms: u64,
}

impl Model {
    pub fn tell_time(&mut self, now_ms: u64) {
        self.lease_clock += (now_ms - self.now_ms).min(LEASE_STEP_LIMIT_MS);
        self.now_ms = now_ms;
    }

    pub fn item(&mut self, attempt: AttemptRef) -> &mut ModelItem {
        let job = self.jobs.get_mut(&attempt.job).unwrap();
        &mut job.items[attempt.index as usize]
    }

    pub fn is_leased(&mut self, attempt: AttemptRef) -> bool {
        let item = self.item(attempt);
        item.state == ItemState::Leased && item.attempt == attempt.attempt
    }

    pub fn end(&mut self, attempt: AttemptRef, end: &AttemptEnd) -> AttemptVerdict {
        let item = self.item(attempt);
        if item.attempt != attempt.attempt {
            return AttemptVerdict::Late;
        }
        if item.report.as_ref() == Some(end) {
            return AttemptVerdict::Counted;
        }
        if item.state.is_final() || item.report.is_some() {
            return AttemptVerdict::Late;
        }
        item.report = Some(end.clone());
        let (state, text) = match end {
            AttemptEnd::Completed(text) => (ItemState::Completed, text.as_str()),
            AttemptEnd::Failed(text) => (ItemState::Failed, text.as_str()),
            AttemptEnd::Released => (ItemState::Pending, ""),
            AttemptEnd::Indeterminate(text) => {
                if item.state == ItemState::Leased {
                    item.lapse(text);
                }
                return AttemptVerdict::Counted;
            }
        };
        item.state = state;
        item.result = text.to_owned();
        AttemptVerdict::Counted
    }

    pub fn lapse_where(&mut self, reason: &str, lapses: impl Fn(&ModelItem, u64) -> bool) {
        let clock = self.lease_clock;
        let items = self.jobs.values_mut().flat_map(|job| &mut job.items);
        for item in items.filter(|item| item.state == ItemState::Leased) {
            if lapses(item, clock) {
                item.lapse(reason);
            }
        }
    }

    pub fn cancel(&mut self, id: JobId) {
        let job = self.jobs.get_mut(&id).unwrap();
        if job.state == JobState::Completed {
            return;
        }
        job.state = JobState::Cancelled;
        for item in job.items.iter_mut().filter(|item| !item.state.is_final()) {
            let unsure = item.once && item.state == ItemState::Leased;
            item.state = [ItemState::Cancelled, ItemState::Indeterminate][usize::from(unsure)];
            item.report = None;
        }
    }

    /// Ends jobs whose items have all ended.
    pub fn settle(&mut self) {
        for job in self.jobs.values_mut() {
            let ended = job.items.iter().all(|item| item.state.is_final());
            if job.state == JobState::InProgress && ended {
                job.state = JobState::Completed;
            }
        }
    }
}

impl ModelItem {
    pub fn lapse(&mut self, reason: &str) {
        self.lapses += 1;
        self.state = match (self.once, self.lapses) {
            (true, _) => ItemState::Indeterminate,
            (false, 3..) => ItemState::Failed,
            (false, _) => ItemState::Pending,
        };
        self.result = reason.to_owned();
    }
}
