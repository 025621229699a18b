//! Plots of a run, as SVG files.

use std::path::Path;

use anyhow::anyhow;
use plotters::coord::ranged1d::{AsRangedCoord, ValueFormatter};
use plotters::coord::Shift;
use plotters::prelude::*;

use super::figures::{BenchFigures, PhaseFigures};
use super::phase::Phase;

/// Size of a plot, pixels.
const SIZE: (u32, u32) = (900, 380);
/// Lowest time on a logarithmic axis, milliseconds.
const LOWEST_MS: f64 = 1.0;
/// Room above the highest value.
const HEADROOM: f64 = 1.1;

/// A plot that was written.
#[derive(Clone, Copy, Debug)]
pub struct Plot {
    /// Its title.
    pub title: &'static str,
    /// Its file.
    pub file: &'static str,
}

/// One line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws all plots into `folder`.
///
/// # Errors
/// When a file can't be written.
pub fn draw_all(folder: &Path, figures: &BenchFigures) -> anyhow::Result<Vec<Plot>> {
    let tails = Plot {
        title: "First token p99 over time, ms",
        file: "tails.svg",
    };
    draw(folder, &tails, &tail_lines(figures), Scale::Logarithmic)?;
    let throughput = Plot {
        title: "Tokens a second over time",
        file: "throughput.svg",
    };
    let lines = throughput_lines(figures);
    draw(folder, &throughput, &lines, Scale::Linear)?;
    Ok(vec![tails, throughput])
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scale {
    Linear,
    Logarithmic,
}

fn tail_lines(figures: &BenchFigures) -> Vec<Line> {
    let phases = figures.phases.iter();
    phases
        .filter(|one| one.phase.has_online())
        .map(|one| Line {
            name: one.phase.name().to_owned(),
            points: one
                .first_token_p99_over_time
                .iter()
                .map(|tail| (tail.at_seconds, tail.p99_ms.max(LOWEST_MS)))
                .collect(),
        })
        .collect()
}

fn throughput_lines(figures: &BenchFigures) -> Vec<Line> {
    let phases = figures.phases.iter();
    let wanted = [Phase::OnlineOnly, Phase::BatchOnly, Phase::Mixed];
    phases
        .filter(|one| wanted.contains(&one.phase))
        .flat_map(phase_throughput)
        .filter(|line| line.points.iter().any(|(_, rate)| *rate > 0.0))
        .collect()
}

fn phase_throughput(phase: &PhaseFigures) -> [Line; 2] {
    let name = phase.phase.name();
    let points = |of: fn(&super::meter::ThroughputSample) -> f64| {
        let samples = phase.samples.iter();
        samples.map(|one| (one.at_seconds, of(one))).collect()
    };
    [
        Line {
            name: format!("{name}, online"),
            points: points(|one| one.online_tokens_per_second),
        },
        Line {
            name: format!("{name}, batch"),
            points: points(|one| one.batch_tokens_per_second),
        },
    ]
}

fn draw(folder: &Path, plot: &Plot, lines: &[Line], scale: Scale) -> anyhow::Result<()> {
    let path = folder.join(plot.file);
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    let (right, top) = bounds(lines);
    let drawn = match scale {
        Scale::Linear => draw_lines(&area, plot, lines, right, 0.0..top * HEADROOM),
        Scale::Logarithmic => {
            let highest = top.max(LOWEST_MS * 10.0) * HEADROOM;
            draw_lines(&area, plot, lines, right, (LOWEST_MS..highest).log_scale())
        }
    };
    drawn.map_err(|error| anyhow!("drawing {}: {error}", path.display()))?;
    area.present()
        .map_err(|error| anyhow!("writing {}: {error}", path.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// Draws the lines over seconds up to `right`, on any `vertical` axis.
fn draw_lines<'a, Y>(
    area: &Area<'a>,
    plot: &Plot,
    lines: &[Line],
    right: f64,
    vertical: Y,
) -> DrawResult<'a>
where
    Y: AsRangedCoord<Value = f64>,
    Y::CoordDescType: ValueFormatter<f64>,
{
    area.fill(&WHITE)?;
    let mut chart = builder(area, plot).build_cartesian_2d(0.0..right, vertical)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}

fn builder<'a, 'b>(area: &'b Area<'a>, plot: &Plot) -> ChartBuilder<'b, 'b, SVGBackend<'a>>
where
    'a: 'b,
{
    let mut builder = ChartBuilder::on(area);
    builder
        .caption(plot.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60);
    builder
}

/// The largest time and value of all lines.
fn bounds(lines: &[Line]) -> (f64, f64) {
    let points = lines.iter().flat_map(|line| &line.points);
    points.fold((1.0, 1.0), |(right, top), (x, y)| {
        (f64::max(right, *x), f64::max(top, *y))
    })
}
