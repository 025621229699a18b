//! The processes of a scale run: real control machines, one real node, and
//! hollow processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use ed25519_dalek::SigningKey;
use pinerill_types::bundle::{Bundle, Operator, Policy};
use pinerill_types::settings::{
    ClusterSettings, ControlSettings, LogSettings, NodeSettings, Settings,
};
use pinerill_types::{NodeName, OperatorName, ZoneName};
use pinerill_wire::api::{ControlApi, Role};
use pinerill_wire::client::ControlClient;
use pinerill_wire::connection::{ClusterKey, Identity};
use pinerill_wire::message::{
    ClusterInit, ClusterStatusRequest, ClusterStatusResponse, Request, Response,
};

use super::hollow::HollowResults;
use super::load::Signer;
use super::size::{Size, CONTROLS, NODES_PER_PROCESS};
use crate::fleet::launcher::Launcher;
use crate::fleet::ports::free_addresses;
use crate::fleet::process::{ChildProcess, Signal};

/// Zones of the letter's size.
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
pub struct ScaleFleet<'a> {
    launcher: &'a Launcher,
    folder: PathBuf,
    cluster: ClusterSettings,
    /// Control machines.
    pub controls: Vec<ChildProcess>,
    /// The real node.
    pub node: Option<ChildProcess>,
    /// Where the real node serves its metrics.
    pub node_admin: SocketAddr,
    control_settings: Vec<ControlSettings>,
    hollow_workers: Option<ChildProcess>,
    hollow_nodes: Vec<(ChildProcess, PathBuf)>,
    worker_address: SocketAddr,
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

impl<'a> ScaleFleet<'a> {
    /// Starts control machines and hollow workers, and founds the cluster.
    ///
    /// # Errors
    /// When a process does not start or the cluster is not founded.
    pub async fn start(launcher: &'a Launcher, size: &Size) -> anyhow::Result<Self> {
        let folder = launcher.folder();
        let addresses = free_addresses(2 * CONTROLS as usize + 3)?;
        let (control_addresses, rest) = addresses.split_at(CONTROLS as usize);
        let (admin_addresses, rest) = rest.split_at(CONTROLS as usize);
        let key_file = folder.join("cluster.key");
        let key_text: String = KEY.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(&key_file, key_text).context("writing the cluster key")?;
        let mut fleet = Self {
            launcher,
            folder: folder.to_owned(),
            cluster: ClusterSettings {
                name: "scale".to_owned(),
                key_file,
                controls: control_addresses.to_vec(),
            },
            controls: Vec::new(),
            control_settings: Vec::new(),
            node: None,
            node_admin: rest[1],
            hollow_workers: None,
            hollow_nodes: Vec::new(),
            worker_address: rest[0],
        };
        fleet.start_workers(size)?;
        for (index, (listen, admin)) in control_addresses.iter().zip(admin_addresses).enumerate() {
            fleet.start_control(index, *listen, *admin)?;
        }
        fleet.found(size).await?;
        fleet.start_node(rest[2])?;
        Ok(fleet)
    }

    fn start_workers(&mut self, size: &Size) -> anyhow::Result<()> {
        let arguments = vec![
            "hollow-workers".to_owned(),
            format!("--listen={}", self.worker_address),
            format!("--workers={}", size.workers),
            format!("--zones={}", zones().join(",")),
        ];
        let process = self.launcher.start_standin("hollow-workers", arguments)?;
        self.hollow_workers = Some(process);
        Ok(())
    }

    fn start_control(
        &mut self,
        index: usize,
        listen: SocketAddr,
        admin: SocketAddr,
    ) -> anyhow::Result<()> {
        let zone = zones()[index % ZONES as usize].clone();
        self.control_settings.push(ControlSettings {
            name: NodeName(format!("control-{index}")),
            zone: ZoneName(zone),
            listen,
            admin,
            data_folder: self.folder.join(format!("control-{index}")),
            platform: Some(self.worker_address),
            heartbeat_ms: 100,
            election_ms: 600,
            snapshot_entries: 10_000,
            concurrent_loads: 4,
        });
        let process = self.start_control_process(index)?;
        self.controls.push(process);
        Ok(())
    }

    fn start_control_process(&self, index: usize) -> anyhow::Result<ChildProcess> {
        let settings = Settings {
            cluster: self.cluster.clone(),
            control: Some(self.control_settings[index].clone()),
            node: None,
            log: LogSettings::default(),
        };
        self.start_pinerill(&format!("control-{index}"), "control", &settings)
    }

    /// Starts a control machine that has ended again, with the same settings.
    ///
    /// # Errors
    /// When it does not start.
    pub fn restart_control(&mut self, index: usize) -> anyhow::Result<()> {
        self.controls[index] = self.start_control_process(index)?;
        Ok(())
    }

