//! The stand-ins of a preset as running processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{ensure, Context};
use reqwest::Client;

use super::launcher::Launcher;
use super::ports::{free_address, free_addresses};
use super::process::ChildProcess;
use super::ready::wait_http;
use crate::engine::messages::EngineUsage;
use crate::ledger::{read_file, LedgerLine};
use crate::preset::{Preset, WorkerPlace};
use crate::standin::platform::{Machine, MachineState};

/// Longest time until a stand-in is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for a stand-in's planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A worker that runs.
#[derive(Debug)]
pub struct RunningWorker {
    /// Where it stands.
    pub place: WorkerPlace,
    /// Its address.
    pub address: SocketAddr,
    /// File of its ledger.
    pub ledger: PathBuf,
    /// Its process.
    pub process: ChildProcess,
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
    others: Vec<ChildProcess>,
}

/// Flags that all workers of a fleet get besides their own.
#[derive(Clone, Debug, Default)]
pub struct WorkerFlags(pub Vec<String>);

impl StandIns {
    /// Starts all stand-ins, waits until they are ready and puts the workers
    /// on the platform list.
    pub async fn start(
        launcher: &Launcher,
        preset: &Preset,
        flags: &WorkerFlags,
    ) -> anyhow::Result<Self> {
        let client = Client::new();
        let (platform, weights, script) = (free_address()?, free_address()?, free_address()?);
        let mut others = vec![
            start_other(launcher, "platform", platform)?,
            start_other(launcher, "weights", weights)?,
            start_other(launcher, "script", script)?,
        ];
        let addresses = free_addresses(preset.workers.len())?;
        let mut workers = Vec::new();
        for (place, address) in preset.workers.iter().zip(addresses) {
            let worker = start_worker(launcher, preset, place, address, weights, flags)?;
            workers.push(worker);
        }
        for worker in &mut workers {
            let process = &mut worker.process;
            wait_http(&client, process, worker.address, "/worker", READY_TIMEOUT).await?;
        }
        wait_http(
            &client,
            &mut others[0],
            platform,
            "/machines",
            READY_TIMEOUT,
        )
        .await?;
        let standins = Self {
            client,
            workers,
            platform,
            weights,
            script,
            others,
        };
        for worker in &standins.workers {
            standins
                .put_machine(&worker.place, worker.address, MachineState::Live)
                .await?;
        }
        Ok(standins)
    }

    /// Sets a worker's state on the platform list.
    pub async fn put_machine(
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
        for worker in &self.workers {
            let usages = self.worker_usage(worker.address).await;
            for usage in usages.unwrap_or_default() {
                add_usage(&mut total, &usage);
            }
        }
        total
    }

    async fn worker_usage(&self, address: SocketAddr) -> reqwest::Result<Vec<EngineUsage>> {
        let url = format!("http://{address}/usage");
        self.client.get(url).send().await?.json().await
    }

    /// Planned stop of all; each must end with exit code 0.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        let workers = self.workers.iter_mut().map(|worker| &mut worker.process);
        for process in workers.chain(self.others.iter_mut()) {
            process.stop(STOP_TIMEOUT).await?;
        }
        Ok(())
    }

    /// Number of stand-in processes.
    pub fn process_count(&self) -> usize {
        self.workers.len() + self.others.len()
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

fn start_worker(
    launcher: &Launcher,
    preset: &Preset,
    place: &WorkerPlace,
    address: SocketAddr,
    weights: SocketAddr,
    flags: &WorkerFlags,
) -> anyhow::Result<RunningWorker> {
    let ledger = launcher.folder().join(format!("{}.ledger", place.name));
    let own_flags = [
        ("--name", place.name.clone()),
        ("--zone", place.zone.to_string()),
        ("--listen", address.to_string()),
        ("--engines", place.engines.to_string()),
        ("--model", preset.versioned_model()),
        ("--adapter", preset.versioned_adapter()),
        ("--weights", weights.to_string()),
        ("--ledger", ledger.display().to_string()),
    ];
    let mut arguments = vec!["worker".to_string()];
    for (flag, value) in own_flags {
        arguments.extend([flag.to_string(), value]);
    }
    arguments.extend(flags.0.iter().cloned());
    Ok(RunningWorker {
        place: place.clone(),
        address,
        ledger,
        process: launcher.start_standin(&place.name, arguments)?,
    })
}

fn add_usage(total: &mut EngineUsage, usage: &EngineUsage) {
    total.busy_us += usage.busy_us;
    total.online.prefill_tokens += usage.online.prefill_tokens;
    total.online.generated_tokens += usage.online.generated_tokens;
    total.batch.prefill_tokens += usage.batch.prefill_tokens;
    total.batch.generated_tokens += usage.batch.generated_tokens;
}
