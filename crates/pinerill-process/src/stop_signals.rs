//! SIGTERM and SIGINT.

use tokio::signal::unix::{signal, SignalKind};
use tokio_util::sync::CancellationToken;

/// Says when to stop.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// Stop, and let what is in flight finish.
    pub planned: CancellationToken,
    /// Stop now.
    pub forced: CancellationToken,
}

impl StopSignals {
    /// The first SIGTERM or SIGINT stops in a planned way, the second at once.
    ///
    /// # Errors
    /// When the system refuses handlers.
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
