//! Scale runs: real control machines and a real node beside hollow ones, at
//! several sizes, with a line fitted through each figure.

pub mod fit;
pub(crate) mod fleet;
pub mod hollow;
pub(crate) mod load;
mod run;
mod series;
mod size;
pub(crate) mod usage;

use std::path::PathBuf;
use std::sync::Arc;

use anyhow::Context;
use clap::Args;

use crate::fleet::launcher::Launcher;

pub use run::{ProcessFigures, RunFigures};
pub use series::{Series, SeriesFit};
pub use size::{Dimension, Size};

/// Arguments of `scale`.
#[derive(Args, Debug, Clone)]
pub struct ScaleArguments {
    /// Hollow nodes.
    #[arg(long, default_value_t = 200)]
    nodes: u64,
    /// Hollow workers.
    #[arg(long, default_value_t = 1_000)]
    workers: u64,
    /// Tenants in the bundle.
    #[arg(long, default_value_t = 1_000)]
    tenants: u64,
    /// Changes of configuration a second.
    #[arg(long, default_value_t = 1.0)]
    changes: f64,
    /// Batch items a second.
    #[arg(long, default_value_t = 0.0)]
    items: f64,
    /// Items in one job.
    #[arg(long, default_value_t = 1_000)]
    job_items: u64,
    /// Job groups.
    #[arg(long, default_value_t = 8)]
    groups: u64,
    /// Length of each measurement, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// What to vary.
    #[arg(long, value_enum, requires = "sizes")]
    vary: Option<Dimension>,
    /// Its values, at least two.
    #[arg(long, value_delimiter = ',', requires = "vary")]
    sizes: Vec<f64>,
    /// Kills a control machine at the end of the last run and measures how
    /// long nodes are without a confirmed watch.
    #[arg(long)]
    storm: bool,
    /// Where all figures go, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl ScaleArguments {
    fn base(&self) -> Size {
        Size {
            nodes: self.nodes,
            workers: self.workers,
            tenants: self.tenants,
            changes_per_second: self.changes,
            items_per_second: self.items,
            items_per_job: self.job_items,
            job_groups: self.groups,
            seconds: self.seconds,
        }
    }

    fn sizes(&self) -> Vec<Size> {
        match self.vary {
            Some(dimension) => self
                .sizes
                .iter()
                .map(|value| self.base().with(dimension, *value))
                .collect(),
            None => vec![self.base()],
        }
    }
}

/// Runs all sizes and prints the figures and fitted lines.
///
/// # Errors
/// When a size is too large for this machine or a run fails; the folder with
/// logs and data is then kept and named.
pub async fn run(arguments: ScaleArguments) -> anyhow::Result<()> {
    let sizes = arguments.sizes();
    for size in &sizes {
        size.check()?;
    }
    let mut series = Series {
        dimension: arguments.vary,
        runs: Vec::new(),
    };
    for (index, size) in sizes.iter().enumerate() {
        println!("run {} of {}: {size:?}", index + 1, sizes.len());
        let kill_control = arguments.storm && index + 1 == sizes.len();
        let launcher = Arc::new(Launcher::new("scale")?);
        match run::run(launcher.clone(), size, kill_control).await {
            Ok(figures) => series.push(figures),
            Err(error) => {
                launcher.keep_folder();
                let folder = launcher.folder().display();
                return Err(error.context(format!("scale run, logs and data in {folder}")));
            }
        }
    }
    let fits = series.fits();
    series::print_fits(&fits);
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&serde_json::json!({
            "series": series,
            "fits": fits,
        }))?;
        std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}
