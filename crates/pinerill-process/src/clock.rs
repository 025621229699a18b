//! The clock by which beliefs, leases and deadlines age.
//!
//! The steady clock (`std::time::Instant`, tokio's timers) stands still while a machine is
//! suspended, so that a machine that wakes takes for fresh what is long out of date: a
//! directory, a lease, another node's counts, the time that a caller still waits. The
//! boot-time clock goes on. Whatever is believed about others is aged by [`BootTime`];
//! timers merely wake tasks, which then look at this clock before they act.

use std::fmt;
use std::future::Future;
use std::ops::{Add, Sub};
use std::pin::pin;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pause between two looks at the clocks: how late after waking a time-out may come.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Counts suspensions of the machine that this process has seen.
static SUSPENSIONS: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// A moment on the clock that counts time in which the machine was suspended too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(Duration);

impl BootTime {
    /// This moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        BootTime(Duration::new(seconds, nanoseconds))
    }

    /// Time since then; zero if it lies ahead.
    pub fn elapsed(&self) -> Duration {
        Self::now().duration_since(*self)
    }

    /// Time from an earlier moment to this one; zero if that one is later.
    pub fn duration_since(&self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time until then; zero if it has passed.
    pub fn remaining(&self) -> Duration {
        self.duration_since(Self::now())
    }

    /// A moment so much earlier; none if the clock began later.
    pub fn checked_sub(&self, time: Duration) -> Option<BootTime> {
        self.0.checked_sub(time).map(BootTime)
    }

    /// The moment on the timers' clock at which it comes, as long as the machine isn't
    /// suspended until then.
    pub fn on_timer(&self) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.remaining()
    }
}

impl Add<Duration> for BootTime {
    type Output = BootTime;

    fn add(self, time: Duration) -> BootTime {
        BootTime(self.0 + time)
    }
}

impl Sub<BootTime> for BootTime {
    type Output = Duration;

    fn sub(self, earlier: BootTime) -> Duration {
        self.duration_since(earlier)
    }
}

/// A clock that is handed in, so that a test can move it.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Clock {
    /// A clock that tells the time since some moment that stays the same.
    pub fn new(time: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Clock(Arc::new(time))
    }

    /// Time since that moment.
    pub fn time(&self) -> Duration {
        (self.0)()
    }
}

impl Default for Clock {
    /// The clock of [`BootTime`].
    fn default() -> Self {
        let begin = BootTime::now();
        Clock::new(move || begin.elapsed())
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Clock({:?})", self.time())
    }
}

/// Sees when the machine was suspended: the two clocks part. Pure but for the clocks that
/// it is told.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionWatch {
    /// Boot time less steady time, as last seen.
    apart: Duration,
}

/// Shortest time that counts as a suspension: the two clocks are read one after the other.
const SHORTEST: Duration = Duration::from_millis(50);

impl SuspensionWatch {
    /// Begins to watch clocks that show these times since the same moment.
    pub fn new(boot: Duration, steady: Duration) -> Self {
        SuspensionWatch {
            apart: boot.saturating_sub(steady),
        }
    }

    /// How long the machine was suspended since the last look; none if it wasn't.
    pub fn check(&mut self, boot: Duration, steady: Duration) -> Option<Duration> {
        let apart = boot.saturating_sub(steady);
        let suspended = apart.checked_sub(self.apart)?;
        self.apart = apart;
        (suspended >= SHORTEST).then_some(suspended)
    }
}

/// The deadline has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the deadline has passed")]
pub struct DeadlinePassed;

/// Awaits a future until a deadline, which also comes while the machine is suspended: the
/// timer, which would fire late by that time, is set anew once the process has seen it.
///
/// # Errors
/// [`DeadlinePassed`].
pub async fn timeout_at<F: Future>(
    deadline: BootTime,
    future: F,
) -> Result<F::Output, DeadlinePassed> {
    let mut future = pin!(future);
    let mut suspensions = SUSPENSIONS.subscribe();
    loop {
        tokio::select! {
            biased;
            output = &mut future => return Ok(output),
            () = tokio::time::sleep_until(deadline.on_timer()) => {
                if deadline.remaining().is_zero() {
                    return Err(DeadlinePassed);
                }
            }
            // The sender lives as long as the process.
            _ = suspensions.changed() => {}
        }
    }
}

/// Waits until a moment, which also comes while the machine is suspended.
pub async fn sleep_until(moment: BootTime) {
    // Nothing else can end it.
    let _ = timeout_at(moment, std::future::pending::<()>()).await;
}

/// Suspensions of the machine that this process has seen.
pub fn suspensions() -> u64 {
    *SUSPENSIONS.borrow()
}

/// Looks for suspensions until the process ends, and logs each.
pub async fn log_suspensions() {
    watch_suspensions(|suspended| {
        log::warn!(event = "machine_was_suspended", ms = suspended.as_millis() as u64; "");
    })
    .await;
}

/// Looks for suspensions until the process ends; `on_waking` is told how long each was.
pub async fn watch_suspensions(on_waking: impl Fn(Duration)) {
    let (boot, steady) = (BootTime::now(), Instant::now());
    let mut watch = SuspensionWatch::new(Duration::ZERO, Duration::ZERO);
    loop {
        sleep(LOOK_PAUSE).await;
        if let Some(suspended) = watch.check(boot.elapsed(), steady.elapsed()) {
            SUSPENSIONS.send_modify(|count| *count += 1);
            on_waking(suspended);
        }
    }
}
