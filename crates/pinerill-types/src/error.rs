//! Errors that carry the step and the peer at which they arose.

use std::fmt;

/// An error with the step that failed and the peer it was with.
///
/// Shown as `STEP with PEER: MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepError {
    /// What was being done, as a short phrase (`connect`, `propose bundle`).
    pub step: String,
    /// The other side: an address, a process name or a file.
    pub peer: String,
    /// What went wrong.
    pub message: String,
}

impl StepError {
    /// An error at `step` with `peer`.
    pub fn new(
        step: impl Into<String>,
        peer: impl Into<String>,
        message: impl fmt::Display,
    ) -> Self {
        Self {
            step: step.into(),
            peer: peer.into(),
            message: message.to_string(),
        }
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} with {}: {}",
            self.step, self.peer, self.message
        )
    }
}

impl std::error::Error for StepError {}
