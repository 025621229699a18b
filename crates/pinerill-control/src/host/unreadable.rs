//! What a process does whose stored state this build can't read.

use tokio_util::sync::CancellationToken;

use super::HostError;

/// Waits for the planned stop if a start failed over state that can't be read. A process that
/// ended would be started again and again; nothing of the state is touched, so that the build
/// that wrote it can go on with it.
///
/// # Errors
/// The same error if it is another one.
pub async fn stay_out_if_unreadable(
    error: anyhow::Error,
    planned_stop: &CancellationToken,
) -> anyhow::Result<()> {
    if !matches!(
        error.downcast_ref::<HostError>(),
        Some(HostError::Restore { .. })
    ) {
        return Err(error);
    }
    log::error!(
        event = "state_unreadable", error:% = format!("{error:#}"),
        remedy = "run the build that wrote it, or a newer one"; ""
    );
    planned_stop.cancelled().await;
    Ok(())
}
