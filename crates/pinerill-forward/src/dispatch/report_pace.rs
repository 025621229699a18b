//! Decides when a node reports its queue to the zone. Pure.

use super::report::QueuePosition;

/// Pause after which a queue is reported again while calls wait, in milliseconds.
const REPORT_PAUSE_MS: u64 = 50;
/// Minimum time between two reports, in milliseconds. A call of a better rank or part than those
/// reported is told to the zone after this time.
pub const MIN_PAUSE_MS: u64 = 10;
/// Pause between two reports of a node without waiting calls whose calls use slots while calls wait
/// elsewhere, in milliseconds. Less than half the time for which a report counts.
const IDLE_PAUSE_MS: u64 = 250;

/// What a node has to report.
#[derive(Debug)]
pub struct Occasion<H> {
    /// Whether calls wait here.
    pub calls_wait: bool,
    /// Whether calls of this node use slots while calls wait at other nodes of the zone.
    pub uses_slots_wanted_elsewhere: bool,
    /// Position of the first call of each service.
    pub heads: H,
}

/// What was reported last, and when.
#[derive(Debug, Default)]
pub struct ReportPace {
    reported_ms: Option<u64>,
    /// Whether the last report listed waiting calls or slots in use.
    has_content: bool,
    /// Best rank and part among the heads of the last report.
    best: Option<(u32, bool)>,
}

impl ReportPace {
    /// Returns whether the zone knows that there is nothing to report here.
    pub fn is_idle(&self) -> bool {
        !self.has_content
    }

    /// Returns whether a report is due, and counts it as sent then.
    pub fn is_due(
        &mut self,
        now_ms: u64,
        occasion: Occasion<impl Iterator<Item = QueuePosition>>,
    ) -> bool {
        let best = occasion
            .heads
            .map(|head| (head.rank, head.over_share))
            .min();
        let has_content = occasion.calls_wait || occasion.uses_slots_wanted_elsewhere;
        let is_better = match (best, self.best) {
            (Some(best), Some(known)) => best < known,
            (best, known) => best.is_some() && known.is_none(),
        };
        let pause_ms = match (occasion.calls_wait, has_content) {
            (true, _) if is_better => MIN_PAUSE_MS,
            (true, _) => REPORT_PAUSE_MS,
            (false, true) if self.best.is_none() => IDLE_PAUSE_MS,
            (false, true) => MIN_PAUSE_MS,
            (false, false) if self.has_content => MIN_PAUSE_MS,
            (false, false) => return false,
        };
        if self.reported_ms.is_some_and(|at| now_ms < at + pause_ms) {
            return false;
        }
        *self = ReportPace {
            reported_ms: Some(now_ms),
            has_content,
            best,
        };
        true
    }
}
