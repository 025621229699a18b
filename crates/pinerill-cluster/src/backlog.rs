//! How tight the items are that wait for a node, against the pace at which items
//! end. Pure.
//!
//! Nodes let items give way to callers' calls only while the backlog has slack:
//! what is given away now is made up later at the pace that was seen, bursts of
//! calls included. How much slack it is to keep follows from how much items have left when
//! they end.

use std::collections::VecDeque;

/// Time over which the pace is a mean, milliseconds: several bursts of calls, so
/// that their rhythm does not move it.
const PACE_WINDOW_MS: f64 = 10_000.0;
/// Ends from which on the pace is known.
const LEAST_ENDS: u64 = 6;
/// Part of the slack with which an item was accepted that it is to keep where items end
/// without any left or nothing is known of that: what is given away before a fault is
/// missing behind it. On a fleet whose slots are short all the time, mean worth of 15 days
/// with faults is 0.638 without it, 0.684 with it, and 0.667 if no item gives way.
const KEPT_SLACK_PART: f64 = 0.5;
/// Part of their slack with which items end from which on they are to keep none: they have
/// more than enough, and calls wait for what they keep. On a fleet of 130 workers with room
/// for all but the bursts, the worth of a day rose from 0.815 and 0.857 to 0.892 (two runs
/// before, one after); where slots are short, it stayed within noise.
const AMPLE_SLACK_PART: f64 = 0.5;
/// Ends from which it is read how much slack items have left, the time for which an end
/// counts, milliseconds, and the least number that says something.
const REMEMBERED_ENDS: usize = 100;
const END_LIFE_MS: u64 = 15_000;
const LEAST_REMEMBERED: usize = 10;
/// Part of the ends that may have less slack than what is read: jobs whose items are all
/// late must show, one item that broke off several times must not.
const TIGHT_PART: f64 = 0.1;
/// How long a look at the backlog counts, milliseconds: each lease request asks
/// for it, and the backlog may be long.
const LOOK_LIFE_MS: u64 = 100;

/// Items that end, by time; an exponentially weighted mean.
#[derive(Debug)]
struct Pace {
    began_ms: u64,
    updated_ms: u64,
    /// Ends, each weighted by its age.
    weight: f64,
    ends: u64,
}

impl Pace {
    fn ended(&mut self, now_ms: u64, count: u64) {
        self.weight = self.faded(now_ms) + count as f64;
        self.updated_ms = now_ms;
        self.ends += count;
    }

    fn faded(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * (-age_ms / PACE_WINDOW_MS).exp()
    }

    /// Time from one end to the next, milliseconds; none if too few were seen.
    fn interval_ms(&self, now_ms: u64) -> Option<f64> {
        if self.ends < LEAST_ENDS {
            return None;
        }
        let lasted_ms = now_ms.saturating_sub(self.began_ms) as f64;
        let window_ms = PACE_WINDOW_MS * (1.0 - (-lasted_ms / PACE_WINDOW_MS).exp());
        Some(window_ms / self.faded(now_ms).max(f64::MIN_POSITIVE))
    }
}

/// With how much of their slack items end.
#[derive(Debug, Default)]
struct Punctuality {
    ends: VecDeque<(u64, f64)>,
}

impl Punctuality {
    fn ended(&mut self, now_ms: u64, left_part: f64) {
        self.ends.push_back((now_ms, left_part));
        if self.ends.len() > REMEMBERED_ENDS {
            self.ends.pop_front();
        }
    }

    /// Part of its slack that an item with little of it has at its end; none if too few
    /// ended lately.
    fn tight_part(&self, now_ms: u64) -> Option<f64> {
        let recent = self
            .ends
            .iter()
            .filter(|(at_ms, _)| now_ms <= at_ms + END_LIFE_MS);
        let mut parts: Vec<f64> = recent.map(|(_, part)| *part).collect();
        if parts.len() < LEAST_REMEMBERED {
            return None;
        }
        parts.sort_unstable_by(f64::total_cmp);
        Some(parts[(parts.len() as f64 * TIGHT_PART) as usize])
    }

