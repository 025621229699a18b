//! Measures the time between the events of one attempt's stream. Pure: times are arguments.
//!
//! Times are only measured while the stream is read without delay: what waits in buffers while a
//! caller reads slowly or the machine is suspended tells nothing about the worker.

use std::time::Duration;

use pinerill_process::clock::BootTime;

/// Longest time from an event to the next read for which the gap counts.
const MAX_READ_DELAY: Duration = Duration::from_millis(5);
/// Number of gaps of which the median is reported.
const GAPS_PER_REPORT: usize = 4;

/// Measures the gaps of one attempt at one worker.
#[derive(Debug)]
pub struct GapMeter {
    began: BootTime,
    last_event: Option<BootTime>,
    gaps: Vec<Duration>,
    suspensions: u64,
    /// Whether this attempt sends the stream from its start and was always read without delay.
    is_unhindered: bool,
}

impl GapMeter {
    /// Begins with the head of the worker's response; `suspensions` counts those of the machine.
    pub fn new(began: BootTime, suspensions: u64) -> Self {
        GapMeter {
            began,
            last_event: None,
            gaps: Vec::with_capacity(GAPS_PER_REPORT),
            suspensions,
            is_unhindered: true,
        }
    }

    /// Begins an attempt that continues a stream, so that it isn't the time of a whole run.
    pub fn resumed(began: BootTime, suspensions: u64) -> Self {
        GapMeter {
            is_unhindered: false,
            ..GapMeter::new(began, suspensions)
        }
    }

    /// Records that the next piece is read from now on.
    pub fn begin_read(&mut self, now: BootTime) {
        let is_late = |last: BootTime| now.duration_since(last) > MAX_READ_DELAY;
        if self.last_event.is_some_and(is_late) {
            self.last_event = None;
            self.is_unhindered = false;
        }
    }

    /// Records events that arrived in one read. Returns the median of the latest gaps once there
    /// are enough.
    pub fn record_events(
        &mut self,
        now: BootTime,
        count: usize,
        suspensions: u64,
    ) -> Option<Duration> {
        let last = self.last_event.replace(now);
        if suspensions != self.suspensions {
            self.suspensions = suspensions;
            self.is_unhindered = false;
            return None;
        }
        let events = u32::try_from(count).ok().filter(|events| *events > 0)?;
        self.gaps.push(now.duration_since(last?) / events);
        if self.gaps.len() < GAPS_PER_REPORT {
            return None;
        }
        self.take_gap()
    }

    /// Returns the median of the gaps not reported yet; `None` without any.
    pub fn take_gap(&mut self) -> Option<Duration> {
        self.gaps.sort_unstable();
        let gap = self.gaps.get(self.gaps.len() / 2).copied();
        self.gaps.clear();
        gap
    }

    /// Returns the duration of a stream that has ended; `None` if the attempt continued another one,
    /// or the duration may include delays that are not the worker's.
    pub fn run_time(&self, now: BootTime) -> Option<Duration> {
        self.is_unhindered.then(|| now.duration_since(self.began))
    }
}
