//! Measures the durable state on this machine: items a second through accept,
//! lease and completion, syncs, bundles in force, a new leader, a repair.

mod disk;
mod failover;
mod figures;
mod repair;
mod throughput;

use std::path::PathBuf;
use std::sync::Arc;

use anyhow::Context;
use clap::Args;

use crate::fleet::launcher::Launcher;
use crate::scale::fleet::{signer, ScaleFleet};
use crate::scale::load::ChangeDriver;
use crate::scale::Size;
use figures::StateFigures;

/// Arguments of `state`.
#[derive(Args, Debug, Clone)]
pub struct StateArguments {
    /// Hollow nodes that lease and end items.
    #[arg(long, default_value_t = 50)]
    nodes: u64,
    /// Job groups.
    #[arg(long, default_value_t = 8)]
    groups: u64,
    /// Items in one job.
    #[arg(long, default_value_t = 4_000)]
    job_items: u64,
    /// Jobs that are submitted at the same time.
    #[arg(long, default_value_t = 8)]
    submitters: u64,
    /// Length of the throughput measurement, seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Tenants in the bundle.
    #[arg(long, default_value_t = 1_000)]
    tenants: u64,
    /// Where the figures go, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl StateArguments {
    fn size(&self) -> Size {
        Size {
            nodes: self.nodes,
            workers: 0,
            tenants: self.tenants,
            changes_per_second: 5.0,
            items_per_second: 0.0,
            items_per_job: self.job_items,
            job_groups: self.groups,
            seconds: self.seconds,
        }
    }
}

/// Measures and prints.
///
/// # Errors
/// When a step fails; logs and data are then kept and named.
pub async fn run(arguments: StateArguments) -> anyhow::Result<()> {
    let launcher = Arc::new(Launcher::new("state")?);
    let measured = measure(&launcher, &arguments).await;
    let figures = match measured {
        Ok(figures) => figures,
        Err(error) => {
            launcher.keep_folder();
            let folder = launcher.folder().display();
            return Err(error.context(format!("state run, logs and data in {folder}")));
        }
    };
    let text = serde_json::to_string_pretty(&figures)?;
    println!("{text}");
    if let Some(path) = &arguments.json {
        std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

async fn measure(
    launcher: &Arc<Launcher>,
    arguments: &StateArguments,
) -> anyhow::Result<StateFigures> {
    let size = arguments.size();
    size.check()?;
    println!("the disk alone");
    let disk = disk::measure(launcher.folder())?;
    println!("starting control machines");
    let mut fleet = ScaleFleet::start(launcher.clone(), &size).await?;
    let mut changes = ChangeDriver::start(fleet.client()?, signer()).await?;
    changes.roll_out_base(size.tenants as u32).await?;
    println!("items through accept, lease and completion");
    let throughput = throughput::measure(&mut fleet, &mut changes, arguments, &size).await?;
    println!("a leader is killed");
    let failover = failover::measure(&mut fleet, &mut changes).await?;
    println!("its disk is lost and replaced");
    let repair = repair::measure(&mut fleet, &failover).await?;
    fleet.stop().await?;
    Ok(StateFigures {
        disk,
        throughput,
        failover,
        repair,
    })
}
