//! Holds calls after the node's machine was suspended.
//!
//! During a suspension seconds pass for other machines, but none for the node's own tasks.
//! Knowledge of workers and routes ages by the boot-time clock and so expires, but a call that
//! arrives in the first moments after the resume would still be sent by it. Calls are therefore
//! held until the leader or the platform list has answered a new request, and for `MAX_HOLD` at
//! most.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pinerill_process::clock::{BootTime, SuspensionWatch};

/// Longest time for which calls are held after a resume. A control machine answers within some
/// milliseconds; if none answers, the node continues with its known state.
pub const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// Detects suspensions and tracks whether the node has refreshed its knowledge since the last one.
#[derive(Debug)]
pub struct ResumeGate {
    boot: BootTime,
    /// Clock that stops during a suspension. Only its difference from the boot-time clock matters.
    steady: Instant,
    state: Mutex<ResumeState>,
}

impl Default for ResumeGate {
    fn default() -> Self {
        ResumeGate {
            boot: BootTime::now(),
            steady: Instant::now(),
            state: Mutex::new(ResumeState::new()),
        }
    }
}

impl ResumeGate {
    /// Compares the clocks. Returns how long the machine was suspended since the last call, or
    /// `None` if it was not.
    pub fn check_clocks(&self) -> Option<Duration> {
        let (boot, steady) = (self.boot.elapsed(), self.steady.elapsed());
        self.state.lock().check_clocks(boot, steady)
    }

    /// Records an answer of the leader or the platform list to a request sent at `asked`.
    pub fn record_refresh(&self, asked: BootTime) {
        self.state.lock().record_refresh(asked - self.boot);
    }

    /// Returns how much longer calls are held, or `None` if they need not be.
    pub fn remaining_hold(&self) -> Option<Duration> {
        let now = self.boot.elapsed();
        self.state.lock().remaining_hold(now)
    }
}

/// State of a [`ResumeGate`]. Pure: all times are passed in, as durations since the start.
#[derive(Debug)]
pub struct ResumeState {
    watch: SuspensionWatch,
    /// Time of the last resume, until the knowledge has been refreshed.
    resumed_at: Option<Duration>,
}

impl ResumeState {
    /// Creates the state of a machine that was never suspended.
    pub fn new() -> Self {
        ResumeState {
            watch: SuspensionWatch::new(Duration::ZERO, Duration::ZERO),
            resumed_at: None,
        }
    }

    /// Compares the times that the two clocks show. Returns how long the machine was suspended
    /// since the last call, or `None` if it was not.
    pub fn check_clocks(&mut self, boot: Duration, steady: Duration) -> Option<Duration> {
        let suspended = self.watch.check(boot, steady)?;
        self.resumed_at = Some(boot);
        Some(suspended)
    }

    /// Records an answer to a request sent at `asked`. A request sent before the suspension does
    /// not end the hold, because it may also have been answered before.
    pub fn record_refresh(&mut self, asked: Duration) {
        if self
            .resumed_at
            .is_some_and(|resumed_at| asked >= resumed_at)
        {
            self.resumed_at = None;
        }
    }

    /// Returns how much longer calls are held, or `None` if they need not be.
    pub fn remaining_hold(&self, now: Duration) -> Option<Duration> {
        let until = self.resumed_at? + MAX_HOLD;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

impl Default for ResumeState {
    fn default() -> Self {
        Self::new()
    }
}
