//! Batch work of the kit's own dispatcher: a queue of items and, for each
//! engine, as many runners as it has slots.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::content::BatchItem;
use super::dispatcher::{Dispatcher, EngineEntry};
use super::engine_target::EngineTarget;

/// Pause of a runner whose engine refused or failed.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// What came of the items so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchOutcome {
    /// Items with the right answer.
    pub completed: u64,
    /// Answers that were not their item's.
    pub wrong: Vec<String>,
    /// Items sent again after a failure.
    pub retries: u64,
}

/// Items that wait, and what came of the others.
#[derive(Debug, Default)]
pub struct BatchQueue {
    waiting: Mutex<VecDeque<BatchItem>>,
    arrived: Notify,
    outcome: Mutex<BatchOutcome>,
}

impl BatchQueue {
    /// Adds the items of a heap.
    pub fn add(&self, items: Vec<BatchItem>) {
        self.waiting.lock().extend(items);
        self.arrived.notify_waiters();
    }

    /// What came of the items so far.
    pub fn outcome(&self) -> BatchOutcome {
        self.outcome.lock().clone()
    }

    async fn take(&self) -> BatchItem {
        loop {
            let arrived = self.arrived.notified();
            if let Some(item) = self.waiting.lock().pop_front() {
                return item;
            }
            arrived.await;
        }
    }
}

/// Runners at work; they end when this is stopped.
#[derive(Debug)]
pub struct BatchRunners {
    tracker: TaskTracker,
    stop: CancellationToken,
}

impl BatchRunners {
    /// Starts `window` runners for each engine that batch may use.
    pub fn start(target: &Arc<EngineTarget>, queue: &Arc<BatchQueue>, window: usize) -> Self {
        let runners = Self {
            tracker: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        for entry in target.dispatcher.batch_engines() {
            for number in 0..window {
                let runner = Runner {
                    target: target.clone(),
                    queue: queue.clone(),
                    entry: entry.clone(),
                    number,
                };
                let stopped = runners.stop.clone();
                runners.tracker.spawn(async move {
                    stopped.run_until_cancelled(runner.run()).await;
                });
            }
        }
        runners
    }

    /// Ends the runners; what they had in flight is cancelled at the engines
    /// by `cancel_all` of the caller, or runs out.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }
}

/// A whole answer of an engine.
#[derive(Debug, Deserialize)]
struct WholeAnswer {
    text: String,
}

struct Runner {
    target: Arc<EngineTarget>,
    queue: Arc<BatchQueue>,
    entry: Arc<EngineEntry>,
    number: usize,
}

impl Runner {
    async fn run(self) {
        let mut attempt = 0_u64;
        loop {
            let item = self.queue.take().await;
            attempt += 1;
            let identifier = format!(
                "{}-{}-{}-{attempt}",
                item.content, self.entry.engine, self.number
            );
            match self.send(&item, &identifier).await {
                Some(text) => self.judge(&item, &text),
                None => {
                    self.queue.outcome.lock().retries += 1;
                    self.queue.add(vec![item]);
                    tokio::time::sleep(REFUSAL_PAUSE).await;
                }
            }
        }
    }

    /// Sends an item and returns the answer's text; `None` when refused. An
    /// item that is dropped half-way is cancelled at the engine.
    async fn send(&self, item: &BatchItem, identifier: &str) -> Option<String> {
        let dispatcher: &Dispatcher = &self.target.dispatcher;
        let _in_flight = dispatcher.begin_batch(&self.entry);
        let mut cancel = CancelOnDrop::new(&self.target.client, &self.entry, identifier);
        let body = json!({
            "model": self.target.model,
            "prompt": item.prompt,
            "max_tokens": item.max_tokens,
        });
        let mut call = self.target.client.post(self.entry.url("/v1/completions"));
        call = call.header("X-Request-Id", identifier).json(&body);
        call = call.header("X-Priority", dispatcher.batch_priority());
        if !self.target.adapter.is_empty() {
            call = call.header("X-Adapter", &self.target.adapter);
        }
        let response = call.send().await.ok()?;
        cancel.disarm();
        let response = response.error_for_status().ok()?;
        response.json::<WholeAnswer>().await.ok().map(|a| a.text)
    }

    fn judge(&self, item: &BatchItem, text: &str) {
        let right = text == item.answer.text(0, item.max_tokens);
        let mut outcome = self.queue.outcome.lock();
        match right {
            true => outcome.completed += 1,
            false => outcome.wrong.push(item.custom_id.clone()),
        }
    }
}

/// Cancels a request at its engine unless it ended before.
struct CancelOnDrop {
    call: Option<reqwest::RequestBuilder>,
}

impl CancelOnDrop {
    fn new(client: &reqwest::Client, entry: &EngineEntry, identifier: &str) -> Self {
        let url = entry.url(&format!("/v1/requests/{identifier}/cancel"));
        Self {
            call: Some(client.post(url)),
        }
    }

    fn disarm(&mut self) {
        self.call = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            tokio::spawn(call.send());
        }
    }
}
