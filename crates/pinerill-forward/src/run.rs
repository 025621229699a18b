//! Starts the servers and background tasks of a node and shuts them down gracefully.
//!
//! Called by the binary. After SIGTERM or SIGINT, calls and items in flight get most of the
//! configured stop time to end ([`crate::drain`]); a second signal ends them at once. The leases of
//! unfinished items are then released.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use pinerill_calls::protocol::{CallerProtocol, WorkerListProtocol, WorkerProtocol};
use pinerill_process::clock::watch_suspensions;
use pinerill_process::{monitoring_server, Server, SettingsFile, StopSignals};
use pinerill_wire::api::Role;
use pinerill_wire::connection::{ClusterKey, Identity};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::cluster::{self, ClusterClient};
use crate::crash::mount_blocked_requests;
use crate::exchange::ConnectionPool;
use crate::fleet::{ChoiceSettings, Fleet};
use crate::monitoring::Metrics;
use crate::node::{Node, NodeParts};
use crate::peers::{self, Peers};
use crate::{batch, dispatch, gateway, quota, slow_start};
use pinerill_calls::settings::{cluster_key, ForwardingSettings, NodeSettings, SettingsError};

/// Interval between two removals of expired connections, peers and crash records.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Protocols spoken with callers, with workers and with the platform list.
pub struct NodeProtocols {
    /// Protocol of callers' requests and of the responses to them.
    pub callers: Arc<dyn CallerProtocol>,
    /// Protocol of requests to workers and of their responses.
    pub workers: Arc<dyn WorkerProtocol>,
    /// Protocol for reading the platform's list of workers.
    pub worker_list: Arc<dyn WorkerListProtocol>,
}

/// Runs a node until it has shut down after SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the settings are invalid, a port cannot be bound, or another part of the
/// node cannot start.
pub async fn run(file: SettingsFile, protocols: NodeProtocols) -> anyhow::Result<()> {
    let settings = ForwardingSettings::read(file.text())?;
    let cluster = settings.cluster;
    let settings = settings.node.ok_or(SettingsError::MissingSection("node"))?;
    let key = cluster_key(&cluster)?;
    let signals = StopSignals::from_system()?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("listen at {}", settings.listen))?;
    let (ready_listen, admin) = (settings.ready_listen, settings.admin);
    let peers = Peers::listen(settings.peer_listen)
        .await
        .with_context(|| format!("listen at {}", settings.peer_listen))?;
    let node = build(
        settings,
        &cluster.name,
        key,
        &protocols,
        peers,
        &signals.planned,
    )?;
    let node = Arc::new(node);
    let probes = Server::start(ready_listen, monitoring_server(ready_listen, node.clone())).await?;
    let admin_server = mount_blocked_requests(monitoring_server(admin, node.clone()), node.clone());
    let metrics = Server::start(admin, admin_server).await?;
    log::info!(
        event = "started", node = node.settings.name.as_str(),
        address:% = node.settings.listen; ""
    );
    let spawn = |work| AbortOnDropHandle::<()>::new(tokio::spawn(work));
    let following_cluster = spawn(boxed(cluster::follow_leader(
        node.clone(),
        protocols.worker_list,
    )));
    let reading_versions = spawn(boxed(cluster::read_versions(node.clone())));
    let mut items = spawn(boxed(batch::run(node.clone())));
    let reloading_settings = spawn(boxed(reload_settings(node.clone(), file)));
    let receiving_from_peers = spawn(boxed(peers::receive(node.clone())));
    let broadcasting = spawn(boxed(peers::broadcast_counts(node.clone())));
    let broadcasting_paces = spawn(boxed(peers::broadcast_paces(node.clone())));
    let broadcasting_to_zones = spawn(boxed(peers::broadcast_zone_counts(node.clone())));
    let reporting_queue = spawn(boxed(peers::broadcast_queue(node.clone())));
    let reporting_tenants = spawn(boxed(peers::broadcast_zone_tenants(node.clone())));
    let broadcasting_crashes = spawn(boxed(peers::resend_crash_reports(node.clone())));
    let dispatching = spawn(boxed(dispatch::run(node.clone())));
    let borrowing = spawn(boxed(quota::borrow(node.clone())));
    let borrowing_slow_starts = spawn(boxed(slow_start::borrow(node.clone())));
    let watching_suspensions = spawn(boxed(watch_for_suspensions(node.clone())));
    let sweeping = spawn(boxed(sweep(node.clone())));
    let ending = async {
        gateway::serve(node.clone(), listener).await;
        // Items in flight get the same time to end as calls.
        let _ = (&mut items).await;
    };
    let stop = async {
        signals.planned.cancelled().await;
        log::info!(event = "stopping", node = node.settings.name.as_str(); "");
        node.drain.finish().await;
    };
    let forced_stop = async {
        signals.forced.cancelled().await;
        log::warn!(event = "stopped_at_once"; "");
        node.drain.finish_at_once().await;
    };
    tokio::select! {
        () = ending => {}
        () = stop => log::warn!(event = "work_cut"; ""),
        () = forced_stop => {}
    }
    drop(items);
    batch::release_all(&node).await;
    drop((
        following_cluster,
        reading_versions,
        receiving_from_peers,
        broadcasting,
        broadcasting_paces,
        broadcasting_to_zones,
        reporting_queue,
        reporting_tenants,
        broadcasting_crashes,
        dispatching,
        borrowing,
        borrowing_slow_starts,
        reloading_settings,
        watching_suspensions,
        sweeping,
    ));
    tokio::join!(probes.stop(), metrics.stop());
    log::info!(event = "stopped", node = node.settings.name.as_str(); "");
    Ok(())
}

