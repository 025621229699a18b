//! Checks of what callers saw against what really ran at the engines.
//!
//! The engines' ledgers are the only witness of what ran: nothing that
//! pinerill says about a run is believed.

mod answers;
mod at_most_once;
mod cancel;
mod history;
mod jobs;
mod leaving;
mod ledger_index;
mod verdict;
mod versions;
mod yielding;

pub use answers::check_answers;
pub use at_most_once::check_at_most_once;
pub use cancel::{check_cancelled, CANCEL_GRACE};
pub use history::{
    Cancel, History, Indeterminate, ItemExpectation, ItemObservation, JobHistory, KilledWorker,
    LeavingWorker,
};
pub use jobs::check_jobs;
pub use leaving::{check_leaving, LEAVING_LIMIT};
pub use ledger_index::{LedgerIndex, Run, RunEnd};
pub use verdict::{Finding, Verdict, Violation};
pub use versions::check_versions;
pub use yielding::yield_times;

/// Runs all checks of a history against the engines' ledgers.
pub fn check_history(history: &History, ledger: &LedgerIndex) -> Verdict {
    Verdict::new(vec![
        check_answers(history, ledger),
        check_at_most_once(history, ledger),
        check_jobs(history, ledger),
        check_cancelled(history, ledger),
        check_leaving(history, ledger),
    ])
}
