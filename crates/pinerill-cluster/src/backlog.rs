//! Estimates the slack of the queued items from the rate at which items complete. The module
//! performs no I/O and reads no clock.
//!
//! Nodes preempt items in favour of callers' calls only while the queue has slack: the capacity
//! given up now is regained later at the observed completion rate, bursts of calls included.
//! The slack that items must keep in reserve depends on how much slack items have left on
//! completion.

use std::collections::VecDeque;

/// Time constant of the mean completion rate, milliseconds. It spans several bursts of calls,
/// so that their period does not move the mean.
const RATE_WINDOW_MS: f64 = 10_000.0;
/// Number of completions from which the rate counts as known.
const MIN_COMPLETIONS: u64 = 6;
/// Share of its initial slack that an item keeps in reserve if items complete without any slack
/// left, or if their remaining slack is unknown: capacity that is given up before a fault is
/// missing after it.
const SLACK_RESERVE_SHARE: f64 = 0.5;
/// Share of initial slack left on completion from which items keep no reserve: they have more
/// than enough, and calls wait for the capacity that they reserve.
const AMPLE_SLACK_SHARE: f64 = 0.5;
/// Limits of the completion history: the number of entries kept, the age up to which an entry
/// counts (milliseconds), and the least number of entries that give an estimate.
const HISTORY_LENGTH: usize = 100;
const HISTORY_MAX_AGE_MS: u64 = 15_000;
const MIN_HISTORY: usize = 10;
/// Quantile of the remaining slack that is used as the estimate. A job whose items are all late
/// must show in it; a single item that was interrupted several times must not.
const TIGHT_QUANTILE: f64 = 0.1;
/// How long a computed slack is reused, milliseconds. Each lease request asks for it, and the
/// queue may be long.
const REFRESH_INTERVAL_MS: u64 = 100;

/// Exponentially weighted mean of the rate at which items complete.
#[derive(Debug)]
struct CompletionRate {
    started_ms: u64,
    updated_ms: u64,
    /// Number of completions, each weighted by its age.
    weight: f64,
    completions: u64,
}

impl CompletionRate {
    fn record(&mut self, now_ms: u64, count: u64) {
        self.weight = self.decayed_weight(now_ms) + count as f64;
        self.updated_ms = now_ms;
        self.completions += count;
    }

    fn decayed_weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * (-age_ms / RATE_WINDOW_MS).exp()
    }

    /// Returns the mean time between two completions, milliseconds; `None` if there were too
    /// few completions.
    fn interval_ms(&self, now_ms: u64) -> Option<f64> {
        if self.completions < MIN_COMPLETIONS {
            return None;
        }
        let elapsed_ms = now_ms.saturating_sub(self.started_ms) as f64;
        let window_ms = RATE_WINDOW_MS * (1.0 - (-elapsed_ms / RATE_WINDOW_MS).exp());
        Some(window_ms / self.decayed_weight(now_ms).max(f64::MIN_POSITIVE))
    }
}

/// Remaining slack of recently completed items.
#[derive(Debug, Default)]
struct SlackHistory {
    entries: VecDeque<(u64, f64)>,
}

impl SlackHistory {
    fn record(&mut self, now_ms: u64, remaining_share: f64) {
        self.entries.push_back((now_ms, remaining_share));
        if self.entries.len() > HISTORY_LENGTH {
            self.entries.pop_front();
        }
    }

    /// Returns the low quantile of the share of slack that items have left on completion;
    /// `None` if there are too few recent completions.
    fn tight_share(&self, now_ms: u64) -> Option<f64> {
        let recent = self
            .entries
            .iter()
            .filter(|(at_ms, _)| now_ms <= at_ms + HISTORY_MAX_AGE_MS);
        let mut shares: Vec<f64> = recent.map(|(_, share)| *share).collect();
        if shares.len() < MIN_HISTORY {
            return None;
        }
        shares.sort_unstable_by(f64::total_cmp);
        Some(shares[(shares.len() as f64 * TIGHT_QUANTILE) as usize])
    }

