//! The processes of a scale run: real control machines, one real node, and
//! hollow processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use ed25519_dalek::SigningKey;
use pinerill_types::bundle::{Bundle, Operator, Policy};
use pinerill_types::OperatorName;
use pinerill_wire::api::ControlApi;
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{ClusterInit, Request, Response};

use super::hollow::HollowResults;
use super::load::Signer;
use super::size::{Size, CONTROLS, NODES_PER_PROCESS};
use crate::fleet::launcher::Launcher;
use crate::fleet::pinerill::{write_key, PinerillFleet, PinerillPlan};
use crate::fleet::ports::free_address;
use crate::fleet::process::{ChildProcess, Signal};

/// Zones of the required size.
const ZONES: u64 = 13;
/// Longest time until the control machines answer.
const START_TIME: Duration = Duration::from_secs(20);
/// Longest time of a planned stop.
const STOP_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for one question.
const CALL_TIME: Duration = Duration::from_secs(10);
/// The cluster's key: nothing here is secret.
const KEY: [u8; 32] = [7; 32];
/// Operator of the run.
const OPERATOR: &str = "scale";

/// The running processes.
pub struct ScaleFleet {
    launcher: Arc<Launcher>,
    /// Control machines and the real node.
    pub pinerill: PinerillFleet,
    _hollow_workers: ChildProcess,
    hollow_nodes: Vec<(ChildProcess, PathBuf)>,
}

/// Names of the zones.
pub fn zones() -> Vec<String> {
    (0..ZONES).map(|zone| format!("zone-{zone}")).collect()
}

/// The operator who signs in this run.
pub fn signer() -> Signer {
    Signer {
        operator: OperatorName::from(OPERATOR),
        key: SigningKey::from_bytes(&KEY),
    }
}

impl ScaleFleet {
    /// Starts control machines and hollow workers, founds the cluster, and
    /// starts one real node.
    ///
    /// # Errors
    /// When a process does not start or the cluster is not founded.
    pub async fn start(launcher: Arc<Launcher>, size: &Size) -> anyhow::Result<Self> {
        let key_file = write_key(launcher.folder(), KEY)?;
        let worker_address = free_address()?;
        let hollow_workers = start_workers(&launcher, worker_address, size)?;
        let plan = PinerillPlan::spread("scale", zones(), CONTROLS as usize, 1, worker_address);
        let pinerill = PinerillFleet::start(launcher.clone(), plan, key_file).await?;
        let mut fleet = Self {
            launcher,
            pinerill,
            _hollow_workers: hollow_workers,
            hollow_nodes: Vec::new(),
        };
        fleet.found(size).await?;
        fleet.pinerill.start_nodes()?;
        Ok(fleet)
    }

    /// A client of the control machines.
    ///
    /// # Errors
    /// When the cluster key can't be read.
    pub fn client(&self) -> anyhow::Result<Arc<ControlClient>> {
        self.pinerill.client()
    }

    /// The data folder of a control machine.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.pinerill.controls[index].settings.data_folder.clone()
    }

    async fn found(&mut self, size: &Size) -> anyhow::Result<()> {
        let signer = signer();
        let public_key = signer.key.verifying_key().to_bytes();
        let mut founding = Bundle {
            policy: Policy::default(),
            ..Bundle::default()
        };
        let operator = Operator {
            public_key: public_key
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect(),
        };
        founding.operators.insert(signer.operator, operator);
        let request = Request::ClusterInit(ClusterInit {
            founding,
            job_groups: size.job_groups as u32,
            voters: CONTROLS as u32,
        });
        let client = self.client()?;
        let end = Instant::now() + START_TIME;
        loop {
            match client.call_any(request.clone(), CALL_TIME).await {
                Ok(Response::ClusterInit(_)) => break,
                Ok(other) => bail!("founding the cluster: unexpected {other:?}"),
                Err(error) if Instant::now() >= end => {
                    return Err(error).context("founding the cluster");
                }
                Err(_) => self.pinerill.ensure_controls_run()?,
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        let groups = size.job_groups as usize + 1;
        self.pinerill.await_leaders(groups).await
    }

    /// Starts the hollow nodes, which count nothing for the time of `warm_up`.
    ///
    /// # Errors
    /// When a process does not start.
    pub fn start_hollow_nodes(
        &mut self,
        size: &Size,
        lease_limit: u32,
        warm_up: Duration,
    ) -> anyhow::Result<()> {
        let settings = self.pinerill.settings(self.pinerill.cluster_settings(None));
        let settings_path = self.pinerill.write_settings("hollow", &settings)?;
        let mut first = 0;
        while first < size.nodes {
            let count = NODES_PER_PROCESS.min(size.nodes - first);
            let name = format!("hollow-nodes-{first}");
            let out = self.launcher.folder().join(format!("{name}.json"));
            let arguments = vec![
                "hollow-nodes".to_owned(),
                format!("--settings={}", settings_path.display()),
                format!("--first={first}"),
                format!("--count={count}"),
                format!("--zones={}", zones().join(",")),
                format!("--lease-limit={lease_limit}"),
                format!("--warm-up-seconds={}", warm_up.as_secs()),
                format!("--out={}", out.display()),
            ];
            let process = self.launcher.start_standin(&name, arguments)?;
            self.hollow_nodes.push((process, out));
            first += count;
        }
        Ok(())
    }

    /// What hollow nodes tell of times without a confirmed watch begins now.
    ///
    /// # Errors
    /// When one died.
    pub fn mark_hollow_nodes(&mut self) -> anyhow::Result<()> {
        for (process, _) in &mut self.hollow_nodes {
            process.signal(Signal::Mark)?;
        }
        Ok(())
    }

    /// Stops the hollow nodes and adds up what they saw.
    ///
    /// # Errors
    /// When one died or wrote no results.
    pub async fn stop_hollow_nodes(&mut self) -> anyhow::Result<HollowResults> {
        let mut total = HollowResults::default();
        for (process, _) in &mut self.hollow_nodes {
            process.signal(Signal::Terminate)?;
        }
        for (mut process, out) in self.hollow_nodes.drain(..) {
            process.stop(STOP_TIME).await?;
            let text = std::fs::read_to_string(&out)
                .with_context(|| format!("reading {}", out.display()))?;
            total.add(&serde_json::from_str(&text)?);
        }
        Ok(total)
    }

    /// Stops everything in a planned way.
    ///
    /// # Errors
    /// When a process does not end with exit code 0.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        self.pinerill.stop().await
    }
}

fn start_workers(
    launcher: &Launcher,
    listen: SocketAddr,
    size: &Size,
) -> anyhow::Result<ChildProcess> {
    let arguments = vec![
        "hollow-workers".to_owned(),
        format!("--listen={listen}"),
        format!("--workers={}", size.workers),
        format!("--zones={}", zones().join(",")),
    ];
    launcher.start_standin("hollow-workers", arguments)
}
