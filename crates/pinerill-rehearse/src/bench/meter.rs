//! Samples what engines and processes have done while a phase runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use reqwest::Client;
use serde::Serialize;
use tokio::time::{interval, Instant, MissedTickBehavior};
use tokio_util::task::AbortOnDropHandle;

use crate::engine::messages::EngineUsage;
use crate::fleet::standins::{add_usage, StandIns};
use crate::rehearsal::Rehearsal;
use crate::scale::usage::Usage;

/// Pause between two samples of the engines.
const SAMPLE_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks at whether the engines are idle.
const IDLE_PAUSE: Duration = Duration::from_millis(400);
/// Longest time until the engines are idle.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Tokens that engines generated a second, over one sample.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ThroughputSample {
    /// Middle of the sample, seconds since the phase's start.
    pub at_seconds: f64,
    /// For online requests.
    pub online_tokens_per_second: f64,
    /// For batch items.
    pub batch_tokens_per_second: f64,
}

/// What kinds of processes have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// All nodes.
    pub nodes: Usage,
    /// The largest node's resident memory, bytes.
    pub largest_node_bytes: u64,
    /// All control machines.
    pub controls: Usage,
    /// All workers.
    pub workers: Usage,
}

impl ProcessUsage {
    /// Adds what processes used that have ended since.
    pub fn add_ended(&mut self, ended: &Self) {
        self.nodes.add(&ended.nodes);
        self.controls.add(&ended.controls);
        self.workers.add(&ended.workers);
    }

    /// Reads what the processes of a rehearsal have used so far.
    ///
    /// # Errors
    /// When one of them is gone.
    pub fn read(rehearsal: &Rehearsal) -> anyhow::Result<Self> {
        let mut usage = Self::default();
        for node in &rehearsal.fleet.nodes {
            let one = Usage::of_process(node.process.id())?;
            usage.largest_node_bytes = usage.largest_node_bytes.max(one.resident_bytes);
            usage.nodes.add(&one);
        }
        for control in &rehearsal.fleet.controls {
            usage
                .controls
                .add(&Usage::of_process(control.process.id())?);
        }
        for worker in &rehearsal.standins.workers {
            usage.workers.add(&Usage::of_process(worker.process.id())?);
        }
        Ok(usage)
    }
}

/// Samples the engines until it is stopped.
#[derive(Debug)]
pub struct Meter {
    samples: Arc<Mutex<Vec<ThroughputSample>>>,
    _task: AbortOnDropHandle<()>,
}

impl Meter {
    /// Starts to sample.
    pub fn start(standins: &StandIns) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let reader = UsageReader {
            client: standins.client.clone(),
            workers: standins.workers.iter().map(|one| one.address).collect(),
        };
        let task = tokio::spawn(sample(reader, samples.clone()));
        Self {
            samples,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// The samples so far.
    pub fn stop(self) -> Vec<ThroughputSample> {
        std::mem::take(&mut *self.samples.lock())
    }
}

struct UsageReader {
    client: Client,
    workers: Vec<SocketAddr>,
}

impl UsageReader {
    async fn read(&self) -> EngineUsage {
        let questions = self.workers.iter().map(|address| {
            let url = format!("http://{address}/usage");
            let call = self.client.get(url);
            async move { call.send().await?.json::<Vec<EngineUsage>>().await }
        });
        let mut total = EngineUsage::default();
        for usages in futures::future::join_all(questions).await {
            for usage in usages.unwrap_or_default() {
                add_usage(&mut total, &usage);
            }
        }
        total
    }
}

async fn sample(reader: UsageReader, samples: Arc<Mutex<Vec<ThroughputSample>>>) {
    let started = Instant::now();
    let mut last = reader.read().await;
    let mut last_at = started.elapsed();
    let mut ticks = interval(SAMPLE_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let usage = reader.read().await;
        let at = started.elapsed();
        let seconds = (at - last_at).as_secs_f64();
        let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / seconds;
        samples.lock().push(ThroughputSample {
            at_seconds: (at + last_at).as_secs_f64() / 2.0,
            online_tokens_per_second: rate(
                usage.online.generated_tokens,
                last.online.generated_tokens,
            ),
            batch_tokens_per_second: rate(
                usage.batch.generated_tokens,
                last.batch.generated_tokens,
            ),
        });
        last = usage;
        last_at = at;
    }
}

/// Waits until no engine works any more, so that one phase leaves nothing to
/// the next.
///
/// # Errors
/// After the longest time.
pub async fn await_idle(standins: &StandIns) -> anyhow::Result<()> {
    let end = Instant::now() + IDLE_TIME;
    let mut last = standins.usage().await;
    while Instant::now() < end {
        tokio::time::sleep(IDLE_PAUSE).await;
        let usage = standins.usage().await;
        if usage == last {
            return Ok(());
        }
        last = usage;
    }
    anyhow::bail!("engines still work {IDLE_TIME:?} after a phase")
}
