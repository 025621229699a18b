//! What the demo did.

use std::fmt;

use anyhow::ensure;
use pinerill_types::job::ItemState;

use crate::check::{yield_times, History, Verdict};
use crate::ledger::LedgerLine;
use crate::load::record::{EndCounts, OnlineEnd, OnlineRecord};
use crate::rehearsal::Progress;
use crate::scale::hollow::Quantiles;

/// Figures of a demo.
#[derive(Clone, Debug)]
pub struct Summary {
    online: EndCounts,
    online_tokens: u64,
    first_token: Quantiles,
    items: usize,
    yields: Quantiles,
    verdict: Verdict,
    processes: usize,
    seconds: f64,
}

impl Summary {
    /// Sums up.
    pub fn new(
        history: &History,
        lines: &[LedgerLine],
        verdict: Verdict,
        processes: usize,
        progress: Progress,
    ) -> Self {
        let tokens = all_online(history).map(|record| u64::from(record.tokens));
        // A whole answer has one delivery, so its first token says nothing.
        let streamed = history.online.iter().filter(|one| !one.gaps_us.is_empty());
        let first_tokens = streamed.filter_map(|one| one.first_token_us);
        let items = history.jobs.iter().map(|job| job.items.len());
        Self {
            online: EndCounts::of(all_online(history), u64::MAX),
            online_tokens: tokens.sum(),
            first_token: Quantiles::of_microseconds(first_tokens),
            items: items.sum(),
            yields: Quantiles::of_microseconds(yield_times(lines)),
            verdict,
            processes,
            seconds: progress.seconds(),
        }
    }
}

/// Nothing was lost in the demo, so every request and item must have been
/// served.
///
/// # Errors
/// With the first that was not.
pub fn ensure_all_served(history: &History) -> anyhow::Result<()> {
    for record in all_online(history) {
        let served = record.end == OnlineEnd::Completed;
        ensure!(served, "request {}: {:?}", record.request_id, record.end);
    }
    for job in &history.jobs {
        for line in job.last_reading() {
            let served = line.state == ItemState::Completed;
            let (item, key) = (&line.custom_id, &job.key);
            ensure!(served, "item {item} of {key}: {:?}", line.state);
        }
    }
    Ok(())
}

fn all_online(history: &History) -> impl Iterator<Item = &OnlineRecord> {
    history.online.iter().chain(&history.scripted)
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (online, first, yields) = (&self.online, &self.first_token, &self.yields);
        writeln!(formatter, "\nsummary")?;
        writeln!(
            formatter,
            "  online: {} requests, {} completed, {} tokens; first token of streams p50 {:.0} ms, p99 {:.0} ms",
            online.sent, online.completed, self.online_tokens, first.p50, first.p99
        )?;
        writeln!(
            formatter,
            "  batch: {} items, each with exactly one result, read twice",
            self.items
        )?;
        writeln!(
            formatter,
            "  yielding: {} online requests found batch running at their engine and started after p50 {:.1} ms, p99 {:.1} ms",
            yields.count, yields.p50, yields.p99
        )?;
        writeln!(formatter, "  checked against the engines' ledgers:")?;
        write!(formatter, "{}", self.verdict)?;
        writeln!(
            formatter,
            "  {} processes, all stopped in a planned way; {:.1} s",
            self.processes, self.seconds
        )
    }
}