    /// Returns the share of its initial slack that an item keeps in reserve.
    fn reserve_share(&self, now_ms: u64) -> f64 {
        let tight_share = self.tight_share(now_ms).unwrap_or(0.0).max(0.0);
        let ample = (tight_share / AMPLE_SLACK_SHARE).min(1.0);
        SLACK_RESERVE_SHARE * (1.0 - ample)
    }
}

/// Deadline of a queued item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemDeadline {
    /// Time until the item is due, milliseconds; 0 if it is overdue.
    pub remaining_ms: u64,
    /// Time from the item's acceptance until it is due, milliseconds.
    pub allowed_ms: u64,
}

impl ItemDeadline {
    /// Returns the slack that the item had on acceptance if it runs for `run_ms`, milliseconds.
    pub fn allowed_slack_ms(&self, run_ms: u64) -> f64 {
        self.allowed_ms.saturating_sub(run_ms) as f64
    }
}

/// Slack of the queued items as of the last refresh, and the completion statistics behind it.
#[derive(Debug)]
pub struct Backlog {
    rate: CompletionRate,
    history: SlackHistory,
    /// Number of items leased to nodes.
    leased: usize,
    refreshed_ms: Option<u64>,
    /// Smallest slack of a queued item beyond its reserve, milliseconds; `None` if none is
    /// queued.
    min_slack_ms: Option<f64>,
}

impl Backlog {
    /// Creates an estimate without any completions.
    pub fn new(now_ms: u64) -> Self {
        Backlog {
            rate: CompletionRate {
                started_ms: now_ms,
                updated_ms: now_ms,
                weight: 0.0,
                completions: 0,
            },
            history: SlackHistory::default(),
            leased: 0,
            refreshed_ms: None,
            min_slack_ms: None,
        }
    }

    /// Records `count` completed items.
    pub fn record_completions(&mut self, now_ms: u64, count: usize) {
        self.rate.record(now_ms, count as u64);
    }

    /// Records the share of its initial slack that a completed item had left; 0 or less if it
    /// was late.
    pub fn record_remaining_slack(&mut self, now_ms: u64, remaining_share: f64) {
        self.history.record(now_ms, remaining_share);
    }

    /// Sets the number of items that are leased to nodes.
    pub fn set_leased(&mut self, items: usize) {
        self.leased = items;
    }

    /// Returns the expected time between two completions, milliseconds. It is 0 while no rate
    /// is known, so that an item's position in the queue does not reduce its slack. Shortly
    /// after the start, when few items can have completed, the number of running items bounds
    /// it from above.
    fn interval_ms(&self, now_ms: u64, run_ms: u64) -> f64 {
        let Some(observed_ms) = self.rate.interval_ms(now_ms) else {
            return 0.0;
        };
        let is_young = now_ms.saturating_sub(self.rate.started_ms) < RATE_WINDOW_MS as u64;
        match self.leased {
            leased if is_young && leased > 0 => observed_ms.min(run_ms as f64 / leased as f64),
            _ => observed_ms,
        }
    }

    /// Returns whether the slack is due for a refresh.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.refreshed_ms
            .is_none_or(|at| now_ms >= at + REFRESH_INTERVAL_MS)
    }

    /// Recomputes the slack from the queued items, given in queue order, if each runs for
    /// `run_ms`.
    pub fn refresh(
        &mut self,
        now_ms: u64,
        queued: impl Iterator<Item = ItemDeadline>,
        run_ms: u64,
    ) {
        self.refreshed_ms = Some(now_ms);
        let interval_ms = self.interval_ms(now_ms, run_ms);
        let reserve_share = self.history.reserve_share(now_ms);
        let slacks = queued.enumerate().map(|(ahead, item)| {
            let start_ms = interval_ms * (ahead + 1) as f64;
            let slack_ms = item.remaining_ms as f64 - start_ms - run_ms as f64;
            slack_ms - item.allowed_slack_ms(run_ms) * reserve_share
        });
        self.min_slack_ms = slacks.min_by(f64::total_cmp);
    }

    /// Returns the slack of the tightest queued item beyond its reserve, milliseconds; `None`
    /// if no item is queued.
    pub fn slack_ms(&self) -> Option<i64> {
        self.min_slack_ms.map(|ms| ms as i64)
    }
}
