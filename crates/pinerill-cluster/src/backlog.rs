//! How tight the items are that wait for a node, against the pace at which items
//! end. Pure.
//!
//! Nodes let items give way to callers' calls only while the backlog has slack:
//! what is given away now is made up later at the pace that was seen, bursts of
//! calls included.

/// Time over which the pace is a mean, milliseconds: several bursts of calls, so
/// that their rhythm does not move it.
const PACE_WINDOW_MS: f64 = 10_000.0;
/// Ends from which on the pace is known.
const LEAST_ENDS: u64 = 6;
/// Part of the slack with which an item was accepted that it is to keep: what is
/// given away before a fault is missing behind it. On a fleet whose slots are short all
/// the time, mean worth of 15 days with faults is 0.638 without it, 0.684 with it, and
/// 0.667 if no item gives way.
const KEPT_SLACK_PART: f64 = 0.5;
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

/// Times of an item that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTime {
    /// Time until it is due, milliseconds.
    pub left_ms: u64,
    /// Time from its acceptance until it is due, milliseconds.
    pub allowed_ms: u64,
}

/// What waits, as it was looked at last.
#[derive(Debug)]
pub struct Backlog {
    pace: Pace,
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
            looked_ms: None,
            least_ms: None,
        }
    }

    /// Items have ended.
    pub fn ended(&mut self, now_ms: u64, count: usize) {
        self.pace.ended(now_ms, count as u64);
    }

    /// Whether the backlog is to be looked at again.
    pub fn is_old(&self, now_ms: u64) -> bool {
        self.looked_ms.is_none_or(|at| now_ms >= at + LOOK_LIFE_MS)
    }

    /// Looks at the items that wait, in their order, if items run so long.
    pub fn look(&mut self, now_ms: u64, waiting: impl Iterator<Item = WaitingTime>, run_ms: u64) {
        self.looked_ms = Some(now_ms);
        // While no pace is known, the order alone says nothing.
        let interval_ms = self.pace.interval_ms(now_ms).unwrap_or(0.0);
        let slacks = waiting.enumerate().map(|(ahead, item)| {
            let begins_ms = interval_ms * (ahead + 1) as f64;
            let slack_ms = item.left_ms as f64 - begins_ms - run_ms as f64;
            slack_ms - kept_ms(&item, run_ms)
        });
        self.least_ms = slacks.min_by(f64::total_cmp);
    }

    /// Slack of the tightest item that waits, beyond what it is to keep, milliseconds;
    /// none if nothing waits.
    pub fn slack_ms(&self) -> Option<i64> {
        self.least_ms.map(|ms| ms as i64)
    }
}

fn kept_ms(item: &WaitingTime, run_ms: u64) -> f64 {
    item.allowed_ms.saturating_sub(run_ms) as f64 * KEPT_SLACK_PART
}
