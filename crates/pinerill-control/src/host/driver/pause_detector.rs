//! Detects that the process was paused: its machine was suspended, or other work had the
//! processors.
//!
//! A driver is called at least once in a fixed interval. A call that comes much later follows a
//! pause.

/// Longest time between two calls of a process that runs, in heartbeats. A follower is called for
/// each heartbeat of its leader, so that no timer of its own fires.
const INTERVAL_HEARTBEATS: u64 = 2;

/// Detects pauses from the times at which a group's driver is called.
pub(super) struct PauseDetector {
    heartbeat_ms: u64,
    /// Time of the last call, in milliseconds; none before the first.
    last_call_ms: Option<u64>,
}

impl PauseDetector {
    pub(super) fn new(heartbeat_ms: u64) -> Self {
        PauseDetector {
            heartbeat_ms,
            last_call_ms: None,
        }
    }

    fn interval_ms(&self) -> u64 {
        INTERVAL_HEARTBEATS * self.heartbeat_ms
    }

    /// When the next call is due, in milliseconds.
    pub(super) fn next_call_ms(&self) -> u64 {
        self.last_call_ms
            .map_or(0, |last_ms| last_ms + self.interval_ms())
    }

    /// Records a call. Returns the length of the pause before it in milliseconds, if it is late
    /// by a heartbeat or more: a timer that fires a little late is no pause.
    pub(super) fn record_call(&mut self, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_call_ms.unwrap_or(now_ms);
        self.last_call_ms = Some(now_ms.max(last_ms));
        let late_ms = now_ms.saturating_sub(last_ms + self.interval_ms());
        (late_ms >= self.heartbeat_ms).then_some(late_ms)
    }
}
