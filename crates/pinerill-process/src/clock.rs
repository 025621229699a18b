//! The clock for leases, deadlines and the age of state received from other machines.
//!
//! The monotonic clock (`std::time::Instant`, tokio's timers) stops while a machine is
//! suspended. A machine that resumes would therefore treat stale data as fresh: a directory,
//! a lease, another node's counts, the time that a caller will still wait. The boot-time
//! clock keeps running during a suspension. The age of all state received from others is
//! computed with [`BootTime`]; timers only wake tasks, which check this clock before they
//! act.

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

/// Interval between two comparisons of the clocks. It bounds how late a timeout may fire
/// after the machine resumes.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of suspensions of the machine that this process has detected. Sending a change
/// wakes every pending [`timeout_at`].
static SUSPENSIONS: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// A point in time on the boot-time clock, which includes time spent suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(Duration);

impl BootTime {
    /// Reads the current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        BootTime(Duration::new(seconds, nanoseconds))
    }

    /// Returns the time that has passed since this point; zero if it is in the future.
    pub fn elapsed(&self) -> Duration {
        Self::now().duration_since(*self)
    }

    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    pub fn duration_since(&self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time left until this point; zero if it has passed.
    pub fn remaining(&self) -> Duration {
        self.duration_since(Self::now())
    }

    /// Returns the point `time` earlier; `None` if that lies before the clock's start.
    pub fn checked_sub(&self, time: Duration) -> Option<BootTime> {
        self.0.checked_sub(time).map(BootTime)
    }

    /// Converts this point to tokio's timer clock. The result is too late if the machine is
    /// suspended before then.
    pub fn to_timer_instant(&self) -> tokio::time::Instant {
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

/// An injectable clock, which a test can advance.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Clock {
    /// Creates a clock from a function that returns the time since some fixed point.
    pub fn new(time: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Clock(Arc::new(time))
    }

    /// Returns the time since the clock's fixed point.
    pub fn time(&self) -> Duration {
        (self.0)()
    }
}

impl Default for Clock {
    /// Creates a clock that follows [`BootTime`] and starts at zero now.
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

/// Detects suspensions of the machine by comparing the boot-time clock, which runs on during
/// a suspension, with the monotonic clock, which stops. Reads no clock itself: the caller
/// passes both times.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionWatch {
    /// Boot time minus monotonic time at the last check.
    offset: Duration,
}

/// Shortest difference that counts as a suspension. The two clocks are read one after the
/// other, so small differences occur without one.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

impl SuspensionWatch {
    /// Starts from the current readings of both clocks, measured from the same point in time.
    pub fn new(boot: Duration, steady: Duration) -> Self {
        SuspensionWatch {
            offset: boot.saturating_sub(steady),
        }
    }

    /// Returns how long the machine was suspended since the last check; `None` if it was not.
    pub fn check(&mut self, boot: Duration, steady: Duration) -> Option<Duration> {
        let offset = boot.saturating_sub(steady);
        let suspended = offset.checked_sub(self.offset)?;
        self.offset = offset;
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// Error of [`timeout_at`]: the deadline passed before the future completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the deadline has passed")]
pub struct DeadlinePassed;

/// Awaits a future until a deadline that includes time spent suspended. The timer alone
/// would fire late by the length of a suspension, so it is set again after each suspension
/// that the process detects.
///
/// # Errors
/// Returns [`DeadlinePassed`] if the deadline passes before the future completes.
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
            () = tokio::time::sleep_until(deadline.to_timer_instant()) => {
                if deadline.remaining().is_zero() {
                    return Err(DeadlinePassed);
                }
            }
            // This never fails: the sender is a static.
            _ = suspensions.changed() => {}
        }
    }
}

/// Sleeps until a point in time; time spent suspended counts.
pub async fn sleep_until(moment: BootTime) {
    // A pending future never completes, so the result is always `DeadlinePassed`.
    let _ = timeout_at(moment, std::future::pending::<()>()).await;
}

/// Returns the number of suspensions that this process has detected since it started.
pub fn suspensions() -> u64 {
    *SUSPENSIONS.borrow()
}

/// Watches for suspensions until the process ends and logs each of them.
pub async fn log_suspensions() {
    watch_suspensions(|suspended| {
        log::warn!(event = "machine_was_suspended", ms = suspended.as_millis() as u64; "");
    })
    .await;
}

/// Watches for suspensions until the process ends. Calls `on_resume` after each with its
/// length.
pub async fn watch_suspensions(on_resume: impl Fn(Duration)) {
    let (boot, steady) = (BootTime::now(), Instant::now());
    let mut watch = SuspensionWatch::new(Duration::ZERO, Duration::ZERO);
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(suspended) = watch.check(boot.elapsed(), steady.elapsed()) {
            SUSPENSIONS.send_modify(|count| *count += 1);
            on_resume(suspended);
        }
    }
}
