//! A whole fleet on this machine: stand-ins, control machines, nodes and a
//! first bundle in force. Demo, faults and bench all begin with it.

pub mod bundles;
mod failure;
mod interrupt;
mod progress;
mod roll_out;

use std::sync::Arc;
use std::time::Duration;

use anyhow::{ensure, Context};
use pinerill_types::bundle::Bundle;
use reqwest::Client;
use tokio::time::{sleep, Instant};

use crate::fleet::launcher::Launcher;
use crate::fleet::operator::OperatorCommands;
use crate::fleet::pinerill::{PinerillFleet, PinerillPlan};
use crate::fleet::standins::{StandInOptions, StandIns};
use crate::load::content::{AnsweredBy, ContentContext};
use crate::load::job_client::JobClient;
use crate::load::node_target::NodeTarget;
use crate::load::readiness::{NodeAddresses, NodeReadiness};
use crate::preset::Preset;

pub use failure::keep_folder_of_failure;
pub use interrupt::until_interrupted;
pub use progress::Progress;
pub use roll_out::{make_cluster_key, BundleInForce, Operators, JOB_GROUPS};

/// Longest time until the control machines answer the bootstrap.
const FOUND_TIME: Duration = Duration::from_secs(20);
/// Pause between two tries.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// The caller's bearer key: nothing here is secret.
const CALLER_KEY: &str = "rehearsal-caller";

/// What a rehearsal starts with.
#[derive(Clone, Debug, Default)]
pub struct RehearsalOptions {
    /// Of the stand-ins.
    pub standins: StandInOptions,
    /// Log entries after which a group takes a snapshot; none for the default.
    pub snapshot_entries: Option<u64>,
    /// Every control machine is in a zone of its own, so that any one can be
    /// cut off alone.
    pub control_zones: bool,
}

/// A running fleet with its first bundle in force.
#[derive(Debug)]
pub struct Rehearsal {
    /// Folder and processes.
    pub launcher: Arc<Launcher>,
    /// The site that it stands for.
    pub preset: Preset,
    /// Engines and the other outside systems.
    pub standins: StandIns,
    /// Control machines and nodes.
    pub fleet: PinerillFleet,
    /// The operators.
    pub operators: Operators,
    /// The bundle in force.
    pub bundle: Bundle,
    client: Client,
}

impl Rehearsal {
    /// Starts everything, founds the cluster and rolls out the first bundle.
    ///
    /// # Errors
    /// When a step fails; the message names step and peer.
    pub async fn start(
        launcher: Arc<Launcher>,
        preset: Preset,
        options: &RehearsalOptions,
        progress: &Progress,
    ) -> anyhow::Result<Self> {
        let (workers, engines) = (preset.workers.len(), preset.engines());
        progress.step(format!(
            "starting {workers} workers with {engines} engines, platform list, weight store, old script"
        ));
        let standins = StandIns::start(&launcher, &preset, &options.standins)
            .await
            .context("starting the stand-ins")?;
        let mut fleet = start_controls(&launcher, &preset, &standins, options, progress).await?;
        let operators = found(&launcher, &mut fleet, progress).await?;
        progress.step(format!("starting {} nodes", fleet.plan().nodes.len()));
        fleet.start_nodes()?;
        let base = operators.show().await?;
        let bundle = bundles::first_bundle(&base, &preset, standins.script, CALLER_KEY);
        progress.step(format!("rolling out bundle {}", bundle.version));
        let nodes = fleet.nodes.len();
        operators
            .roll_out(&bundle, nodes)
            .await
            .context("rolling out the first bundle")?;
        fleet.await_nodes().await?;
        Ok(Self {
            launcher,
            preset,
            standins,
            fleet,
            operators,
            bundle,
            client: Client::builder().no_proxy().build()?,
        })
    }

    /// Rolls out the bundle after the one in force.
    ///
    /// # Errors
    /// When a command fails or a node does not take it over in time.
    pub async fn roll_out(&mut self, bundle: Bundle) -> anyhow::Result<()> {
        let nodes = self.fleet.nodes.len();
        self.operators.roll_out(&bundle, nodes).await?;
        self.bundle = bundle;
        Ok(())
    }

    /// Online requests to `service` at all nodes in turn.
    pub fn online_target(&self, service: &str) -> NodeTarget {
        NodeTarget::new(
            self.client.clone(),
            self.fleet.node_addresses(),
            CALLER_KEY.to_owned(),
            service.to_owned(),
        )
    }

