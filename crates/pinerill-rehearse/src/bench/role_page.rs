//! The part of the page on roles.

use std::fmt::Write as _;

use super::figures::{BenchFigures, PhaseFigures};
use super::report::tail;
use super::roles::RoleFigures;

const MEBIBYTE: f64 = 1_048_576.0;

/// Writes a section when roles were compared.
pub(super) fn write_roles(page: &mut String, figures: &BenchFigures) -> std::fmt::Result {
    let phases = figures.phases.iter();
    let rows: Vec<(&PhaseFigures, &RoleFigures)> = phases
        .filter_map(|one| one.roles.as_ref().map(|roles| (one, roles)))
        .collect();
    if rows.is_empty() {
        return Ok(());
    }
    writeln!(page, "\n## Roles\n")?;
    writeln!(
        page,
        "| phase | prefill engines | long sent / completed | long, first token p50 / p95 / p99 / max, ms | short, first token p50 / p95 / p99 / max, ms | between tokens p50 / p95 / p99 / max, ms | prefilled elsewhere (long) | fell back | KV moved, MiB |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|---|---|---|")?;
    for (phase, roles) in rows {
        writeln!(
            page,
            "| {} | {} | {} / {} | {} | {} | {} | {} ({}) | {} | {:.0} |",
            phase.phase.name(),
            roles.prefill_engines,
            roles.long_sent,
            roles.long_completed,
            tail(&phase.long_first_token_ms),
            tail(&phase.first_token_ms),
            tail(&phase.between_tokens_ms),
            roles.prefilled_elsewhere,
            roles.long_prefilled_elsewhere,
            roles.fell_back,
            roles.moved_bytes as f64 / MEBIBYTE
        )?;
    }
    Ok(())
}
