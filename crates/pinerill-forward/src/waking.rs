//! What a node does after its machine was suspended.
//!
//! For other machines seconds have passed, for the node's own tasks none. What it believes of
//! workers and routes is aged by the clock and fades; but a call that came in the first
//! moment would still be sent by it. So calls are held until the leader, or the platform
//! list, was asked again, for a moment at most.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pinerill_process::clock::{BootTime, SuspensionWatch};

/// Longest time for which calls are held after waking. An answer of a control machine takes
/// some milliseconds; while none answers, the node goes on with what it has.
pub const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// When the machine woke, and whether the node has asked again since.
#[derive(Debug)]
pub struct ResumeGate {
    boot: BootTime,
    /// The clock that stands still meanwhile: only its distance from the other one counts.
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
    /// Looks at the clocks; how long the machine was suspended since the last look.
    pub fn check_clocks(&self) -> Option<Duration> {
        let (boot, steady) = (self.boot.elapsed(), self.steady.elapsed());
        self.state.lock().check_clocks(boot, steady)
    }

    /// Who was asked at that moment has answered.
    pub fn record_refresh(&self, asked: BootTime) {
        self.state.lock().record_refresh(asked - self.boot);
    }

    /// How much longer calls are held; none if they need not be.
    pub fn remaining_hold(&self) -> Option<Duration> {
        let now = self.boot.elapsed();
        self.state.lock().remaining_hold(now)
    }
}

/// The same, told all times. Pure.
#[derive(Debug)]
pub struct ResumeState {
    watch: SuspensionWatch,
    /// When it woke, until it has asked again.
    resumed_at: Option<Duration>,
}

impl ResumeState {
    /// A machine that was never suspended.
    pub fn new() -> Self {
        ResumeState {
            watch: SuspensionWatch::new(Duration::ZERO, Duration::ZERO),
            resumed_at: None,
        }
    }

    /// Looks at clocks that show these times since the start.
    pub fn check_clocks(&mut self, boot: Duration, steady: Duration) -> Option<Duration> {
        let suspended = self.watch.check(boot, steady)?;
        self.resumed_at = Some(boot);
        Some(suspended)
    }

    /// Who was asked at that time has answered. What was asked before the suspension may
    /// have been answered before it.
    pub fn record_refresh(&mut self, asked: Duration) {
        if self
            .resumed_at
            .is_some_and(|resumed_at| asked >= resumed_at)
        {
            self.resumed_at = None;
        }
    }

    /// How much longer calls are held; none if they need not be.
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
