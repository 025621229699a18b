//! Each answer comes from one version of the model.

use super::history::History;
use super::ledger_index::{LedgerIndex, Run};
use super::verdict::Finding;

/// Checks the runs of every online request: one that goes on from tokens that
/// were delivered elsewhere must follow a run of the same version that
/// generated them.
pub fn check_versions(history: &History, ledger: &LedgerIndex) -> Finding {
    let mut finding = Finding::new("answers of one version");
    for record in &history.online {
        finding.checked += 1;
        let runs = ledger.runs(&record.content);
        for (index, run) in runs.iter().enumerate() {
            if !goes_on_rightly(run, index, runs) {
                let detail = format!("goes on at {} with {}", run.engine, run.model);
                finding.violate(format!("request {}", record.request_id), detail);
            }
        }
    }
    finding
}

fn goes_on_rightly(run: &Run, index: usize, runs: &[Run]) -> bool {
    let began = |(other_index, other): (usize, &Run)| {
        other_index != index
            && other.model == run.model
            && other.continue_from < run.continue_from
            && other.started_us <= run.started_us
    };
    run.continue_from == 0 || runs.iter().enumerate().any(began)
}
