//! Selects the running items that yield their slots to waiting calls. Does no I/O.
//!
//! A preempted item ends its run and resumes later behind its last event, so its text so far is
//! kept. The cost is that a worker processes its prompt and text again and that it has to wait
//! for another slot. The job loses nothing as long as the item has *slack*: time between its
//! expected end and its due time. Items with the most slack are therefore preempted first. An
//! item whose slack does not cover the usual cost of a preemption keeps its slot, and so do all
//! items that can be on time while the items queued at the leader have no slack. An item that
//! will be late in any case is preempted before all others: its job gains nothing if it ends
//! sooner.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::{RequiredSoftware, WorkerSoftware};
use crate::run_time::RunTime;

/// Assumed run time of an item, as a share of the time from its lease to its due time, until a
/// first item has completed on this node: right after a start there is no better estimate.
const INITIAL_RUN_TIME_SHARE: f64 = 0.5;

/// Milliseconds after a preemption during which no other item of the service is preempted. In
/// this time the calls that caused it take the freed slots and leave the queue.
const PREEMPTION_COOLDOWN_MS: u64 = 8;

/// Identifies one run of an item on this node.
pub type RunId = u64;

/// An item that occupies a slot of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem {
    /// Service whose slot the item occupies.
    pub service: String,
    /// Software of the worker.
    pub software: WorkerSoftware,
    /// Due time of the result in milliseconds on the node's clock; may be in the past.
    pub due_ms: i64,
    /// Start of this run in milliseconds on the node's clock.
    pub began_ms: u64,
    /// Total duration of the item's earlier runs in milliseconds, as at a worker of usual pace.
    pub ran_ms: f64,
    /// Time from the lease to the due time in milliseconds.
    pub allowed_ms: f64,
    /// Time that work takes at the worker of this run, relative to a worker of usual pace.
    pub pace: f64,
}

/// Inputs of the preemption decision, for logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptionBasis {
    /// Number of running items.
    pub running: usize,
    /// Largest slack of a running item in milliseconds; None if no running item can be on time.
    pub most_slack_ms: Option<i64>,
    /// Smallest slack of an item queued at the leader in milliseconds, less the slack to be kept in
    /// reserve; None if no queued item can be on time.
    pub backlog_slack_ms: Option<i64>,
    /// Delay that a preemption rarely exceeds in milliseconds; 0 before the first one.
    pub cost_ms: i64,
}

/// Whether an item can be on time, and by how much.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Timing {
    /// The item will be late even if it keeps running.
    Late,
    /// The item can be on time and be delayed by this many milliseconds.
    Slack(f64),
}

/// The running items of a node, with estimates of run time and of interruption time.
#[derive(Debug, Default)]
pub struct Preemption {
    next_run: RunId,
    running: HashMap<RunId, RunningItem>,
    run_time: RunTime,
    /// Time from a preemption to the item's next event.
    interruption_time: RunTime,
    /// Smallest slack of an item queued at the leader in milliseconds, less the slack to be kept in
    /// reserve; None if no queued item can be on time.
    backlog_slack_ms: Option<i64>,
    /// Time of the last preemption per service in milliseconds on the node's clock.
    last_preemption_ms: HashMap<String, u64>,
}

impl Preemption {
    /// Registers the start of a run of an item, be it the first or a later one.
    pub fn begin(&mut self, item: RunningItem) -> RunId {
        let run = self.next_run;
        self.next_run += 1;
        self.running.insert(run, item);
        run
    }