    /// The same behind a load balancer, which leaves out nodes that are not
    /// ready.
    pub fn balanced_target(&self, service: &str) -> NodeTarget {
        let nodes = self.fleet.nodes.iter().map(|node| NodeAddresses {
            listen: node.settings.listen,
            admin: node.settings.admin,
        });
        let nodes: Vec<NodeAddresses> = nodes.collect();
        let readiness = NodeReadiness::start(&self.client, &nodes);
        self.online_target(service).behind(readiness)
    }

    /// The tenant's batch jobs at all nodes in turn.
    pub fn job_client(&self) -> JobClient {
        let nodes = self.fleet.node_addresses();
        JobClient::new(self.client.clone(), nodes, CALLER_KEY.to_owned())
    }

    /// The tenant's batch jobs at one node.
    pub fn job_client_of(&self, node: usize) -> JobClient {
        let nodes = vec![self.fleet.nodes[node].settings.listen];
        JobClient::new(self.client.clone(), nodes, CALLER_KEY.to_owned())
    }

    /// The caller's bearer key.
    pub fn caller_key(&self) -> &'static str {
        CALLER_KEY
    }

    /// A client for HTTP.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// What requests to the service of the engines have in common.
    pub fn engine_content(&self, tag: &str) -> ContentContext {
        ContentContext {
            tag: tag.to_owned(),
            service: self.preset.service.to_owned(),
            model: self.preset.model.to_owned(),
            adapter: String::new(),
            answered_by: AnsweredBy::Engines,
        }
    }

    /// What requests to the service that moves off the old script have in
    /// common.
    pub fn moving_content(&self, tag: &str, answered_by: AnsweredBy) -> ContentContext {
        ContentContext {
            tag: tag.to_owned(),
            service: self.preset.script_service.to_owned(),
            model: self.preset.model.to_owned(),
            adapter: self.preset.adapter.to_owned(),
            answered_by,
        }
    }

    /// Planned stop of everything: nodes, control machines, stand-ins.
    ///
    /// # Errors
    /// When a process does not end with exit code 0 in time.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        self.fleet.stop().await?;
        self.standins.stop().await
    }

    /// Number of processes of the rehearsal.
    pub fn process_count(&self) -> usize {
        let relays = usize::from(self.fleet.relays.is_some());
        let pinerill = self.fleet.controls.len() + self.fleet.nodes.len() + relays;
        pinerill + self.standins.process_count()
    }
}

async fn start_controls(
    launcher: &Arc<Launcher>,
    preset: &Preset,
    standins: &StandIns,
    options: &RehearsalOptions,
    progress: &Progress,
) -> anyhow::Result<PinerillFleet> {
    let commands = operator_commands(launcher)?;
    let key_file = make_cluster_key(&commands, launcher.folder()).await?;
    let mut plan = PinerillPlan::of_preset(preset, standins.platform);
    if let Some(entries) = options.snapshot_entries {
        plan.snapshot_entries = entries;
    }
    if options.control_zones {
        plan.separate_controls();
    }
    let count = plan.controls.len();
    progress.step(format!("starting {count} control machines"));
    PinerillFleet::start(launcher.clone(), plan, key_file)
        .await
        .context("starting the control machines")
}

/// Founds the cluster with two new operators.
async fn found(
    launcher: &Arc<Launcher>,
    fleet: &mut PinerillFleet,
    progress: &Progress,
) -> anyhow::Result<Operators> {
    let settings = fleet.operator_settings()?;
    let commands = operator_commands(launcher)?;
    let operators = Operators::with_keys(commands, launcher.folder(), settings).await?;
    progress.step("founding the cluster");
    let end = Instant::now() + FOUND_TIME;
    loop {
        fleet.ensure_controls_run()?;
        let output = operators.found().await?;
        if output.code == Some(0) {
            break;
        }
        let late = Instant::now() >= end;
        ensure!(!late, "founding the cluster: {}", output.stderr.trim());
        sleep(LOOK_PAUSE).await;
    }
    fleet.await_leaders(JOB_GROUPS + 1).await?;
    Ok(operators)
}

fn operator_commands(launcher: &Launcher) -> anyhow::Result<OperatorCommands> {
    Ok(OperatorCommands {
        program: launcher.pinerill()?,
    })
}
