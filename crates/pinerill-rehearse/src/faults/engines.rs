//! What engines say of themselves while a scenario runs: models and roles.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use parking_lot::Mutex;
use pinerill_control::placement::engine_state::{EngineRole, EngineState, LoadState};
use reqwest::Client;
use tokio::time::{sleep, Instant};
use tokio_util::task::AbortOnDropHandle;

use crate::fleet::standins::StandIns;

/// Pause between two looks at all engines.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for one answer.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Longest time until engines are as they should be.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// States by full name of the engine; engines that don't answer are left out.
pub type EngineStates = BTreeMap<String, EngineState>;

/// Asks the engines of a fleet for their states.
#[derive(Clone, Debug)]
pub struct EngineObserver {
    client: Client,
    engines: Vec<(String, SocketAddr, usize)>,
}

/// What was seen of one model's engines over time.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    /// Looks at all engines.
    pub looks: u64,
    /// Fewest engines that served the model in any version at one look.
    pub fewest_serving: usize,
    /// Most engines that loaded a version of it at one look.
    pub most_loading: usize,
    /// Looks at which no engine served it.
    pub gaps: u64,
    /// Engines that served it and then did not, though they answered.
    pub let_go: Vec<String>,
    serving: Vec<String>,
}

/// Looks at all engines until it is dropped.
pub struct EngineWatch {
    seen: Arc<Mutex<Sightings>>,
    _task: AbortOnDropHandle<()>,
}

impl EngineObserver {
    /// An observer of all engines.
    pub fn new(standins: &StandIns) -> Self {
        let mut engines = Vec::new();
        for worker in &standins.workers {
            for engine in 0..worker.place.engines {
                let name = format!("{}/{engine}", worker.place.name);
                engines.push((name, worker.address, engine));
            }
        }
        Self {
            client: standins.client.clone(),
            engines,
        }
    }

    /// The states of all engines that answer.
    pub async fn look(&self) -> EngineStates {
        let questions = self
            .engines
            .iter()
            .map(|(name, address, engine)| async move {
                let url = engine_url(*address, *engine, "state");
                let call = self.client.get(url).timeout(ANSWER_TIME).send();
                let state = call.await.ok()?.json::<EngineState>().await.ok()?;
                Some((name.clone(), state))
            });
        let states = futures::future::join_all(questions).await;
        states.into_iter().flatten().collect()
    }

    /// Name, address and number of every engine.
    pub fn engines(&self) -> &[(String, SocketAddr, usize)] {
        &self.engines
    }

    /// Waits until the states of all engines that answer fulfil `wanted`.
    ///
    /// # Errors
    /// After the longest time, with the states seen last.
    pub async fn await_states(
        &self,
        what: &str,
        wanted: impl Fn(&EngineStates) -> bool,
    ) -> anyhow::Result<EngineStates> {
        let end = Instant::now() + SETTLE_TIME;
        loop {
            let states = self.look().await;
            if wanted(&states) {
                return Ok(states);
            }
            if Instant::now() >= end {
                bail!("not within {SETTLE_TIME:?}: {what}; engines are {states:?}");
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    /// Watches the engines of a model.
    pub fn watch(&self, model: &str) -> EngineWatch {
        let seen = Arc::new(Mutex::new(Sightings {
            fewest_serving: usize::MAX,
            ..Sightings::default()
        }));
        let (observer, model, sightings) = (self.clone(), model.to_owned(), seen.clone());
        let task = tokio::spawn(async move {
            loop {
                let states = observer.look().await;
                sightings.lock().take(&model, &states);
                sleep(LOOK_PAUSE).await;
            }
        });
        EngineWatch {
            seen,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

impl EngineWatch {
    /// What was seen so far.
    pub fn seen(&self) -> Sightings {
        self.seen.lock().clone()
    }
}

impl Sightings {
    /// Takes one look in.
    pub fn take(&mut self, model: &str, states: &EngineStates) {
        let serving = engines_with(states, model, LoadState::Ready);
        let loading = engines_with(states, model, LoadState::Loading);
        let mut let_go: Vec<String> = self
            .serving
            .iter()
            .filter(|name| states.contains_key(*name) && !serving.contains(name))
            .cloned()
            .collect();
        self.let_go.append(&mut let_go);
        self.looks += 1;
        self.fewest_serving = self.fewest_serving.min(serving.len());
        self.most_loading = self.most_loading.max(loading.len());
        self.gaps += u64::from(serving.is_empty());
        self.serving = serving;
    }
}

/// Engines with some version of a model in a state.
pub fn engines_with(states: &EngineStates, model: &str, wanted: LoadState) -> Vec<String> {
    let has = |state: &EngineState| {
        let mut held = state.models.iter();
        held.any(|one| one.name.as_str() == model && one.state == wanted)
    };
    let engines = states.iter().filter(|(_, state)| has(state));
    engines.map(|(name, _)| name.clone()).collect()
}

/// How many engines have a role.
pub fn count_role(states: &EngineStates, role: EngineRole) -> usize {
    states.values().filter(|state| state.role == role).count()
}

/// URL of a call at an engine.
pub fn engine_url(address: SocketAddr, engine: usize, call: &str) -> String {
    format!("http://{address}/engines/{engine}/v1/{call}")
}
