//! Observes engines and posts orders while this machine leads the meta group.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures::stream::{self, StreamExt};
use pinerill_types::{EngineId, Fence};
use pinerill_wire::message::{WorkerRecord, WorkerState};
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::assignment::{Models, ObservedEngines};
use super::engine_state::{EngineState, FencedOrder};
use super::planner::{is_settled, plan, PlannedOrder};

/// Pause between two rounds while orders are given or the bundle changes.
const ROUND_PAUSE: Duration = Duration::from_secs(1);
/// Rounds without news that are passed over before all engines are asked
/// again. An engine that is lost with its worker is news at once; this is for
/// one that lost a model by itself. At 45,000 engines asking each second
/// would cost some ten cores.
const QUIET_ROUNDS: u32 = 30;
/// Longest time for one question to an engine.
const ENGINE_TIME: Duration = Duration::from_secs(2);
/// Version of the founding bundle, which names operators only.
const FOUNDING_VERSION: u64 = 0;
/// Most questions to one engine in a round.
const MOST_QUESTIONS: u32 = 3;
/// Questions in flight.
const CONCURRENT_QUESTIONS: usize = 64;

/// The right to give orders, confirmed by a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTerm {
    /// Term of the meta group in which this machine leads.
    pub term: u64,
}

/// What placement needs to know.
#[async_trait]
pub trait PlacementSource: Send + Sync + 'static {
    /// The term in which this machine leads the meta group, confirmed by a
    /// read barrier; none when it does not lead.
    async fn confirmed_term(&self) -> Option<PlacementTerm>;
    /// Grows with each change of the list of workers.
    fn workers_revision(&self) -> u64;
    /// Version of the bundle in force; 0 until the first one after the
    /// founding, and no order is given before that.
    fn bundle_version(&self) -> u64;
    /// Its models.
    fn models(&self) -> Models;
    /// All workers.
    fn workers(&self) -> Vec<WorkerRecord>;
}

/// What placement counts.
#[derive(Debug, Default)]
pub struct PlacementCounters {
    /// Rounds in which this machine led.
    pub rounds: AtomicU64,
    /// Engines that answered in the last round.
    pub engines: AtomicU64,
    /// Orders that were accepted.
    pub accepted: AtomicU64,
    /// Orders that were refused or lost.
    pub refused: AtomicU64,
}

/// Places models until `stop`.
pub async fn run(
    source: Arc<dyn PlacementSource>,
    concurrent_loads: u32,
    counters: Arc<PlacementCounters>,
    stop: CancellationToken,
) {
    let client = match reqwest::Client::builder().no_proxy().build() {
        Ok(client) => client,
        Err(error) => {
            log::error!(step = "build HTTP client", error:%; "no placement");
            return;
        }
    };
    let mut runner = Runner {
        source,
        client,
        concurrent_loads,
        counters,
        last: Fence::default(),
        settled: None,
        quiet_rounds: 0,
    };
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = runner.round() => {}
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(ROUND_PAUSE) => {}
        }
    }
}

/// What decides whether another round can find something to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Situation {
    bundle_version: u64,
    workers_revision: u64,
}

/// A state and the engine that it names. All engines of a worker share its connections, on which
/// an answer may come once more, late.
#[derive(Debug, Deserialize)]
struct AnsweredState {
    engine: Option<u16>,
    #[serde(flatten)]
    state: EngineState,
}

/// What one round found.
struct Planned {
    orders: Vec<PlannedOrder>,
    settled: bool,
}

struct Runner {
    source: Arc<dyn PlacementSource>,
    client: reqwest::Client,
    concurrent_loads: u32,
    counters: Arc<PlacementCounters>,
    last: Fence,
    /// What the last full round was about, if it left nothing to do.
    settled: Option<Situation>,
    /// Rounds passed over since then.
    quiet_rounds: u32,
}

impl Runner {
    async fn round(&mut self) {
        if self.is_quiet() || self.source.confirmed_term().await.is_none() {
            return;
        }
        let situation = self.situation();
        if situation.bundle_version == FOUNDING_VERSION {
            // Nobody has signed yet what engines should hold. Engines that
            // serve already must not lose their models to a bootstrap.
            return;
        }
        let engines = self.observe().await;
        let engine_count = engines.len() as u64;
        let Some(planned) = self.plan(engines).await else {
            return;
        };
        // The right is confirmed again after the slow observation: orders of
        // a machine that was frozen meanwhile carry an older term, and the
        // engines' fences refuse them.
        let Some(term) = self.source.confirmed_term().await else {
            return;
        };
        let count = |counter: &AtomicU64, value: u64| counter.store(value, Ordering::Relaxed);
        self.settled = planned.settled.then_some(situation);
        self.quiet_rounds = 0;
        self.counters.rounds.fetch_add(1, Ordering::Relaxed);
        count(&self.counters.engines, engine_count);
        for order in planned.orders {
            let fence = self.next_fence(term);
            self.post(&order, fence).await;
        }
    }

