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
pub const LONGEST_HOLD: Duration = Duration::from_millis(1_000);

/// When the machine woke, and whether the node has asked again since.
#[derive(Debug)]
pub struct Waking {
    boot: BootTime,
    /// The clock that stands still meanwhile: only its distance from the other one counts.
    steady: Instant,
    state: Mutex<WakingState>,
}

impl Default for Waking {
    fn default() -> Self {
        Waking {
            boot: BootTime::now(),
            steady: Instant::now(),
            state: Mutex::new(WakingState::new()),
        }
    }
}

impl Waking {
    /// Looks at the clocks; how long the machine was suspended since the last look.
    pub fn look(&self) -> Option<Duration> {
        let (boot, steady) = (self.boot.elapsed(), self.steady.elapsed());
        self.state.lock().look(boot, steady)
    }

    /// Who was asked at that moment has answered.
    pub fn heard(&self, asked: BootTime) {
        self.state.lock().heard(asked - self.boot);
    }

    /// How much longer calls are held; none if they need not be.
    pub fn hold(&self) -> Option<Duration> {
        let now = self.boot.elapsed();
        self.state.lock().hold(now)
    }
}

/// The same, told all times. Pure.
#[derive(Debug)]
pub struct WakingState {
    watch: SuspensionWatch,
    /// When it woke, until it has asked again.
    woke: Option<Duration>,
}

impl WakingState {
    /// A machine that was never suspended.
    pub fn new() -> Self {
        WakingState {
            watch: SuspensionWatch::new(Duration::ZERO, Duration::ZERO),
            woke: None,
        }
    }

    /// Looks at clocks that show these times since the start.
    pub fn look(&mut self, boot: Duration, steady: Duration) -> Option<Duration> {
        let suspended = self.watch.check(boot, steady)?;
        self.woke = Some(boot);
        Some(suspended)
    }

    /// Who was asked at that time has answered. What was asked before the suspension may
    /// have been answered before it.
    pub fn heard(&mut self, asked: Duration) {
        if self.woke.is_some_and(|woke| asked >= woke) {
            self.woke = None;
        }
    }

    /// How much longer calls are held; none if they need not be.
    pub fn hold(&self, now: Duration) -> Option<Duration> {
        let until = self.woke? + LONGEST_HOLD;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

impl Default for WakingState {
    fn default() -> Self {
        Self::new()
    }
}
