//! Whether the group had its turns.
//!
//! A driver is called at least once in a fixed interval. When it is called much later, the
//! process had no turn: its machine was suspended, or other work had the processors.

/// Heartbeats between two turns at most. A follower that hears its leader is called for each
/// heartbeat, so that no timer of its own fires.
const TURN_HEARTBEATS: u64 = 2;

/// The turns of one group.
pub(super) struct Turns {
    heartbeat_ms: u64,
    /// Time of the last turn, in milliseconds; none before the first.
    last_ms: Option<u64>,
}

impl Turns {
    pub(super) fn new(heartbeat_ms: u64) -> Self {
        Turns {
            heartbeat_ms,
            last_ms: None,
        }
    }

    /// Longest time between two turns of a process that isn't held up, in milliseconds.
    fn interval_ms(&self) -> u64 {
        TURN_HEARTBEATS * self.heartbeat_ms
    }

    /// When the next turn is due, in milliseconds.
    pub(super) fn next_ms(&self) -> u64 {
        self.last_ms
            .map_or(0, |last_ms| last_ms + self.interval_ms())
    }

    /// Notes a turn. Returns for how long the process had none, in milliseconds, if it is later
    /// than it was due by a heartbeat or more: a timer that fires a little late is no standstill.
    pub(super) fn take(&mut self, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_ms.unwrap_or(now_ms);
        self.last_ms = Some(now_ms.max(last_ms));
        let late_ms = now_ms.saturating_sub(last_ms + self.interval_ms());
        (late_ms >= self.heartbeat_ms).then_some(late_ms)
    }
}
