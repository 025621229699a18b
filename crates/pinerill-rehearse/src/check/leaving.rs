//! A back end that is leaving gets no new work.

use std::time::Duration;

use super::history::{History, LeavingWorker};
use super::ledger_index::{LedgerIndex, Run};
use super::verdict::Finding;

/// Time from the first sign until no new work may arrive.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Checks every run at a worker that was said to be leaving.
pub fn check_leaving(history: &History, ledger: &LedgerIndex) -> Finding {
    let mut finding = Finding::new("leaving workers");
    for leaving in &history.leaving {
        for (_, run) in ledger.all() {
            if run.worker() == leaving.worker {
                finding.checked += 1;
                check_run(leaving, run, &mut finding);
            }
        }
    }
    finding
}

fn check_run(leaving: &LeavingWorker, run: &Run, finding: &mut Finding) {
    let limit = leaving.sign_us + LEAVING_LIMIT.as_micros() as u64;
    let until = leaving.back_us.unwrap_or(u64::MAX);
    if run.arrived_us > limit && run.arrived_us < until {
        let late = (run.arrived_us - leaving.sign_us) / 1_000;
        let subject = format!("request {} at {}", run.request_id, run.engine);
        finding.violate(subject, format!("arrived {late} ms after the sign"));
    }
}