    /// The data folder of a control machine.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.control_settings[index].data_folder.clone()
    }

    /// Sum of a metric over all control machines that answer.
    ///
    /// # Errors
    /// When an answer can't be read.
    pub async fn sum_metric(&self, name: &str) -> anyhow::Result<f64> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let mut sum = 0.0;
        for control in &self.control_settings {
            let url = format!("http://{}/metrics", control.admin);
            let Ok(response) = client.get(&url).send().await else {
                continue;
            };
            let text = response
                .text()
                .await
                .with_context(|| format!("reading metrics with {}", control.admin))?;
            sum += metric(&text, name);
        }
        Ok(sum)
    }

    fn start_node(&mut self, listen: SocketAddr) -> anyhow::Result<()> {
        let zones = zones();
        let settings = Settings {
            cluster: self.cluster.clone(),
            control: None,
            node: Some(NodeSettings {
                name: NodeName::from("real-node"),
                zone: ZoneName(zones[0].clone()),
                neighbours: Vec::new(),
                listen,
                admin: self.node_admin,
                body_limit_kib: 1_024,
                batch_limit_kib: 65_536,
                worker_subset: 48,
                report_poll_ms: 500,
                drain_ms: 10_000,
            }),
            log: LogSettings::default(),
        };
        self.node = Some(self.start_pinerill("real-node", "node", &settings)?);
        Ok(())
    }

    fn start_pinerill(
        &self,
        name: &str,
        subcommand: &str,
        settings: &Settings,
    ) -> anyhow::Result<ChildProcess> {
        let path = self.write_settings(name, settings)?;
        let arguments = vec![
            subcommand.to_owned(),
            "--settings".to_owned(),
            path.display().to_string(),
        ];
        let program = self.launcher.pinerill()?;
        self.launcher.start(name, &program, arguments)
    }

    fn write_settings(&self, name: &str, settings: &Settings) -> anyhow::Result<PathBuf> {
        let path = self.folder.join(format!("{name}.toml"));
        let text = toml::to_string(settings).context("writing settings")?;
        std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
        Ok(path)
    }

    /// A client of the control machines.
    pub fn client(&self) -> Arc<ControlClient> {
        let key = ClusterKey::from_bytes(KEY);
        let identity = Identity::new(&self.cluster.name, key, Role::Operator, OPERATOR, "");
        Arc::new(ControlClient::new(identity, &self.cluster.controls))
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
        let client = self.client();
        let end = Instant::now() + START_TIME;
        loop {
            match client.call_any(request.clone(), CALL_TIME).await {
                Ok(Response::ClusterInit(_)) => break,
                Ok(other) => bail!("founding the cluster: unexpected {other:?}"),
                Err(error) if Instant::now() >= end => {
                    return Err(error).context("founding the cluster");
                }
                Err(_) => self.ensure_running()?,
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        self.await_leaders(size.job_groups as usize + 1).await
    }

    /// Waits until every group has a leader.
    async fn await_leaders(&mut self, groups: usize) -> anyhow::Result<()> {
        let end = Instant::now() + START_TIME;
        let client = self.client();
        while Instant::now() < end {
            if let Ok(status) = cluster_status(&client).await {
                let led = status.groups.iter().filter(|group| group.leader.is_some());
                if led.count() >= groups {
                    return Ok(());
                }
            }
            self.ensure_running()?;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        bail!("not all of {groups} groups have a leader after {START_TIME:?}")
    }

    fn ensure_running(&mut self) -> anyhow::Result<()> {
        for process in &mut self.controls {
            process.ensure_running()?;
        }
        Ok(())
    }

    /// Starts the hollow nodes.
    ///
    /// # Errors
    /// When a process does not start.
    pub fn start_hollow_nodes(&mut self, size: &Size, lease_limit: u32) -> anyhow::Result<()> {
        let settings = Settings {
            cluster: self.cluster.clone(),
            control: None,
            node: None,
            log: LogSettings::default(),
        };
        let settings_path = self.write_settings("hollow", &settings)?;
        let mut first = 0;
        while first < size.nodes {
            let count = NODES_PER_PROCESS.min(size.nodes - first);
            let name = format!("hollow-nodes-{first}");
            let out = self.folder.join(format!("{name}.json"));
            let arguments = vec![
                "hollow-nodes".to_owned(),
                format!("--settings={}", settings_path.display()),
                format!("--first={first}"),
                format!("--count={count}"),
                format!("--zones={}", zones().join(",")),
                format!("--lease-limit={lease_limit}"),
                format!("--out={}", out.display()),
            ];
            let process = self.launcher.start_standin(&name, arguments)?;
            self.hollow_nodes.push((process, out));
            first += count;
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
        if let Some(mut node) = self.node.take() {
            node.stop(STOP_TIME).await?;
        }
        for process in &mut self.controls {
            process.stop(STOP_TIME).await?;
        }
        Ok(())
    }
}

/// Asks for the cluster's status.
///
/// # Errors
/// When no control machine answers.
pub async fn cluster_status(client: &ControlClient) -> anyhow::Result<ClusterStatusResponse> {
    let request = Request::ClusterStatus(ClusterStatusRequest);
    match client.call_any(request, CALL_TIME).await? {
        Response::ClusterStatus(status) => Ok(status),
        other => bail!("reading the cluster's status: unexpected {other:?}"),
    }
}

/// The value of a metric without labels, or the sum over its labels.
fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter(|rest| rest.starts_with(' ') || rest.starts_with('{'))
        .filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