    /// Removes a run that has ended. Does nothing if it is already removed.
    pub fn end(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    /// Returns the number of running items.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Records the total time that a completed item ran, as at workers of usual pace.
    pub fn record_run_time(&mut self, time: Duration) {
        self.run_time.record(time);
    }

    /// Records the time from a preemption to the item's next event.
    pub fn record_interruption(&mut self, time: Duration) {
        self.interruption_time.record(time);
    }

    /// Returns the estimate of the total run time of an item at a worker of usual pace.
    pub fn run_time(&self) -> &RunTime {
        &self.run_time
    }

    /// Sets the smallest slack, in milliseconds, of the items queued at the leader; None if no
    /// queued item can be on time.
    pub fn set_backlog_slack(&mut self, slack_ms: Option<i64>) {
        self.backlog_slack_ms = slack_ms;
    }

    /// Selects and removes the runs that yield to `calls` calls waiting for a slot of `service`, at
    /// most one run per call. Returns no run within `PREEMPTION_COOLDOWN_MS` of the service's last
    /// preemption.
    pub fn preempt(&mut self, now_ms: u64, service: &str, calls: usize) -> Vec<RunId> {
        self.preempt_at(now_ms, service, RequiredSoftware::Any, calls)
    }

    /// Like [`Preemption::preempt`], for calls that wait for a worker with this software.
    pub fn preempt_at(
        &mut self,
        now_ms: u64,
        service: &str,
        software: RequiredSoftware,
        calls: usize,
    ) -> Vec<RunId> {
        let last_ms = self.last_preemption_ms.get(service);
        if calls == 0 || last_ms.is_some_and(|at| now_ms < at + PREEMPTION_COOLDOWN_MS) {
            return Vec::new();
        }
        let of_service = self
            .running
            .iter()
            .filter(|(_, item)| item.service == service && software.allows(&item.software));
        let mut order: Vec<(f64, RunId)> = of_service
            .filter_map(|(run, item)| Some((self.preemption_score(now_ms, item)?, *run)))
            .collect();
        order.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
        order.truncate(calls);
        for (_, run) in &order {
            self.running.remove(run);
        }
        if !order.is_empty() {
            self.last_preemption_ms.insert(service.to_owned(), now_ms);
        }
        order.into_iter().map(|(_, run)| run).collect()
    }

    /// Returns the number of items that could be preempted now, by service.
    pub fn preemptible(&self, now_ms: u64) -> HashMap<String, usize> {
        let mut yielding = HashMap::new();
        for item in self.running.values() {
            if self.preemption_score(now_ms, item).is_some() {
                *yielding.entry(item.service.clone()).or_default() += 1;
            }
        }
        yielding
    }

    /// Returns the inputs of the preemption decision, for logging.
    pub fn basis(&self, now_ms: u64) -> PreemptionBasis {
        let slacks = self
            .running
            .values()
            .filter_map(|item| match self.timing(now_ms, item) {
                Timing::Late => None,
                Timing::Slack(slack_ms) => Some(slack_ms as i64),
            });
        PreemptionBasis {
            running: self.running.len(),
            most_slack_ms: slacks.max(),
            backlog_slack_ms: self.backlog_slack_ms,
            cost_ms: self.interruption_time.longest_ms().unwrap_or(0.0) as i64,
        }
    }

    /// Returns the preemption priority of an item: items with higher scores are preempted first.
    /// None if the item must keep its slot.
    fn preemption_score(&self, now_ms: u64, item: &RunningItem) -> Option<f64> {
        match self.timing(now_ms, item) {
            Timing::Late => Some(f64::INFINITY),
            Timing::Slack(slack_ms) => {
                let cost_ms = self.interruption_time.longest_ms().unwrap_or(0.0);
                let backlog_ms = self.backlog_slack_ms.map_or(f64::INFINITY, |ms| ms as f64);
                (slack_ms > cost_ms && backlog_ms > 0.0).then_some(slack_ms)
            }
        }
    }

    /// Estimates from past run times whether an item can be on time, and by how much. It counts as
    /// late only if even the shortest expected run time is too long; its slack assumes the longest.
    fn timing(&self, now_ms: u64, item: &RunningItem) -> Timing {
        let until_due_ms = item.due_ms as f64 - now_ms as f64;
        let ran_ms = item.ran_ms + now_ms.saturating_sub(item.began_ms) as f64 / item.pace;
        let remaining_ms = |whole_ms: Option<f64>| {
            let whole_ms = whole_ms.unwrap_or(item.allowed_ms * INITIAL_RUN_TIME_SHARE);
            (whole_ms - ran_ms).max(0.0) * item.pace
        };
        if remaining_ms(self.run_time.shortest_ms()) > until_due_ms {
            return Timing::Late;
        }
        Timing::Slack(until_due_ms - remaining_ms(self.run_time.longest_ms()))
    }
}
