//! The runs of items on this node. `item` registers each run here, and `dispatch` preempts runs
//! when calls wait for slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::fleet::RequiredSoftware;

use super::preemption::{Preemption, RunId, RunningItem};

/// Minimum interval, in milliseconds, between two log lines about a preemption that freed no slot.
const NO_PREEMPTION_LOG_INTERVAL_MS: u64 = 200;

#[derive(Default)]
struct RunsState {
    preemption: Preemption,
    /// Channels that signal runs to stop.
    stop_senders: HashMap<RunId, oneshot::Sender<()>>,
    /// Time of the last such log line in milliseconds on the node's clock; 0 before the first.
    no_preemption_logged_ms: u64,
}

impl RunsState {
    /// Logs why no item was preempted, at most once per `NO_PREEMPTION_LOG_INTERVAL_MS`.
    fn log_no_preemption(&mut self, now_ms: u64, service: &str, calls: usize) {
        if now_ms < self.no_preemption_logged_ms + NO_PREEMPTION_LOG_INTERVAL_MS {
            return;
        }
        self.no_preemption_logged_ms = now_ms;
        let basis = self.preemption.basis(now_ms);
        log::info!(
            event = "items_keep_places", service, calls, running = basis.running,
            most_slack_ms:? = basis.most_slack_ms, backlog_slack_ms:? = basis.backlog_slack_ms,
            cost_ms = basis.cost_ms; ""
        );
    }
}

/// The current runs of items on a node, and the estimates that preemption is based on.
#[derive(Default)]
pub(crate) struct ItemRuns {
    state: Mutex<RunsState>,
}

/// Registration of one run, removed when dropped.
pub(super) struct ItemRun {
    runs: Arc<ItemRuns>,
    id: RunId,
    /// Receives a value when the run is preempted.
    pub(super) preempted: oneshot::Receiver<()>,
}

impl ItemRuns {
    /// Registers the start of a run of an item, be it the first or a later one.
    pub(super) fn begin(self: &Arc<Self>, item: RunningItem) -> ItemRun {
        let (stop_sender, preempted) = oneshot::channel();
        let mut state = self.state.lock();
        let id = state.preemption.begin(item);
        state.stop_senders.insert(id, stop_sender);
        ItemRun {
            runs: self.clone(),
            id,
            preempted,
        }
    }

    /// Preempts up to `calls` runs for calls that wait for a slot of `service` at a worker with this
    /// software.
    pub(crate) fn preempt(
        &self,
        now_ms: u64,
        service: &str,
        software: RequiredSoftware,
        calls: usize,
    ) {
        let mut state = self.state.lock();
        let ended = state
            .preemption
            .preempt_at(now_ms, service, software, calls);
        for run in &ended {
            if let Some(stop_sender) = state.stop_senders.remove(run) {
                // Sending fails only if the run has just ended by itself.
                let _ = stop_sender.send(());
            }
        }
        if ended.is_empty() {
            state.log_no_preemption(now_ms, service, calls);
        }
    }

    /// Returns the number of items that could be preempted now, by service.
    pub(crate) fn preemptible(&self, now_ms: u64) -> HashMap<String, usize> {
        self.state.lock().preemption.preemptible(now_ms)
    }

    /// Records the total time that a completed item ran, as at workers of usual pace.
    pub(super) fn record_run_time(&self, time: Duration) {
        self.state.lock().preemption.record_run_time(time);
    }

    /// Records the time from a preemption to the item's next event.
    pub(super) fn record_interruption(&self, time: Duration) {
        self.state.lock().preemption.record_interruption(time);
    }

    /// Returns the total run time, in milliseconds, that an item rarely exceeds at a worker of usual
    /// pace; 0 if unknown.
    pub(super) fn longest_run_ms(&self) -> u64 {
        let longest = self.state.lock().preemption.run_time().longest_ms();
        longest.map_or(0, |ms| ms as u64)
    }

    /// Sets the smallest slack, in milliseconds, of the items queued at the leader; None if no
    /// queued item can be on time.
    pub(super) fn set_backlog_slack(&self, slack_ms: Option<i64>) {
        self.state.lock().preemption.set_backlog_slack(slack_ms);
    }
}

impl Drop for ItemRun {
    fn drop(&mut self) {
        let mut state = self.runs.state.lock();
        state.preemption.end(self.id);
        state.stop_senders.remove(&self.id);
    }
}
