//! The part of the page on failures.

use std::fmt::Write as _;

use super::failures::{FailureFigures, OneFailure};
use super::figures::BenchFigures;
use super::report::tail;

/// Aim of the share of online requests that failures may cost beyond those in
/// flight at the killed worker.
pub const LOST_SHARE_AIM: f64 = 0.001;
const PER_CENT: f64 = 100.0;

/// Writes a section when some phase had failures.
pub(super) fn write_failures(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    for phase in &figures.phases {
        if let Some(failures) = &phase.failures {
            writeln!(page, "\n## Failures: {}\n", phase.phase.name())?;
            write_table(page, failures)?;
            write_sums(page, failures, figures.comparison.failures_lost_share)?;
        }
    }
    Ok(())
}

fn write_table(page: &mut String, failures: &FailureFigures) -> std::fmt::Result {
    writeln!(
        page,
        "| failure | subject | from, s | until, s | sent | completed | refused | failed | first token p50 / p95 / p99 / max, ms |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|---|---|---|")?;
    for one in &failures.failures {
        write_row(page, one)?;
    }
    Ok(())
}

fn write_row(page: &mut String, one: &OneFailure) -> std::fmt::Result {
    writeln!(
        page,
        "| {} | {} | {:.1} | {:.1} | {} | {} | {} | {} | {} |",
        one.kind.name(),
        one.subject,
        one.span.from_seconds,
        one.span.until_seconds,
        one.online.sent,
        one.online.completed,
        one.online.refused,
        one.online.failed + one.online.wrong,
        tail(&one.first_token_ms)
    )
}

fn write_sums(
    page: &mut String,
    failures: &FailureFigures,
    lost_share: Option<f64>,
) -> std::fmt::Result {
    writeln!(
        page,
        "\n- online: {} sent, {} completed; in flight at the killed worker {}, of them lost {}; lost elsewhere {} ({:.3} %)",
        failures.sent,
        failures.completed,
        failures.in_flight_at_killed,
        failures.lost_in_flight,
        failures.lost_elsewhere,
        failures.lost_share_elsewhere() * PER_CENT
    )?;
    match lost_share {
        Some(share) => writeln!(
            page,
            "- lost beyond what was in flight, less mixed: {:.3} % (aim: below {:.1} %, {})",
            share * PER_CENT,
            LOST_SHARE_AIM * PER_CENT,
            if share < LOST_SHARE_AIM {
                "met"
            } else {
                "missed"
            }
        )?,
        None => writeln!(
            page,
            "- lost beyond what was in flight, less mixed: mixed not run"
        )?,
    }
    writeln!(
        page,
        "- first token during failures, ms: {}; outside them: {}",
        tail(&failures.first_token_during_ms),
        tail(&failures.first_token_outside_ms)
    )?;
    writeln!(
        page,
        "- leaving worker's last new request: {:.0} ms after the list showed it",
        failures.leaving_last_request_ms
    )
}
