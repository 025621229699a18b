//! Ends a rehearsal early when the kit is told to stop.

use std::future::Future;

use anyhow::{bail, Context};
use tokio::signal::unix::{signal, SignalKind};

/// Does `work` until it ends or the kit gets SIGINT or SIGTERM. What `work`
/// holds is dropped then, and with it every process that it started.
///
/// # Errors
/// Those of `work`, or that it was interrupted.
pub async fn until_interrupted<T>(
    work: impl Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<T> {
    let mut interrupt = signal(SignalKind::interrupt()).context("waiting for SIGINT")?;
    let mut terminate = signal(SignalKind::terminate()).context("waiting for SIGTERM")?;
    tokio::select! {
        result = work => result,
        _ = interrupt.recv() => bail!("interrupted"),
        _ = terminate.recv() => bail!("told to stop"),
    }
}
