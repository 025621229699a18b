//! The processes of pinerill in a rehearsal: control machines and nodes, each
//! with a settings file of its own.

mod place;
mod relays;
mod settings;
mod status;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use futures::future::try_join_all;
use pinerill_types::settings::{ControlSettings, NodeSettings, Settings};
use pinerill_wire::api::Role;
use pinerill_wire::client::ControlClient;
use pinerill_wire::connection::{ClusterKey, Identity};

use super::launcher::Launcher;
use super::ports::free_addresses;
use super::process::ChildProcess;
use super::ready::wait_http;

pub use place::{PinerillPlan, ProcessPlace};
pub use relays::{RelayTarget, ZoneCut, ZoneRelays};
pub use settings::CONCURRENT_LOADS;
pub use status::cluster_status;

/// Longest time until a process is ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// Longest time until a process that was killed has ended.
const END_TIME: Duration = Duration::from_secs(10);
/// Longest planned stop of a control machine.
const CONTROL_STOP_TIME: Duration = Duration::from_secs(30);
/// Time that a node's planned stop may take beyond its drain limit.
const NODE_STOP_MARGIN: Duration = Duration::from_secs(10);
/// Name under which the kit connects to control machines.
const KIT_NAME: &str = "rehearsal";

/// A control machine that was started.
#[derive(Debug)]
pub struct RunningControl {
    /// Its settings.
    pub settings: ControlSettings,
    /// Its process.
    pub process: ChildProcess,
}

/// A node that was started.
#[derive(Debug)]
pub struct RunningNode {
    /// Its settings.
    pub settings: NodeSettings,
    /// Its process.
    pub process: ChildProcess,
}

/// The processes of pinerill.
#[derive(Debug)]
pub struct PinerillFleet {
    launcher: Arc<Launcher>,
    plan: PinerillPlan,
    key_file: PathBuf,
    targets: Vec<RelayTarget>,
    /// Relays between zones, if the plan has a latency.
    pub relays: Option<ZoneRelays>,
    /// Control machines in the plan's order.
    pub controls: Vec<RunningControl>,
    /// Nodes in the plan's order.
    pub nodes: Vec<RunningNode>,
}

impl PinerillFleet {
    /// Starts relays and control machines. The cluster is founded and the
    /// nodes are started afterwards.
    ///
    /// # Errors
    /// When a process does not start.
    pub async fn start(
        launcher: Arc<Launcher>,
        plan: PinerillPlan,
        key_file: PathBuf,
    ) -> anyhow::Result<Self> {
        let targets = relay_targets(&plan.controls)?;
        let relays = match plan.zone_latency {
            Some(latency) => {
                Some(ZoneRelays::start(&launcher, &plan.zones, &targets, latency).await?)
            }
            None => None,
        };
        let mut fleet = Self {
            launcher,
            plan,
            key_file,
            targets,
            relays,
            controls: Vec::new(),
            nodes: Vec::new(),
        };
        let admins = free_addresses(fleet.targets.len())?;
        for (target, admin) in fleet.targets.clone().iter().zip(admins) {
            let settings = fleet.control_settings(target, admin);
            let process = fleet.start_control(&settings)?;
            fleet.controls.push(RunningControl { settings, process });
        }
        Ok(fleet)
    }

    /// Starts the nodes. They are ready once a bundle with services is in
    /// force; see [`Self::await_nodes`].
    ///
    /// # Errors
    /// When a process does not start.
    pub fn start_nodes(&mut self) -> anyhow::Result<()> {
        let addresses = free_addresses(2 * self.plan.nodes.len())?;
        for (place, addresses) in self.plan.nodes.clone().iter().zip(addresses.chunks(2)) {
            let settings = self.node_settings(place, addresses[0], addresses[1]);
            let process = self.start_node(&settings)?;
            self.nodes.push(RunningNode { settings, process });
        }
        Ok(())
    }

