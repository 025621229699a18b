//! Each caller gets the whole answer to its own request, and what is said not
//! to have run did not run.

use super::history::History;
use super::ledger_index::LedgerIndex;
use super::verdict::Finding;
use crate::load::record::{OnlineEnd, OnlineRecord};

/// Checks every online request.
pub fn check_answers(history: &History, ledger: &LedgerIndex) -> Finding {
    let mut finding = Finding::new("answers of online requests");
    for record in &history.online {
        check_record(record, ledger, &mut finding);
        check_ran(record, ledger, &mut finding);
    }
    for record in &history.scripted {
        check_record(record, ledger, &mut finding);
    }
    finding
}

fn check_record(record: &OnlineRecord, ledger: &LedgerIndex, finding: &mut Finding) {
    finding.checked += 1;
    let runs = ledger.runs(&record.content).len();
    match &record.end {
        OnlineEnd::WrongAnswer(detail) => {
            finding.violate(
                subject(record),
                format!("not its own whole answer: {detail}"),
            );
        }
        OnlineEnd::NotRun(error) if runs > 0 => {
            let detail = format!("said not to have run ({}), ran {runs} times", error.code);
            finding.violate(subject(record), detail);
        }
        OnlineEnd::Completed | OnlineEnd::NotRun(_) | OnlineEnd::Failed(_) => {}
    }
}

/// An answer that engines gave must be in a ledger, with all its tokens.
fn check_ran(record: &OnlineRecord, ledger: &LedgerIndex, finding: &mut Finding) {
    let completed = record.end == OnlineEnd::Completed;
    if completed && !ledger.finished(&record.content, record.tokens) {
        finding.violate(subject(record), "answered, but no engine finished it");
    }
}

fn subject(record: &OnlineRecord) -> String {
    format!("request {}", record.request_id)
}
