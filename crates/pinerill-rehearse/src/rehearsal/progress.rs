//! Progress of a command, one line for each step.

use std::time::Instant;

/// Prints steps with the time since the start.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    started: Instant,
}

impl Progress {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Prints a step that begins.
    pub fn step(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        println!("[{seconds:6.1} s] {}", text.as_ref());
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}