type BoxedTask = std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>>;

fn boxed(work: impl std::future::Future<Output = ()> + Send + 'static) -> BoxedTask {
    Box::pin(work)
}

fn build(
    settings: NodeSettings,
    cluster: &str,
    key: ClusterKey,
    protocols: &NodeProtocols,
    peers: Peers,
    stopping: &CancellationToken,
) -> anyhow::Result<Node> {
    let identity = Identity::new(cluster, key, Role::Node, &settings.name, &settings.zone);
    let choice = ChoiceSettings {
        batch_share: settings.batch_share,
        leave_notice_ms: settings.leave_notice_ms,
        ..ChoiceSettings::default()
    };
    Ok(Node::new(NodeParts {
        metrics: Metrics::new().context("register metrics")?,
        incarnation: format!("{}/{:016x}", settings.name, rand::random::<u64>()),
        cluster: ClusterClient::new(identity, &settings.seed_addresses()),
        fleet: Fleet::new(&settings.zone, choice).with_regions(settings.zones.clone()),
        peers,
        caller_protocol: protocols.callers.clone(),
        worker_protocol: protocols.workers.clone(),
        stopping: stopping.clone(),
        settings,
    }))
}

/// Applies changes of the seed addresses whenever the settings file changes. All other settings
/// take effect only after a restart.
async fn reload_settings(node: Arc<Node>, mut file: SettingsFile) {
    loop {
        match ForwardingSettings::read(file.changed().await) {
            Ok(settings) => {
                let seeds = settings.node.map(|node| node.seed_addresses());
                let seeds = seeds.unwrap_or_default();
                log::info!(event = "settings_reloaded", seeds:? = seeds; "");
                node.cluster.update_seeds(seeds);
                node.known_state
                    .needs_full_update
                    .store(true, Ordering::Relaxed);
            }
            Err(error) => log::warn!(event = "settings_refused", error:%; ""),
        }
    }
}

/// Checks for suspensions of the machine as long as the node runs.
async fn watch_for_suspensions(node: Arc<Node>) {
    watch_suspensions(|_| node.check_suspension()).await;
}

/// Periodically removes expired connections, silent peers, and old records of crashes and streams.
async fn sweep(node: Arc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        ConnectionPool::sweep(node.connections());
        node.with_fleet(|fleet, now_ms| fleet.forget_silent_peers(now_ms));
        node.forget_old_crashes();
        node.forget_old_origins();
    }
}
