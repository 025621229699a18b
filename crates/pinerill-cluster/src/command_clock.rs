//! Measures the time between the commands of one leadership, from which the group's clock is
//! built.

/// Clock of one leadership. The times that it gives to commands never add up to more than has
/// passed.
#[derive(Debug)]
pub struct CommandClock {
    last_command_ms: u64,
}

impl CommandClock {
    /// Creates the clock of a leadership that begins at `now_ms`, milliseconds of any monotonic
    /// clock.
    pub fn begin(now_ms: u64) -> Self {
        CommandClock {
            last_command_ms: now_ms,
        }
    }

    /// Returns the milliseconds since the previous command, or since the beginning for the first
    /// one, and restarts the measurement at `now_ms`. Tasks that run at the same time may pass
    /// their times in another order than they read them.
    pub fn take_elapsed_ms(&mut self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.last_command_ms);
        self.last_command_ms = self.last_command_ms.max(now_ms);
        elapsed
    }
}
