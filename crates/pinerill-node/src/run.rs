//! Starts the components of a node, and drains and stops them on a signal.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::log_suspensions;
use pinerill_process::{monitoring_server, Server, StopSignals};
use pinerill_types::settings::Settings;
use pinerill_wire::api::{ControlApi, Role};
use pinerill_wire::client::ControlClient;
use pinerill_wire::connection::{ClusterKey, Identity, LinkCounters};
use tokio_util::task::AbortOnDropHandle;

use crate::batch::BatchShell;
use crate::configuration::ControlWatcher;
use crate::gateway::caller_server;
use crate::gauges;
use crate::membership::WorkerPoller;
use crate::node::Node;

/// Minimum time for which new requests are rejected before the listener closes, so that
/// callers that are just connecting receive an answer.
const REFUSAL_LEAD: Duration = Duration::from_millis(200);

/// Reasons for which a node fails to start or to stop cleanly.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings have no `node` section.
    #[error("start node with settings: the section [node] is missing")]
    NoSettings,
    /// The drain ended while requests were still in flight.
    #[error("stop node: {cut} requests in flight were cut")]
    Cut {
        /// Number of requests and batch items that were cut off.
        cut: usize,
    },
}

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the node can't start, or if the stop cut off requests in flight.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let client = Arc::new(control_client(&settings)?);
    let link = client.counters().clone();
    let signals = StopSignals::from_system()?;
    start(settings, client, Some(link), signals).await
}

fn control_client(settings: &Settings) -> anyhow::Result<ControlClient> {
    let node = settings.node.as_ref().ok_or(RunError::NoSettings)?;
    let key = ClusterKey::load(&settings.cluster.key_file)?;
    let identity = Identity::new(
        &settings.cluster.name,
        key,
        Role::Node,
        node.name.as_str(),
        node.zone.as_str(),
    );
    Ok(ControlClient::new(identity, &settings.cluster.controls))
}

/// Runs a node that calls the control machines through `api`, until `signals` requests
/// a stop.
///
/// # Errors
/// Returns an error if the node can't start, or if the stop cut off requests in flight.
pub async fn run_with(
    settings: Settings,
    api: Arc<dyn ControlApi>,
    signals: StopSignals,
) -> anyhow::Result<()> {
    start(settings, api, None, signals).await
}

async fn start(
    settings: Settings,
    api: Arc<dyn ControlApi>,
    link: Option<Arc<LinkCounters>>,
    signals: StopSignals,
) -> anyhow::Result<()> {
    let counters_pause = Duration::from_secs(settings.log.counters_seconds);
    let node_settings = settings.node.ok_or(RunError::NoSettings)?;
    let node = Arc::new(Node::new(node_settings, api, link)?);
    let callers = Server::start(node.settings.listen, caller_server(node.clone())).await?;
    let monitoring = monitoring_server(node.settings.admin, node.clone());
    let admin = Server::start(node.settings.admin, monitoring).await?;
    let tasks = start_tasks(&node, counters_pause);
    log::info!(
        "node {} serves at {}",
        node.settings.name,
        node.settings.listen
    );
    signals.planned.cancelled().await;
    let cut = drain(&node, &signals).await;
    callers.stop().await;
    admin.stop().await;
    drop(tasks);
    log_line(&node);
    if cut > 0 {
        return Err(RunError::Cut { cut }.into());
    }
    log::info!("node {} stopped, nothing was cut", node.settings.name);
    Ok(())
}

type Task = AbortOnDropHandle<()>;

fn start_tasks(node: &Arc<Node>, counters_pause: Duration) -> Vec<Task> {
    let watch = ControlWatcher {
        api: node.api.clone(),
        configuration: node.configuration.clone(),
        fleet: node.fleet.clone(),
        groups: node.groups.clone(),
        metrics: node.metrics.clone(),
        settings: node.settings.clone(),
        incarnation: node.incarnation,
    };
    let pause = Duration::from_millis(node.settings.report_poll_ms);
    let probes = WorkerPoller::new(node.fleet.clone(), pause);
    vec![
        spawn(watch.run()),
        spawn(probes.run()),
        spawn(node.execution.dispatcher.clone().run()),
        spawn(BatchShell::new(node, node.execution.dispatcher.clone()).run()),
        spawn(node.disconnects.clone().run()),
        spawn(log_counters(node.clone(), counters_pause)),
        spawn(log_suspensions()),
    ]
}

fn spawn(work: impl std::future::Future<Output = ()> + Send + 'static) -> Task {
    AbortOnDropHandle::new(tokio::spawn(work))
}

async fn log_counters(node: Arc<Node>, pause: Duration) {
    loop {
        tokio::time::sleep(pause).await;
        log_line(&node);
    }
}

fn log_line(node: &Node) {
    gauges::refresh(node);
    log::info!("counters: {}", node.metrics.line());
}

/// Announces the stop while requests are still accepted, then rejects new ones and
/// waits for those in flight. Returns the number of requests that were cut off, 0 if
/// all finished.
async fn drain(node: &Arc<Node>, signals: &StopSignals) -> usize {
    log::info!("stop begins, {} requests in flight", node.drain.in_flight());
    node.drain.announce();
    node.fleet.start_draining();
    node.batch.stop();
    let lead = Duration::from_millis(node.settings.drain_lead_ms);
    tokio::select! {
        () = tokio::time::sleep(lead) => {}
        () = signals.forced.cancelled() => {}
    }
    node.drain.start();
    let limit = Duration::from_millis(node.settings.drain_ms);
    let finished = async {
        tokio::time::sleep(REFUSAL_LEAD).await;
        node.drain.emptied().await;
        node.batch.finished().await;
    };
    tokio::select! {
        () = finished => return 0,
        () = tokio::time::sleep(limit) => {}
        () = signals.forced.cancelled() => {}
    }
    node.drain.in_flight() + node.batch.running_at_most_once()
}
