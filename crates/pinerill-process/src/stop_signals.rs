//! Translates SIGTERM and SIGINT into graceful and immediate shutdown.

use tokio::signal::unix::{signal, SignalKind};
use tokio_util::sync::CancellationToken;

/// Cancellation tokens for the two stages of shutdown.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// Cancelled when the process should stop after work in flight has finished.
    pub planned: CancellationToken,
    /// Cancelled when the process should stop immediately.
    pub forced: CancellationToken,
}

impl StopSignals {
    /// Installs handlers for SIGTERM and SIGINT. The first signal cancels
    /// [`Self::planned`], the second cancels [`Self::forced`].
    ///
    /// # Errors
    /// Returns an error if the handlers can't be installed.
    pub fn from_system() -> std::io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let signals = Self::default();
        let tokens = signals.clone();
        tokio::spawn(async move {
            for token in [&tokens.planned, &tokens.forced] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                token.cancel();
            }
        });
        Ok(signals)
    }
}