    /// Whether the last full round gave no orders, and neither bundle, workers
    /// nor time ask for another.
    fn is_quiet(&mut self) -> bool {
        self.quiet_rounds += 1;
        self.settled == Some(self.situation()) && self.quiet_rounds < QUIET_ROUNDS
    }

    fn situation(&self) -> Situation {
        Situation {
            bundle_version: self.source.bundle_version(),
            workers_revision: self.source.workers_revision(),
        }
    }

    /// Plans on a thread of its own: over many engines it takes long enough
    /// to hold up the replicated groups' tasks.
    async fn plan(&self, engines: ObservedEngines) -> Option<Planned> {
        let models = self.source.models();
        let concurrent_loads = self.concurrent_loads;
        let planning = tokio::task::spawn_blocking(move || {
            let orders = plan(&models, &engines, concurrent_loads);
            let settled = is_settled(&orders, &engines);
            Planned { orders, settled }
        });
        match planning.await {
            Ok(planned) => Some(planned),
            Err(error) => {
                log::error!(step = "plan placement", error:%; "no orders in this round");
                None
            }
        }
    }

    fn next_fence(&mut self, term: PlacementTerm) -> Fence {
        let sequence = if self.last.term == term.term {
            self.last.sequence + 1
        } else {
            1
        };
        self.last = Fence {
            term: term.term,
            sequence,
        };
        self.last
    }

    /// Asks every engine of every live worker for its state; those that don't
    /// answer count as lost.
    async fn observe(&self) -> ObservedEngines {
        let mut questions = Vec::new();
        for worker in self.source.workers() {
            if worker.state != WorkerState::Live {
                continue;
            }
            for engine in 0..worker.engines {
                questions.push(ask(self.client.clone(), worker.clone(), engine));
            }
        }
        let mut answers = stream::iter(questions).buffer_unordered(CONCURRENT_QUESTIONS);
        let mut engines = ObservedEngines::new();
        while let Some(answer) = answers.next().await {
            let present = answer.filter(|(_, state)| !state.leaving);
            engines.extend(present);
        }
        engines
    }

    async fn post(&self, planned: &PlannedOrder, fence: Fence) {
        let workers = self.source.workers();
        let worker = workers
            .iter()
            .find(|worker| worker.name == planned.engine.worker);
        let Some(worker) = worker else { return };
        let url = format!(
            "http://{}/engines/{}/v1/orders",
            worker.address, planned.engine.engine
        );
        let body = FencedOrder {
            fence,
            order: planned.order.clone(),
        };
        let answer = self
            .client
            .post(url)
            .timeout(ENGINE_TIME)
            .json(&body)
            .send()
            .await;
        let accepted = answer.is_ok_and(|response| response.status().is_success());
        let counter = if accepted {
            &self.counters.accepted
        } else {
            &self.counters.refused
        };
        counter.fetch_add(1, Ordering::Relaxed);
        log::debug!(engine:% = planned.engine, accepted; "order posted");
    }
}

/// Asks an engine for its state, and again while another engine's answer comes.
async fn ask(
    client: reqwest::Client,
    worker: WorkerRecord,
    engine: u16,
) -> Option<(EngineId, EngineState)> {
    for _ in 0..MOST_QUESTIONS {
        let answer = ask_once(&client, &worker, engine).await?;
        if answer.engine.is_none_or(|named| named == engine) {
            let id = EngineId {
                worker: worker.name,
                engine,
            };
            return Some((id, answer.state));
        }
        log::warn!(
            step = "ask engine", peer:% = worker.address, engine, named:? = answer.engine;
            "answer of another engine"
        );
    }
    None
}

async fn ask_once(
    client: &reqwest::Client,
    worker: &WorkerRecord,
    engine: u16,
) -> Option<AnsweredState> {
    let url = format!("http://{}/engines/{engine}/v1/state", worker.address);
    let response = client.get(url).timeout(ENGINE_TIME).send().await;
    response.ok()?.json().await.ok()
}
