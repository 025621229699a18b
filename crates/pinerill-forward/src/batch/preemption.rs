//! Which running items give way to callers' calls that wait. Pure.
//!
//! An item that gives way ends its run and goes on later behind its last event,
//! so that its text so far is kept; its prompt and text are read once more, and it
//! has to find a place again. That is free for its job as long as the item has
//! *slack*: time between the end that is expected of it and the time at which it
//! is due. So the items with the most slack give way first, and one whose slack
//! does not cover what giving way usually costs keeps its place, as all do while the
//! items that wait for a node have no slack. An item that will be late whatever
//! happens gives way before all others: its job gains nothing if it ends sooner.
//!
//! On a fleet of 12 workers whose calls come in bursts, beside items, the mean worth
//! of 15 days with faults is 0.742 without preemption and 0.780 with it (five days,
//! three seeds each).

use std::collections::HashMap;
use std::time::Duration;

use crate::run_time::RunTime;

/// Part of the time until it is due that an item is taken to run while no item has
/// ended here: right after a start nothing better is known.
const FIRST_GUESS: f64 = 0.5;

/// Time after items gave way in which no others do, milliseconds: until the calls for
/// which they did have taken their places and wait no more.
const SETTLING_MS: u64 = 8;

/// Names one run of an item at this node.
pub type RunId = u64;

/// An item that runs at a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem {
    /// The service whose place it has.
    pub service: String,
    /// When its result is due, on the node's clock, milliseconds; may have passed.
    pub due_ms: i64,
    /// When this run began, on the node's clock, milliseconds.
    pub began_ms: u64,
    /// Time that earlier runs of it took, milliseconds.
    pub ran_ms: f64,
    /// Time from when it was leased until it is due, milliseconds.
    pub allowed_ms: f64,
}

/// What decides whether items give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptionBasis {
    /// Items that run.
    pub running: usize,
    /// Slack of the running item that has the most, milliseconds; none if none can
    /// be on time.
    pub most_slack_ms: Option<i64>,
    /// Slack of the tightest item that waits at the leader, milliseconds.
    pub backlog_slack_ms: Option<i64>,
    /// What giving way usually costs an item, milliseconds.
    pub cost_ms: i64,
}

/// What an item can spare.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Spare {
    /// It will be late whatever happens.
    Late,
    /// It can be on time; milliseconds that it can lose.
    Slack(f64),
}

/// The running items of a node and what is known of their times.
#[derive(Debug, Default)]
pub struct Preemption {
    next_run: RunId,
    running: HashMap<RunId, RunningItem>,
    run_time: RunTime,
    /// Time from giving way to the next event.
    interruption: RunTime,
    /// Slack of the tightest item that waits at the leader, beyond what it is to
    /// keep, milliseconds; none if none waits.
    backlog_slack_ms: Option<i64>,
    /// When items of each service last gave way, on the node's clock.
    gave_way_ms: HashMap<String, u64>,
}

impl Preemption {
    /// An item begins to run or goes on.
    pub fn begin(&mut self, item: RunningItem) -> RunId {
        let run = self.next_run;
        self.next_run += 1;
        self.running.insert(run, item);
        run
    }

    /// A run has ended; nothing if it had.
    pub fn end(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    /// Items that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// A whole item took so long at workers.
    pub fn item_ended(&mut self, time: Duration) {
        self.run_time.record(time);
    }

    /// An item that gave way has its next event after this time.
    pub fn resumed(&mut self, time: Duration) {
        self.interruption.record(time);
    }

    /// Time that items usually run.
    pub fn run_time(&self) -> &RunTime {
        &self.run_time
    }

    /// The leader tells the slack of what waits there; none if nothing does that
    /// could still be on time.
    pub fn take_backlog(&mut self, slack_ms: Option<i64>) {
        self.backlog_slack_ms = slack_ms;
    }

    /// The runs that are to end for `calls` calls that wait for a place of a service,
    /// at most as many; none for a moment after the last ones. They are taken off.
    pub fn preempt(&mut self, now_ms: u64, service: &str, calls: usize) -> Vec<RunId> {
        let last_ms = self.gave_way_ms.get(service);
        if calls == 0 || last_ms.is_some_and(|at| now_ms < at + SETTLING_MS) {
            return Vec::new();
        }
        let of_service = self
            .running
            .iter()
            .filter(|(_, item)| item.service == service);
        let mut order: Vec<(f64, RunId)> = of_service
            .filter_map(|(run, item)| Some((self.readiness(now_ms, item)?, *run)))
            .collect();
        order.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
        order.truncate(calls);
        for (_, run) in &order {
            self.running.remove(run);
        }
        if !order.is_empty() {
            self.gave_way_ms.insert(service.to_owned(), now_ms);
        }
        order.into_iter().map(|(_, run)| run).collect()
    }

    /// Items that could give way now, by service.
    pub fn preemptible(&self, now_ms: u64) -> HashMap<String, usize> {
        let mut yielding = HashMap::new();
        for item in self.running.values() {
            if self.readiness(now_ms, item).is_some() {
                *yielding.entry(item.service.clone()).or_default() += 1;
            }
        }
        yielding
    }

    /// What decides whether items give way, for the log.
    pub fn basis(&self, now_ms: u64) -> PreemptionBasis {
        let slacks = self
            .running
            .values()
            .filter_map(|item| match self.spare(now_ms, item) {
                Spare::Late => None,
                Spare::Slack(slack_ms) => Some(slack_ms as i64),
            });
        PreemptionBasis {
            running: self.running.len(),
            most_slack_ms: slacks.max(),
            backlog_slack_ms: self.backlog_slack_ms,
            cost_ms: self.interruption.longest_ms().unwrap_or(0.0) as i64,
        }
    }

    /// How willingly an item gives way: the more, the sooner. None if it keeps
    /// its place.
    fn readiness(&self, now_ms: u64, item: &RunningItem) -> Option<f64> {
        match self.spare(now_ms, item) {
            Spare::Late => Some(f64::INFINITY),
            Spare::Slack(slack_ms) => {
                let cost_ms = self.interruption.longest_ms().unwrap_or(0.0);
                let backlog_ms = self.backlog_slack_ms.map_or(f64::INFINITY, |ms| ms as f64);
                (slack_ms > cost_ms && backlog_ms > 0.0).then_some(slack_ms)
            }
        }
    }

    fn spare(&self, now_ms: u64, item: &RunningItem) -> Spare {
        let until_due_ms = item.due_ms as f64 - now_ms as f64;
        let ran_ms = item.ran_ms + now_ms.saturating_sub(item.began_ms) as f64;
        let left_ms = |whole_ms: Option<f64>| {
            let whole_ms = whole_ms.unwrap_or(item.allowed_ms * FIRST_GUESS);
            (whole_ms - ran_ms).max(0.0)
        };
        if left_ms(self.run_time.shortest_ms()) > until_due_ms {
            return Spare::Late;
        }
        Spare::Slack(until_due_ms - left_ms(self.run_time.longest_ms()))
    }
}
