//! The stand-ins of a preset as running processes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{ensure, Context};
use futures::future::try_join_all;
use reqwest::Client;

use super::launcher::Launcher;
use super::ports::{free_address, free_addresses};
use super::process::ChildProcess;
use super::ready::wait_http;
use super::relay::RelayProcess;
use super::worker::{RunningWorker, WorkerFlags, WorkerSpec};
use crate::engine::messages::EngineUsage;
use crate::ledger::{read_file, LedgerLine};
use crate::preset::{Preset, WorkerPlace};
use crate::standin::platform::{Machine, MachineState};
use crate::standin::relay::LinkArguments;
use crate::standin::weights::WeightsUsage;

/// Longest time until a stand-in is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for a stand-in's planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How the stand-ins are started.
#[derive(Clone, Debug, Default)]
pub struct StandInOptions {
    /// Flags of all workers.
    pub worker_flags: WorkerFlags,
    /// Every worker is reached through a relay named after it, so that its
    /// connections can be cut.
    pub worker_relays: bool,
}

/// All stand-ins of a preset.
#[derive(Debug)]
pub struct StandIns {
    /// Client for stand-ins.
    pub client: Client,
    /// Workers in the preset's order.
    pub workers: Vec<RunningWorker>,
    /// Address of the platform list.
    pub platform: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Address of the old script.
    pub script: SocketAddr,
    /// Relays towards the workers, if there are any.
    pub worker_relays: Option<RelayProcess>,
    others: Vec<ChildProcess>,
}

impl StandIns {
    /// Starts all stand-ins, waits until they are ready and puts the workers
    /// on the platform list.
    ///
    /// # Errors
    /// When a process does not get ready.
    pub async fn start(
        launcher: &Launcher,
        preset: &Preset,
        options: &StandInOptions,
    ) -> anyhow::Result<Self> {
        let (platform, weights, script) = (free_address()?, free_address()?, free_address()?);
        let others = vec![
            start_other(launcher, "platform", platform)?,
            start_other(launcher, "weights", weights)?,
            start_other(launcher, "script", script)?,
        ];
        let addresses = free_addresses(preset.workers.len())?;
        let (worker_relays, listed) = match options.worker_relays {
            true => start_relays(launcher, preset, &addresses).await?,
            false => (None, addresses.clone()),
        };
        let mut workers = Vec::new();
        for (index, place) in preset.workers.iter().enumerate() {
            let spec = WorkerSpec {
                preset,
                place,
                address: addresses[index],
                listed: listed[index],
                weights,
                flags: &options.worker_flags,
            };
            workers.push(RunningWorker::start(launcher, &spec)?);
        }
        let mut standins = Self {
            client: Client::builder().no_proxy().build()?,
            workers,
            platform,
            weights,
            script,
            worker_relays,
            others,
        };
        standins.await_ready().await?;
        for worker in &standins.workers {
            standins.list_worker(worker, MachineState::Live).await?;
        }
        Ok(standins)
    }

    async fn await_ready(&mut self) -> anyhow::Result<()> {
        for index in 0..self.workers.len() {
            self.await_worker(index).await?;
        }
        let (platform, process) = (self.platform, &mut self.others[0]);
        wait_http(&self.client, process, platform, "/machines", READY_TIMEOUT).await
    }

    /// Waits until a worker answers.
    ///
    /// # Errors
    /// When it ends or does not answer in time.
    pub async fn await_worker(&mut self, index: usize) -> anyhow::Result<()> {
        let worker = &mut self.workers[index];
        let (process, address) = (&mut worker.process, worker.address);
        wait_http(&self.client, process, address, "/worker", READY_TIMEOUT).await
    }

    /// Sets a worker's state on the platform list.
    ///
    /// # Errors
    /// When the list does not take it.
    pub async fn list_worker(
        &self,
        worker: &RunningWorker,
        state: MachineState,
    ) -> anyhow::Result<()> {
        self.put_machine(&worker.place, worker.listed, state).await
    }

