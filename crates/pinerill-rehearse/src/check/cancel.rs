//! A cancelled job stops.

use std::time::Duration;

use pinerill_types::job::{ItemState, JobState};

use super::history::{Cancel, History, Indeterminate, JobHistory};
use super::ledger_index::LedgerIndex;
use super::verdict::Finding;

/// Time from the answer to a cancel until no item of the job may start: a
/// node learns of the cancel with its next renewal of leases.
pub const CANCEL_GRACE: Duration = Duration::from_secs(5);

/// Checks every job that was cancelled. The ledgers must have been read at
/// least the grace time after the cancel.
pub fn check_cancelled(history: &History, ledger: &LedgerIndex) -> Finding {
    let mut finding = Finding::new("cancelled jobs stop");
    for job in &history.jobs {
        if let Some(cancel) = &job.cancel {
            check_state(job, &mut finding);
            check_indeterminate(job, cancel, history.indeterminate, &mut finding);
            check_items(job, cancel.answered_us, history, ledger, &mut finding);
        }
    }
    finding
}

/// A job whose last item ended before the cancel stays completed.
fn check_state(job: &JobHistory, finding: &mut Finding) {
    let stopped = matches!(
        job.state,
        Some(JobState::Cancelled) | Some(JobState::Completed)
    );
    if !stopped {
        let detail = format!("cancelled, but its state is {:?}", job.state);
        finding.violate(&job.key, detail);
    }
}

/// Only items that were leased when the cancel was committed may be
/// indeterminate because of it, so none becomes so after its answer.
fn check_indeterminate(
    job: &JobHistory,
    cancel: &Cancel,
    allowed: Indeterminate,
    finding: &mut Finding,
) {
    let lines = job.last_reading().iter();
    let found = lines.filter(|line| line.state == ItemState::Indeterminate);
    let found = found.count();
    if allowed == Indeterminate::Never && found != cancel.indeterminate as usize {
        let answered = cancel.indeterminate;
        let detail = format!("{found} indeterminate items, {answered} when it was cancelled");
        finding.violate(&job.key, detail);
    }
}

fn check_items(
    job: &JobHistory,
    cancelled_us: u64,
    history: &History,
    ledger: &LedgerIndex,
    finding: &mut Finding,
) {
    let limit = cancelled_us + CANCEL_GRACE.as_micros() as u64;
    for item in &job.items {
        finding.checked += 1;
        for run in ledger.runs(&item.content) {
            let subject = format!("item {} of {}", item.custom_id, job.key);
            if run.started_us > limit {
                let late = (run.started_us - cancelled_us) / 1_000;
                finding.violate(&subject, format!("started {late} ms after the cancel"));
            }
            if run.end.is_none() && !history.ended_by_kill(run) {
                finding.violate(&subject, format!("still runs at {}", run.engine));
            }
        }
    }
}
