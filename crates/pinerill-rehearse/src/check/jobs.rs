//! Every item of an accepted job ends exactly once, with its own answer, and
//! its result stays readable.

use std::collections::HashMap;

use pinerill_types::job::ItemState;

use super::history::{History, Indeterminate, ItemExpectation, ItemObservation, JobHistory};
use super::ledger_index::{LedgerIndex, RunEnd};
use super::verdict::Finding;

/// Checks every job that was acknowledged and read.
pub fn check_jobs(history: &History, ledger: &LedgerIndex) -> Finding {
    let mut finding = Finding::new("items of batch jobs");
    for job in &history.jobs {
        check_presence(job, &mut finding);
        check_readings(job, &mut finding);
        if job.id.is_some() {
            let check = ItemCheck {
                job,
                ledger,
                indeterminate: history.indeterminate,
            };
            check.run(&mut finding);
        }
    }
    finding
}

/// A job that was never acknowledged has no output.
fn check_presence(job: &JobHistory, finding: &mut Finding) {
    if job.id.is_none() && !job.last_reading().is_empty() {
        finding.violate(&job.key, "has output, but was never acknowledged");
    }
}

/// A result that was read once is read again, unchanged.
fn check_readings(job: &JobHistory, finding: &mut Finding) {
    for pair in job.readings.windows(2) {
        let later: HashMap<&str, &ItemObservation> = by_custom_id(&pair[1]);
        for earlier in &pair[0] {
            let subject = || subject(job, &earlier.custom_id);
            match later.get(earlier.custom_id.as_str()) {
                None => finding.violate(subject(), "its result was there and is gone"),
                Some(now) if *now != earlier => {
                    finding.violate(subject(), "its result has changed");
                }
                Some(_) => {}
            }
        }
    }
}

struct ItemCheck<'a> {
    job: &'a JobHistory,
    ledger: &'a LedgerIndex,
    indeterminate: Indeterminate,
}

impl ItemCheck<'_> {
    fn run(&self, finding: &mut Finding) {
        let reading = self.job.last_reading();
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for line in reading {
            *counts.entry(line.custom_id.as_str()).or_default() += 1;
        }
        let lines = by_custom_id(reading);
        for (index, item) in self.job.items.iter().enumerate() {
            finding.checked += 1;
            let count = counts.remove(item.custom_id.as_str()).unwrap_or(0);
            match lines.get(item.custom_id.as_str()) {
                Some(line) if count == 1 => self.check_item(index, item, line, finding),
                _ => finding.violate(
                    subject(self.job, &item.custom_id),
                    format!("has {count} results instead of one"),
                ),
            }
        }
        for custom_id in counts.keys() {
            finding.violate(subject(self.job, custom_id), "was never submitted");
        }
    }

    fn check_item(
        &self,
        index: usize,
        item: &ItemExpectation,
        line: &ItemObservation,
        finding: &mut Finding,
    ) {
        if line.index as usize != index {
            let detail = format!("has index {} instead of {index}", line.index);
            finding.violate(subject(self.job, &item.custom_id), detail);
        }
        if let Some(detail) = self.wrong_end(item, line) {
            finding.violate(subject(self.job, &item.custom_id), detail);
        }
    }

    /// What is wrong with an item's end.
    fn wrong_end(&self, item: &ItemExpectation, line: &ItemObservation) -> Option<String> {
        match line.state {
            ItemState::Completed => self.wrong_answer(item, line),
            ItemState::Cancelled => {
                let never_cancelled = self.job.cancel.is_none();
                never_cancelled.then(|| "cancelled, but its job was not".to_owned())
            }
            ItemState::Indeterminate if !item.at_most_once => {
                Some("indeterminate, but it may be repeated".to_owned())
            }
            ItemState::Indeterminate => {
                // How many a cancel may leave is checked with the cancel.
                let explained =
                    self.job.cancel.is_some() || self.indeterminate == Indeterminate::Allowed;
                (!explained).then(|| "indeterminate, but nothing was lost".to_owned())
            }
            ItemState::Failed => Some("failed".to_owned()),
            ItemState::Pending | ItemState::Leased => Some("has not ended".to_owned()),
        }
    }

    fn wrong_answer(&self, item: &ItemExpectation, line: &ItemObservation) -> Option<String> {
        if line.digest.as_ref() != Some(&item.digest) {
            return Some("not its own whole answer".to_owned());
        }
        let runs = self.ledger.runs(&item.content);
        let finished = runs.iter().any(|run| run.end == Some(RunEnd::Finished));
        (!finished).then(|| "completed, but no engine finished it".to_owned())
    }
}

fn by_custom_id(lines: &[ItemObservation]) -> HashMap<&str, &ItemObservation> {
    let lines = lines.iter();
    lines.map(|line| (line.custom_id.as_str(), line)).collect()
}

fn subject(job: &JobHistory, custom_id: &str) -> String {
    format!("item {custom_id} of {}", job.key)
}
