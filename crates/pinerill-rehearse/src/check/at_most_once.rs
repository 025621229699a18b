//! What must not be repeated ran at most once.

use super::history::History;
use super::ledger_index::LedgerIndex;
use super::verdict::Finding;

/// Checks every online request and batch item that must not be repeated.
pub fn check_at_most_once(history: &History, ledger: &LedgerIndex) -> Finding {
    let mut finding = Finding::new("at most once");
    let online = history.online.iter().chain(&history.scripted);
    for record in online.filter(|record| record.at_most_once) {
        let subject = format!("request {}", record.request_id);
        check_content(&subject, &record.content, ledger, &mut finding);
    }
    for job in &history.jobs {
        for item in job.items.iter().filter(|item| item.at_most_once) {
            let subject = format!("item {} of {}", item.custom_id, job.key);
            check_content(&subject, &item.content, ledger, &mut finding);
        }
    }
    finding
}

fn check_content(subject: &str, content: &str, ledger: &LedgerIndex, finding: &mut Finding) {
    finding.checked += 1;
    let runs = ledger.runs(content);
    if runs.len() <= 1 {
        return;
    }
    let engines: Vec<&str> = runs.iter().map(|run| run.engine.as_str()).collect();
    let detail = format!("ran {} times, at {}", runs.len(), engines.join(", "));
    finding.violate(subject, detail);
}
