//! Placeholder of the workspace scaffold.

/// Runs a control machine until it is told to stop.
///
/// # Errors
/// When it cannot start.
pub async fn run(_settings: pinerill_types::settings::Settings) -> anyhow::Result<()> {
    anyhow::bail!("not there yet")
}