    async fn put_machine(
        &self,
        place: &WorkerPlace,
        address: SocketAddr,
        state: MachineState,
    ) -> anyhow::Result<()> {
        let machine = Machine {
            name: place.name.clone(),
            kind: "worker".to_string(),
            address: address.to_string(),
            zone: place.zone.to_string(),
            engines: place.engines,
            state,
        };
        let url = format!("http://{}/machines/{}", self.platform, place.name);
        let response = self.client.put(url).json(&machine).send().await;
        let response = response.context("changing the platform list")?;
        ensure!(
            response.status().is_success(),
            "changing the platform list: {}",
            response.status()
        );
        Ok(())
    }

    /// What the weight store has served.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn weights_usage(&self) -> anyhow::Result<WeightsUsage> {
        let url = format!("http://{}/usage", self.weights);
        let answer = self.client.get(url).send().await?;
        answer
            .json()
            .await
            .context("reading the weight store's usage")
    }

    /// All ledger lines of all workers.
    pub fn ledger(&self) -> anyhow::Result<Vec<LedgerLine>> {
        let mut lines = Vec::new();
        for worker in &self.workers {
            lines.extend(read_file(&worker.ledger)?);
        }
        Ok(lines)
    }

    /// Work done by all engines that answer.
    pub async fn usage(&self) -> EngineUsage {
        let mut total = EngineUsage::default();
        for index in 0..self.workers.len() {
            add_usage(&mut total, &self.usage_of(index).await);
        }
        total
    }

    /// Work done by the engines of one worker; none when it does not answer.
    pub async fn usage_of(&self, index: usize) -> EngineUsage {
        let mut total = EngineUsage::default();
        let usages = self.worker_usage(self.workers[index].address).await;
        for usage in usages.unwrap_or_default() {
            add_usage(&mut total, &usage);
        }
        total
    }

    async fn worker_usage(&self, address: SocketAddr) -> reqwest::Result<Vec<EngineUsage>> {
        let url = format!("http://{address}/usage");
        self.client.get(url).send().await?.json().await
    }

    /// Planned stop of all at once; each must end with exit code 0.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        let workers = self.workers.iter_mut().map(|worker| &mut worker.process);
        let processes = workers.chain(self.others.iter_mut());
        try_join_all(processes.map(|process| process.stop(STOP_TIMEOUT))).await?;
        if let Some(relays) = &mut self.worker_relays {
            relays.stop().await?;
        }
        Ok(())
    }

    /// Number of stand-in processes.
    pub fn process_count(&self) -> usize {
        self.workers.len() + self.others.len() + usize::from(self.worker_relays.is_some())
    }
}

fn start_other(
    launcher: &Launcher,
    kind: &str,
    address: SocketAddr,
) -> anyhow::Result<ChildProcess> {
    let arguments = [kind, "--listen", &address.to_string()].map(str::to_string);
    launcher.start_standin(kind, arguments.into())
}

/// Starts one relay for each worker; returns their addresses too.
async fn start_relays(
    launcher: &Launcher,
    preset: &Preset,
    targets: &[SocketAddr],
) -> anyhow::Result<(Option<RelayProcess>, Vec<SocketAddr>)> {
    let listen = free_addresses(targets.len())?;
    let links: Vec<LinkArguments> = preset
        .workers
        .iter()
        .zip(listen.iter().zip(targets))
        .map(|(place, (listen, target))| LinkArguments {
            name: place.name.clone(),
            listen: *listen,
            target: *target,
        })
        .collect();
    let relays = RelayProcess::start(launcher, "worker-relays", &links, Duration::ZERO).await?;
    Ok((Some(relays), listen))
}

/// Adds what one engine has done to a total.
pub fn add_usage(total: &mut EngineUsage, usage: &EngineUsage) {
    total.busy_us += usage.busy_us;
    total.online.prefill_tokens += usage.online.prefill_tokens;
    total.online.generated_tokens += usage.online.generated_tokens;
    total.batch.prefill_tokens += usage.batch.prefill_tokens;
    total.batch.generated_tokens += usage.batch.generated_tokens;
    total.imported_tokens += usage.imported_tokens;
    total.imports += usage.imports;
    total.stale_orders += usage.stale_orders;
}
