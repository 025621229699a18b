//! Pace of workers: how long work takes at a worker compared with others of its service. Pure.

use serde::{Deserialize, Serialize};

use super::WorkerKey;

/// Shortest and longest time between two events, in microseconds, that tells a worker's pace.
/// Shorter ones are events that arrived together, longer ones stalls of a process or machine.
const GAP_RANGE_US: std::ops::RangeInclusive<u64> = 100..=10_000_000;
/// Number of gaps that a window holds.
const WINDOW_GAPS: usize = 15;
/// Shortest time in milliseconds between two gaps of a window, so that a window of a busy worker
/// spans some seconds and no moment of slow work fills most of it.
const GAP_INTERVAL_MS: u64 = 200;
/// Age in milliseconds at which an observation counts half.
const HALF_WEIGHT_AGE_MS: f64 = 10_000.0;
/// Age in milliseconds from which an observation does not count.
pub(super) const OBSERVATION_LIFETIME_MS: u64 = 30_000;
/// Least number of unexpired gaps with which the pace of a worker is known. They all count in full
/// here, whatever their age: otherwise the pace of a worker that gets few calls would become known
/// and unknown in turn.
const KNOWN_GAPS: u32 = 6;
/// Largest difference from the median of the service that counts as none.
const TOLERANCE: f64 = 0.2;
/// Difference below which a worker that was out of tolerance counts as within it again.
const REENTRY_TOLERANCE: f64 = 0.15;
/// Bounds of a pace.
const MIN_PACE: f64 = 0.25;
const MAX_PACE: f64 = 4.0;

/// Pace of a worker that works as usual, or whose pace is unknown.
pub const USUAL_PACE: f64 = 1.0;

/// Pace of one worker as one node has observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPace {
    /// The worker.
    pub worker: WorkerKey,
    /// Usual time between two events of a stream there, in microseconds.
    pub event_gap_us: u32,
    /// Number of gaps behind the observation, up to 255.
    pub samples: u8,
}

/// Usual gap of a worker as one node has observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Usual time between two events, in microseconds.
    pub gap_us: u32,
    /// Number of gaps behind it.
    pub samples: u8,
    /// Time of the observation in milliseconds on the node's clock.
    pub at_ms: u64,
}

impl Observation {
    /// Returns the observation in another node's message, unless its values are absurd.
    pub fn from_peer(now_ms: u64, pace: &WorkerPace) -> Option<Self> {
        let valid = GAP_RANGE_US.contains(&u64::from(pace.event_gap_us)) && pace.samples > 0;
        valid.then_some(Observation {
            gap_us: pace.event_gap_us,
            samples: pace.samples.min(WINDOW_GAPS as u8),
            at_ms: now_ms,
        })
    }

    /// Returns whether the observation is too old to count.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) >= OBSERVATION_LIFETIME_MS
    }

    /// Returns the number of gaps as it counts at the observation's age.
    fn weight(&self, now_ms: u64) -> f64 {
        if self.is_expired(now_ms) {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        f64::from(self.samples) * 0.5_f64.powf(age_ms / HALF_WEIGHT_AGE_MS)
    }
}

/// The latest gaps of one worker at this node.
#[derive(Debug, Clone, Default)]
pub struct GapWindow {
    gaps_us: [u32; WINDOW_GAPS],
    count: usize,
    next: usize,
    last_ms: Option<u64>,
}

impl GapWindow {
    /// Adds a gap in microseconds. Returns false if it doesn't count: it is absurd, or the last one
    /// is too recent.
    pub fn record(&mut self, now_ms: u64, gap_us: u64) -> bool {
        let is_early = |last_ms: u64| now_ms < last_ms.saturating_add(GAP_INTERVAL_MS);
        if !GAP_RANGE_US.contains(&gap_us) || self.last_ms.is_some_and(is_early) {
            return false;
        }
        if self.observation().is_some_and(|one| one.is_expired(now_ms)) {
            *self = GapWindow::default();
        }
        self.gaps_us[self.next] = u32::try_from(gap_us).unwrap_or(u32::MAX);
        self.next = (self.next + 1) % WINDOW_GAPS;
        self.count = (self.count + 1).min(WINDOW_GAPS);
        self.last_ms = Some(now_ms);
        true
    }

    /// Returns the median of the gaps, as of the last one; `None` before the first.
    pub fn observation(&self) -> Option<Observation> {
        let at_ms = self.last_ms?;
        let mut gaps = self.gaps_us;
        let known = &mut gaps[..self.count];
        known.sort_unstable();
        Some(Observation {
            gap_us: known[self.count / 2],
            samples: self.count as u8,
            at_ms,
        })
    }
}

/// Returns the usual gap of a worker, in microseconds, from the observations of several nodes: their
/// median by the number of gaps behind them. `None` if too few gaps are behind them.
pub fn combined_gap_us(now_ms: u64, observations: &mut [Observation]) -> Option<f64> {
    let current = observations.iter().filter(|one| !one.is_expired(now_ms));
    let gaps: u32 = current.map(|one| u32::from(one.samples)).sum();
    if gaps < KNOWN_GAPS {
        return None;
    }
    observations.sort_unstable_by_key(|one| one.gap_us);
    let weights = observations.iter().map(|one| one.weight(now_ms));
    let total: f64 = weights.sum();
    let mut counted = 0.0;
    let middle = observations.iter().find(|one| {
        counted += one.weight(now_ms);
        counted >= total / 2.0
    });
    middle.map(|one| f64::from(one.gap_us))
}

/// Returns the median; `None` without values.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let upper = *values.get(values.len() / 2)?;
    match values.len() % 2 {
        0 => Some((values[values.len() / 2 - 1] + upper) / 2.0),
        _ => Some(upper),
    }
}

/// Returns the pace of a worker with this gap at a service with this median. A worker within the
/// tolerance has the usual pace; one that was out of it returns only when it is clearly within.
pub fn pace(gap_us: f64, median_us: f64, was_out: bool) -> f64 {
    let ratio = gap_us / median_us;
    let tolerance = if was_out {
        REENTRY_TOLERANCE
    } else {
        TOLERANCE
    };
    if !ratio.is_finite() || (ratio - USUAL_PACE).abs() <= tolerance {
        return USUAL_PACE;
    }
    ratio.clamp(MIN_PACE, MAX_PACE)
}
