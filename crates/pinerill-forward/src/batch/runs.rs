//! The runs of items at this node, and how they are told to give way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::preemption::{Preemption, RunId, RunningItem};

/// Pause between two log lines on items that keep their places, milliseconds.
const KEPT_TOLD_PAUSE_MS: u64 = 200;

#[derive(Default)]
struct State {
    preemption: Preemption,
    /// Tells a run to end.
    enders: HashMap<RunId, oneshot::Sender<()>>,
    /// When it was last told that items keep their places, on the node's clock.
    kept_told_ms: u64,
}

impl State {
    /// Logs why no item gives way, once in a while.
    fn tell_kept(&mut self, now_ms: u64, service: &str, calls: usize) {
        if now_ms < self.kept_told_ms + KEPT_TOLD_PAUSE_MS {
            return;
        }
        self.kept_told_ms = now_ms;
        let basis = self.preemption.basis(now_ms);
        log::info!(
            event = "items_keep_places", service, calls, running = basis.running,
            most_slack_ms:? = basis.most_slack_ms, backlog_slack_ms:? = basis.backlog_slack_ms,
            cost_ms = basis.cost_ms; ""
        );
    }
}

/// All runs of a node.
#[derive(Default)]
pub(crate) struct ItemRuns {
    state: Mutex<State>,
}

/// One run; taken off when dropped.
pub(super) struct Run {
    runs: Arc<ItemRuns>,
    id: RunId,
    /// Completes once the run is to end.
    pub(super) gives_way: oneshot::Receiver<()>,
}

impl ItemRuns {
    /// An item begins to run or goes on.
    pub(super) fn begin(self: &Arc<Self>, item: RunningItem) -> Run {
        let (ender, gives_way) = oneshot::channel();
        let mut state = self.state.lock();
        let id = state.preemption.begin(item);
        state.enders.insert(id, ender);
        Run {
            runs: self.clone(),
            id,
            gives_way,
        }
    }

    /// Ends runs for calls that wait for places of a service.
    pub(crate) fn preempt(&self, now_ms: u64, service: &str, calls: usize) {
        let mut state = self.state.lock();
        let ended = state.preemption.preempt(now_ms, service, calls);
        for run in &ended {
            if let Some(ender) = state.enders.remove(run) {
                // A run that has just ended by itself needs no word.
                let _ = ender.send(());
            }
        }
        if ended.is_empty() {
            state.tell_kept(now_ms, service, calls);
        }
    }

    /// Items that could give way now, by service.
    pub(crate) fn preemptible(&self, now_ms: u64) -> HashMap<String, usize> {
        self.state.lock().preemption.preemptible(now_ms)
    }

    /// A whole item took so long at workers.
    pub(super) fn item_ended(&self, time: Duration) {
        self.state.lock().preemption.item_ended(time);
    }

    /// An item that gave way has its next event after this time.
    pub(super) fn resumed(&self, time: Duration) {
        self.state.lock().preemption.resumed(time);
    }

    /// Time at workers that an item seldom exceeds, milliseconds; 0 if not known.
    pub(super) fn longest_ms(&self) -> u64 {
        let longest = self.state.lock().preemption.run_time().longest_ms();
        longest.map_or(0, |ms| ms as u64)
    }

    /// The leader tells the slack of what waits there.
    pub(super) fn take_backlog(&self, slack_ms: Option<i64>) {
        self.state.lock().preemption.take_backlog(slack_ms);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.runs.state.lock();
        state.preemption.end(self.id);
        state.enders.remove(&self.id);
    }
}
