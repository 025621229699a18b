//! Which running items give way to callers' calls that wait. Pure.
//!
//! An item that gives way ends its run and goes on later behind its last event,
//! so that its text so far is kept; its prompt and text are read once more, and it
//! has to find a place again. That is free for its job as long as the item has
//! *slack*: time between the end that is expected of it and the time at which it
//! is due. So the items with the most slack give way first, and one whose slack
//! does not cover what giving way usually costs keeps its place. An item that will
//! be late whatever happens gives way before all others: its job gains nothing if
//! it ends sooner.

use std::collections::HashMap;
use std::time::Duration;

use pinerill_calls::directory::WorkerId;

use super::run_time::RunTime;

/// Names one run of an item at this node.
pub type RunId = u64;

/// An item that runs at a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem {
    /// Where it runs.
    pub worker: WorkerId,
    /// When its result is due, on the node's clock, milliseconds; may have passed.
    pub due_ms: i64,
    /// When this run began, on the node's clock, milliseconds.
    pub began_ms: u64,
    /// Time that earlier runs of it took, milliseconds.
    pub ran_ms: f64,
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
    /// Slack of the tightest item that waits at the leader, milliseconds.
    backlog_slack_ms: Option<i64>,
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
        self.run_time.ended(time);
    }

    /// An item that gave way has its next event after this time.
    pub fn resumed(&mut self, time: Duration) {
        self.interruption.ended(time);
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

    /// The runs that are to end for `calls` calls that wait, at most as many. They
    /// are taken off.
    pub fn give_way(&mut self, now_ms: u64, calls: usize) -> Vec<RunId> {
        if calls == 0 {
            return Vec::new();
        }
        let mut order: Vec<(f64, RunId)> = self
            .running
            .iter()
            .filter_map(|(run, item)| Some((self.readiness(now_ms, item)?, *run)))
            .collect();
        order.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
        order.truncate(calls);
        for (_, run) in &order {
            self.running.remove(run);
        }
        order.into_iter().map(|(_, run)| run).collect()
    }

    /// Items that would give way now.
    pub fn able(&self, now_ms: u64) -> usize {
        let running = self.running.values();
        running
            .filter(|item| self.readiness(now_ms, item).is_some())
            .count()
    }

    /// How willingly an item gives way: the more, the sooner. None if it keeps
    /// its place.
    fn readiness(&self, now_ms: u64, item: &RunningItem) -> Option<f64> {
        match self.spare(now_ms, item)? {
            Spare::Late => Some(f64::INFINITY),
            Spare::Slack(slack_ms) => {
                let cost_ms = self.interruption.longest_ms().unwrap_or(0.0);
                let backlog_ms = self.backlog_slack_ms.map_or(f64::INFINITY, |ms| ms as f64);
                (slack_ms.min(backlog_ms) > cost_ms).then_some(slack_ms)
            }
        }
    }

    /// None while it is not known how long items run.
    fn spare(&self, now_ms: u64, item: &RunningItem) -> Option<Spare> {
        let until_due_ms = item.due_ms as f64 - now_ms as f64;
        let ran_ms = item.ran_ms + now_ms.saturating_sub(item.began_ms) as f64;
        let left_ms = |whole_ms: f64| (whole_ms - ran_ms).max(0.0);
        let at_least_ms = left_ms(self.run_time.shortest_ms()?);
        if at_least_ms > until_due_ms {
            return Some(Spare::Late);
        }
        let at_most_ms = left_ms(self.run_time.longest_ms()?);
        Some(Spare::Slack(until_due_ms - at_most_ms))
    }
}