    /// Part of its slack that an item is to keep.
    fn kept_part(&self, now_ms: u64) -> f64 {
        let tight_part = self.tight_part(now_ms).unwrap_or(0.0).max(0.0);
        let ample = (tight_part / AMPLE_SLACK_PART).min(1.0);
        KEPT_SLACK_PART * (1.0 - ample)
    }
}

/// Times of an item that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTime {
    /// Time until it is due, milliseconds.
    pub left_ms: u64,
    /// Time from its acceptance until it is due, milliseconds.
    pub allowed_ms: u64,
}

impl WaitingTime {
    /// Slack with which it was accepted, if items run so long.
    pub fn allowed_slack_ms(&self, run_ms: u64) -> f64 {
        self.allowed_ms.saturating_sub(run_ms) as f64
    }
}

/// What waits, as it was looked at last.
#[derive(Debug)]
pub struct Backlog {
    pace: Pace,
    punctuality: Punctuality,
    /// Items that nodes hold.
    held: usize,
    looked_ms: Option<u64>,
    /// Least slack of an item beyond what it is to keep, milliseconds.
    least_ms: Option<f64>,
}

impl Backlog {
    /// Nothing was seen yet.
    pub fn new(now_ms: u64) -> Self {
        Backlog {
            pace: Pace {
                began_ms: now_ms,
                updated_ms: now_ms,
                weight: 0.0,
                ends: 0,
            },
            punctuality: Punctuality::default(),
            held: 0,
            looked_ms: None,
            least_ms: None,
        }
    }

    /// Items have ended.
    pub fn ended(&mut self, now_ms: u64, count: usize) {
        self.pace.ended(now_ms, count as u64);
    }

    /// An item ended with this part of its slack left; none or less if it was late.
    pub fn ended_with(&mut self, now_ms: u64, left_part: f64) {
        self.punctuality.ended(now_ms, left_part);
    }

    /// Nodes hold so many items.
    pub fn holds(&mut self, items: usize) {
        self.held = items;
    }

    /// Time from one end to the next that can be reckoned with, milliseconds. While no
    /// pace is known, the order alone says nothing; while few items can have ended, those
    /// that run say how many will.
    fn interval_ms(&self, now_ms: u64, run_ms: u64) -> f64 {
        let Some(seen_ms) = self.pace.interval_ms(now_ms) else {
            return 0.0;
        };
        let is_young = now_ms.saturating_sub(self.pace.began_ms) < PACE_WINDOW_MS as u64;
        match self.held {
            held if is_young && held > 0 => seen_ms.min(run_ms as f64 / held as f64),
            _ => seen_ms,
        }
    }

    /// Whether the backlog is to be looked at again.
    pub fn is_old(&self, now_ms: u64) -> bool {
        self.looked_ms.is_none_or(|at| now_ms >= at + LOOK_LIFE_MS)
    }

    /// Looks at the items that wait, in their order, if items run so long.
    pub fn look(&mut self, now_ms: u64, waiting: impl Iterator<Item = WaitingTime>, run_ms: u64) {
        self.looked_ms = Some(now_ms);
        let interval_ms = self.interval_ms(now_ms, run_ms);
        let kept_part = self.punctuality.kept_part(now_ms);
        let slacks = waiting.enumerate().map(|(ahead, item)| {
            let begins_ms = interval_ms * (ahead + 1) as f64;
            let slack_ms = item.left_ms as f64 - begins_ms - run_ms as f64;
            slack_ms - item.allowed_slack_ms(run_ms) * kept_part
        });
        self.least_ms = slacks.min_by(f64::total_cmp);
    }

    /// Slack of the tightest item that waits, beyond what it is to keep, milliseconds;
    /// none if nothing waits.
    pub fn slack_ms(&self) -> Option<i64> {
        self.least_ms.map(|ms| ms as i64)
    }
}