    /// Waits until all nodes that run are ready.
    ///
    /// # Errors
    /// When one ends or is not ready in time, with its reasons.
    pub async fn await_nodes(&mut self) -> anyhow::Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        for node in &mut self.nodes {
            let admin = node.settings.admin;
            wait_http(&client, &mut node.process, admin, "/readyz", READY_TIME).await?;
        }
        Ok(())
    }

    /// Waits until a control machine answers that it is alive.
    ///
    /// # Errors
    /// When it ends or does not answer in time.
    pub async fn await_control(&mut self, index: usize) -> anyhow::Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let control = &mut self.controls[index];
        let admin = control.settings.admin;
        wait_http(&client, &mut control.process, admin, "/livez", READY_TIME).await
    }

    /// Starts a control machine again, with the same settings, once it has
    /// ended: one that was killed keeps its address for a moment.
    ///
    /// # Errors
    /// When it does not end or does not start.
    pub async fn restart_control(&mut self, index: usize) -> anyhow::Result<()> {
        self.controls[index].process.wait(END_TIME).await?;
        let process = self.start_control(&self.controls[index].settings)?;
        self.controls[index].process = process;
        Ok(())
    }

    /// Starts a node again, with the same settings, once it has ended.
    ///
    /// # Errors
    /// When it does not end or does not start.
    pub async fn restart_node(&mut self, index: usize) -> anyhow::Result<()> {
        self.nodes[index].process.wait(END_TIME).await?;
        let process = self.start_node(&self.nodes[index].settings)?;
        self.nodes[index].process = process;
        Ok(())
    }

    /// The plan.
    pub fn plan(&self) -> &PinerillPlan {
        &self.plan
    }

    /// Addresses of all nodes for callers.
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.settings.listen).collect()
    }

    /// Writes the settings of an operator's commands and returns the file.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn operator_settings(&self) -> anyhow::Result<PathBuf> {
        let settings = self.settings(self.cluster_settings(None));
        self.write_settings("operator", &settings)
    }

    /// A client of the control machines, past the relays.
    ///
    /// # Errors
    /// When the cluster key can't be read.
    pub fn client(&self) -> anyhow::Result<Arc<ControlClient>> {
        let key = ClusterKey::load(&self.key_file)?;
        let cluster = self.cluster_settings(None);
        let identity = Identity::new(&cluster.name, key, Role::Operator, KIT_NAME, "");
        Ok(Arc::new(ControlClient::new(identity, &cluster.controls)))
    }

    /// Fails when a control machine has ended, with the end of its log.
    pub fn ensure_controls_run(&mut self) -> anyhow::Result<()> {
        for control in &mut self.controls {
            control.process.ensure_running()?;
        }
        Ok(())
    }

    /// Planned stop of a node.
    ///
    /// # Errors
    /// When it does not end with exit code 0 in time.
    pub async fn stop_node(&mut self, index: usize) -> anyhow::Result<()> {
        let limit = self.plan.drain + NODE_STOP_MARGIN;
        self.nodes[index].process.stop(limit).await
    }

    /// Planned stop of a control machine.
    ///
    /// # Errors
    /// When it does not end with exit code 0 in time.
    pub async fn stop_control(&mut self, index: usize) -> anyhow::Result<()> {
        self.controls[index].process.stop(CONTROL_STOP_TIME).await
    }

    /// Planned stop of all: nodes at once, then one control machine after the
    /// other, so that each can hand its leaderships over, then the relays.
    ///
    /// # Errors
    /// When a process does not end with exit code 0 in time.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        let limit = self.plan.drain + NODE_STOP_MARGIN;
        let nodes = self.nodes.iter_mut();
        try_join_all(nodes.map(|node| node.process.stop(limit))).await?;
        for index in 0..self.controls.len() {
            self.stop_control(index).await?;
        }
        if let Some(relays) = &mut self.relays {
            relays.stop().await?;
        }
        Ok(())
    }

    fn start_control(&self, control: &ControlSettings) -> anyhow::Result<ChildProcess> {
        let cluster = self.cluster_settings(Some(control.zone.as_str()));
        let mut settings = self.settings(cluster);
        settings.control = Some(control.clone());
        self.start_pinerill(control.name.as_str(), "control", &settings)
    }

    fn start_node(&self, node: &NodeSettings) -> anyhow::Result<ChildProcess> {
        let cluster = self.cluster_settings(Some(node.zone.as_str()));
        let mut settings = self.settings(cluster);
        settings.node = Some(node.clone());
        self.start_pinerill(node.name.as_str(), "node", &settings)
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
}

/// Writes a cluster key that is known, for runs that need no secret.
///
/// # Errors
/// When the file can't be written.
pub fn write_key(folder: &Path, key: [u8; 32]) -> anyhow::Result<PathBuf> {
    let path = folder.join("cluster.key");
    std::fs::write(&path, hex::encode(key)).context("writing the cluster key")?;
    Ok(path)
}

fn relay_targets(controls: &[ProcessPlace]) -> anyhow::Result<Vec<RelayTarget>> {
    let addresses = free_addresses(controls.len())?;
    let targets = controls.iter().zip(addresses);
    Ok(targets
        .map(|(place, address)| RelayTarget {
            place: place.clone(),
            address,
        })
        .collect())
}
