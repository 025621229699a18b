//! The page of a run.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::Context;

use super::figures::{BenchFigures, PhaseFigures};
use super::plots;
use super::quantiles::TailQuantiles;
use super::{failure_page, role_page};

/// Name of the page.
const PAGE: &str = "REPORT.md";
/// Bytes of a mebibyte.
const MEBIBYTE: f64 = 1_048_576.0;

/// Writes page and plots into `folder`, which is made.
///
/// # Errors
/// When a file can't be written.
pub fn write(folder: &Path, figures: &BenchFigures) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder).context("making the folder")?;
    let plots = plots::draw_all(folder, figures)?;
    let mut page = markdown(figures);
    for plot in plots {
        // Writing to a string can't fail.
        let _ = writeln!(page, "\n![{}]({})", plot.title, plot.file);
    }
    std::fs::write(folder.join(PAGE), page).context("writing the page")
}

/// The figures as a page without plots.
pub fn markdown(figures: &BenchFigures) -> String {
    let mut page = String::new();
    // Writing to a string can't fail.
    let _ = write_page(&mut page, figures);
    page
}

fn write_page(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    writeln!(page, "# Bench: {}\n", figures.preset)?;
    writeln!(
        page,
        "Seed {}, {} s a phase, {} cores, load average before the run {:.1}. Engines are the \
         kit's model: {:.0} tokens/s with all slots decoding. `docs/REHEARSAL.md` defines each \
         figure.\n",
        figures.seed,
        figures.seconds,
        figures.machine.cores,
        figures.machine.load_average,
        figures.nominal_tokens_per_second
    )?;
    write_online(page, figures)?;
    write_batch(page, figures)?;
    write_processes(page, figures)?;
    write_comparison(page, figures)?;
    failure_page::write_failures(page, figures)?;
    role_page::write_roles(page, figures)?;
    let verdict = &figures.verdict;
    writeln!(page, "\n## Promises\n\n```\n{verdict}```")
}

fn write_online(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    writeln!(page, "## Online, milliseconds\n")?;
    writeln!(
        page,
        "| phase | sent | completed | refused | failed | late | first token p50 / p95 / p99 / max | ≤ 0.6 s | between tokens p50 / p95 / p99 / max | ≤ 32 ms | long, first token p50 / p99 |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|---|---|---|---|---|")?;
    for phase in figures.phases.iter().filter(|one| one.phase.has_online()) {
        let online = &phase.online;
        writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} | {} | {:.2} % | {} | {:.2} % | {:.0} / {:.0} |",
            phase.phase.name(),
            online.sent,
            online.completed,
            online.refused,
            online.failed + online.wrong,
            online.late,
            tail(&phase.first_token_ms),
            phase.first_token_in_bound * 100.0,
            tail(&phase.between_tokens_ms),
            phase.gaps_in_bound * 100.0,
            phase.long_first_token_ms.p50,
            phase.long_first_token_ms.p99
        )?;
    }
    Ok(())
}

fn write_batch(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    writeln!(page, "\n## Batch and engines\n")?;
    writeln!(
        page,
        "| phase | items/s | batch tokens/s | online tokens/s | engines busy | capacity used | yield p50 / p95 / p99 / max, ms | wasted tokens | retries |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|---|---|---|")?;
    for phase in &figures.phases {
        writeln!(
            page,
            "| {} | {:.1} | {:.0} | {:.0} | {:.1} % | {:.1} % | {} | {} | {} |",
            phase.phase.name(),
            phase.batch_items_per_second,
            phase.batch_tokens_per_second,
            phase.online_tokens_per_second,
            phase.busy_share * 100.0,
            phase.capacity_share * 100.0,
            tail(&phase.yield_ms),
            phase.wasted_tokens,
            phase.retries
        )?;
    }
    Ok(())
}

fn write_processes(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    writeln!(page, "\n## Processes\n")?;
    writeln!(
        page,
        "| phase | nodes, cores | node µs/request | node µs/token | largest node, MiB | control, cores | stand-in workers, cores |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|---|")?;
    for phase in &figures.phases {
        let used = &phase.processes;
        writeln!(
            page,
            "| {} | {:.2} | {} | {:.1} | {:.1} | {:.2} | {:.2} |",
            phase.phase.name(),
            used.node_cores,
            per_request(phase),
            used.node_us_per_token,
            used.largest_node_bytes as f64 / MEBIBYTE,
            used.control_cores,
            used.worker_cores
        )?;
    }
    Ok(())
}

/// Only of meaning when nodes did nothing but online requests.
fn per_request(phase: &PhaseFigures) -> String {
    match phase.phase.has_batch() {
        true => "–".to_owned(),
        false => format!("{:.0}", phase.processes.node_us_per_request),
    }
}

fn write_comparison(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    let comparison = &figures.comparison;
    writeln!(page, "\n## Compared\n")?;
    let lines = [
        (
            "harm: first token p99, mixed over online_only",
            comparison.harm_first_token_p99,
        ),
        (
            "harm: between tokens p99, mixed over online_only",
            comparison.harm_between_tokens_p99,
        ),
        (
            "baseline no_priority: first token p99 over direct",
            comparison.no_priority_harm,
        ),
        (
            "baseline static_split: first token p99 over direct",
            comparison.static_split_harm,
        ),
        (
            "batch efficiency, mixed: batch tokens over capacity less online's use",
            comparison.batch_efficiency,
        ),
        (
            "batch efficiency, no_priority",
            comparison.no_priority_efficiency,
        ),
        (
            "batch efficiency, static_split",
            comparison.static_split_efficiency,
        ),
        (
            "batch tokens, mixed over batch_only",
            comparison.mixed_over_batch_only,
        ),
        (
            "failures: first token p99, mixed_failures over mixed",
            comparison.failures_first_token_p99,
        ),
        (
            "failures: batch efficiency, mixed_failures",
            comparison.failures_batch_efficiency,
        ),
        (
            "failures: batch tokens, mixed_failures over mixed",
            comparison.failures_over_mixed_batch,
        ),
        (
            "added by pinerill to the first token, p50, ms",
            comparison.added_first_token_p50_ms,
        ),
        (
            "added by pinerill to the first token, p95, ms",
            comparison.added_first_token_p95_ms,
        ),
        (
            "added by pinerill to the first token, p99, ms",
            comparison.added_first_token_p99_ms,
        ),
    ];
    for (name, value) in lines {
        match value {
            Some(value) => writeln!(page, "- {name}: {value:.2}")?,
            None => writeln!(page, "- {name}: not run")?,
        }
    }
    Ok(())
}

/// Quantiles in one cell.
pub(super) fn tail(quantiles: &TailQuantiles) -> String {
    match quantiles.count {
        0 => "–".to_owned(),
        _ => format!(
            "{:.1} / {:.1} / {:.1} / {:.1}",
            quantiles.p50, quantiles.p95, quantiles.p99, quantiles.max
        ),
    }
}
