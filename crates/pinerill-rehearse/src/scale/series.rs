//! Several runs along one dimension, and the lines through their figures.

use serde::Serialize;

use super::fit::{Line, Point};
use super::run::{ProcessFigures, RunFigures};
use super::size::{Dimension, Size};

/// Bytes of a mebibyte.
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Runs along one dimension.
#[derive(Debug, Serialize)]
pub struct Series {
    /// What is varied; none for a single run.
    pub dimension: Option<Dimension>,
    /// The runs.
    pub runs: Vec<RunFigures>,
}

/// A line through one figure of all runs.
#[derive(Debug, Serialize)]
pub struct SeriesFit {
    /// The figure, with its unit.
    pub figure: &'static str,
    /// The points.
    pub points: Vec<Point>,
    /// The line; none for a single run.
    pub line: Option<Line>,
}

type Extract = fn(&RunFigures) -> f64;

/// Figures that get a line.
const FIGURES: [(&str, Extract); 13] = [
    ("node: bytes/s (watch, leases)", |run| {
        run.node_bytes_per_second
    }),
    ("node: messages/s", |run| run.node_messages_per_second),
    ("real node: cores", |run| run.node.cores),
    ("real node: MiB resident", |run| {
        run.node.resident_bytes as f64 / MEBIBYTE
    }),
    ("control, busiest: cores", |run| {
        busiest(run, |one| one.cores)
    }),
    ("control, mean: cores", |run| mean(run, |one| one.cores)),
    ("control, largest: MiB resident", |run| {
        busiest(run, |one| one.resident_bytes as f64 / MEBIBYTE)
    }),
    ("control, mean: KiB/s written to disk", |run| {
        mean(run, |one| one.written_bytes_per_second / 1024.0)
    }),
    ("commit of a change: p99 ms", |run| run.commit.p99),
    ("in force on the last node: p50 ms", |run| run.in_force.p50),
    ("in force on the last node: max ms", |run| run.in_force.max),
    ("items accepted/s", |run| run.accepted_per_second),
    ("items completed/s", |run| run.completed_per_second),
];

fn busiest(run: &RunFigures, figure: fn(&ProcessFigures) -> f64) -> f64 {
    run.controls.iter().map(figure).fold(0.0, f64::max)
}

fn mean(run: &RunFigures, figure: fn(&ProcessFigures) -> f64) -> f64 {
    run.controls.iter().map(figure).sum::<f64>() / run.controls.len() as f64
}

fn value_along(size: &Size, dimension: Dimension) -> f64 {
    match dimension {
        Dimension::Nodes => size.nodes as f64,
        Dimension::Workers => size.workers as f64,
        Dimension::Tenants => size.tenants as f64,
        Dimension::Changes => size.changes_per_second,
        Dimension::Items => size.items_per_second,
        Dimension::JobItems => size.items_per_job as f64,
        Dimension::Groups => size.job_groups as f64,
    }
}

impl Series {
    /// Adds a run and prints its figures.
    pub fn push(&mut self, figures: RunFigures) {
        for (name, extract) in FIGURES {
            println!("  {name}: {:.4}", extract(&figures));
        }
        println!(
            "  failed watches {}, reverted versions {}, workers known per node {:.1}",
            figures.hollow.failed_watches,
            figures.hollow.reverted,
            figures.hollow.workers_known as f64 / figures.hollow.nodes as f64
        );
        if let Some(storm) = &figures.storm {
            println!(
                "  after the kill of a control machine, longest time without a confirmed \
                 watch: p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
                storm.p50, storm.p99, storm.max
            );
        }
        self.runs.push(figures);
    }

    /// The lines through all figures.
    pub fn fits(&self) -> Vec<SeriesFit> {
        let Some(dimension) = self.dimension else {
            return Vec::new();
        };
        FIGURES
            .iter()
            .map(|(figure, extract)| {
                let points: Vec<Point> = self
                    .runs
                    .iter()
                    .map(|run| Point {
                        size: value_along(&run.size, dimension),
                        value: extract(run),
                    })
                    .collect();
                SeriesFit {
                    figure,
                    line: Line::through(&points),
                    points,
                }
            })
            .collect()
    }
}

/// Prints the lines.
pub fn print_fits(fits: &[SeriesFit]) {
    for fit in fits {
        let Some(line) = fit.line else { continue };
        let shape = if line.is_linear() {
            "linear"
        } else {
            "NOT LINEAR"
        };
        println!(
            "{}: {:.5} + {:.7} × size, largest error {:.0} % ({shape})",
            fit.figure,
            line.intercept,
            line.slope,
            line.largest_error * 100.0
        );
    }
}
