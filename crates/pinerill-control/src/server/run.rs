//! Starts the parts of a control machine, and stops them in a planned way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use parking_lot::Mutex;
use pinerill_process::clock::log_suspensions;
use pinerill_process::{monitoring_server, Server, StopSignals};
use pinerill_storage::{GroupStore, Store};
use pinerill_types::settings::{ControlSettings, Settings};
use pinerill_wire::api::Role;
use pinerill_wire::connection::{self, ClusterKey, Identity, PeerPool};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::confirmation::Confirmations;
use super::control::{Control, ControlCounters};
use super::directory::Directory;
use super::groups::Groups;
use super::groups_runtime::GroupsRuntime;
use super::placement_source::ServerSource;
use super::service::ControlService;
use super::snapshots::Snapshots;
use super::transport::PeerTransport;
use crate::host::{stay_out_if_unreadable, GroupHost, HostSettings};
use crate::placement;

/// Longest wait for answers in flight at a planned stop.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Why a control machine did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings have no section `control`.
    #[error("start control with settings: the section [control] is missing")]
    NoSettings,
    /// It can't listen.
    #[error("listen at {address}: {message}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's message.
        message: String,
    },
}

/// Runs a control machine until SIGTERM or SIGINT.
///
/// # Errors
/// When it can't start.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let signals = StopSignals::from_system()?;
    run_with(settings, signals).await
}

/// Runs a control machine until it is told to stop.
///
/// # Errors
/// When it can't start.
pub async fn run_with(settings: Settings, signals: StopSignals) -> anyhow::Result<()> {
    let counters_pause = Duration::from_secs(settings.log.counters_seconds);
    let listener = listen(&settings).await?;
    let control = build(settings)?;
    if let Err(error) = control.groups.open_stored() {
        return stay_out_if_unreadable(error, &signals.planned).await;
    }
    let monitoring = monitoring_server(control.settings.admin, control.clone());
    let admin = Server::start(control.settings.admin, monitoring).await?;
    let closing = CancellationToken::new();
    let service = Arc::new(ControlService {
        control: control.clone(),
    });
    let server = tokio::spawn(connection::serve(
        listener,
        control.identity.clone(),
        service,
        control.server_counters.clone(),
        closing.clone(),
    ));
    let tasks = start_tasks(&control, counters_pause);
    log::info!(
        "control machine {} listens at {}, replica {:016x}",
        control.name(),
        control.settings.listen,
        control.groups.replica().0
    );
    signals.planned.cancelled().await;
    tokio::select! {
        () = hand_over(&control) => {}
        () = signals.forced.cancelled() => log::warn!("stopped at once"),
    }
    closing.cancel();
    if timeout(ANSWER_LIMIT, server).await.is_err() {
        log::warn!("answers in flight were cut");
    }
    control.groups.host().halt().await;
    control.closed.cancel();
    drop(tasks);
    admin.stop().await;
    log::info!("counters: {}", control.counters_line());
    log::info!("control machine {} stopped", control.name());
    Ok(())
}

async fn listen(settings: &Settings) -> Result<TcpListener, StartError> {
    let control = settings.control.as_ref().ok_or(StartError::NoSettings)?;
    let address = control.listen;
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen {
            address,
            message: error.to_string(),
        })
}

fn build(settings: Settings) -> anyhow::Result<Arc<Control>> {
    let own = settings.control.ok_or(StartError::NoSettings)?;
    let key = ClusterKey::load(&settings.cluster.key_file)?;
    let store = Store::open(&own.data_folder)
        .with_context(|| format!("open data folder {}", own.data_folder.display()))?;
    let store: Arc<dyn GroupStore> = Arc::new(store);
    let identity = identity(&settings.cluster.name, key, &own, store.as_ref());
    let others: Vec<SocketAddr> = settings
        .cluster
        .controls
        .iter()
        .copied()
        .filter(|address| *address != own.listen)
        .collect();
    let closed = CancellationToken::new();
    let runtime = GroupsRuntime::start()?;
    let inside = runtime.enter();
    let pool = PeerPool::start(&others, &identity, &closed);
    let transport = Arc::new(PeerTransport::new(pool.clone()));
    let host = GroupHost::start(store.clone(), transport.clone(), host_settings(&own));
    drop(inside);
    let groups = Arc::new(Groups::new(host, runtime, store, identity.clone()));
    Ok(Arc::new(Control {
        settings: own,
        identity,
        pool,
        addresses: settings.cluster.controls,
        transport,
        groups,
        directory: Mutex::new(Directory::new(rand::random::<u64>().max(1))),
        confirmations: Confirmations::default(),
        news: watch::Sender::new(0),
        founding: Mutex::default(),
        snapshots: Snapshots::default(),
        counters: ControlCounters::default(),
        server_counters: Arc::default(),
        placement_counters: Arc::default(),
        stopping: CancellationToken::new(),
        closed,
    }))
}

fn identity(
    cluster: &str,
    key: ClusterKey,
    own: &ControlSettings,
    store: &dyn GroupStore,
) -> Identity {
    let folder = store.identity();
    let cluster_id = folder.cluster.map_or(0, |cluster| cluster.0);
    Identity::new(
        cluster,
        key,
        Role::Control,
        own.name.as_str(),
        own.zone.as_str(),
    )
    .with_replica(folder.replica.0, cluster_id)
    .with_listen(own.listen)
}

fn host_settings(own: &ControlSettings) -> HostSettings {
    HostSettings {
        heartbeat: Duration::from_millis(own.heartbeat_ms),
        election_min: Duration::from_millis(own.election_ms),
        election_max: Duration::from_millis(own.election_ms * 2),
        snapshot_entries: own.snapshot_entries,
        ..HostSettings::default()
    }
}

type Task = AbortOnDropHandle<()>;

fn spawn(work: impl std::future::Future<Output = ()> + Send + 'static) -> Task {
    AbortOnDropHandle::new(tokio::spawn(work))
}

fn start_tasks(control: &Arc<Control>, counters_pause: Duration) -> Vec<Task> {
    let source = Arc::new(ServerSource {
        control: control.clone(),
    });
    let place = placement::run(
        source,
        control.settings.concurrent_loads,
        control.placement_counters.clone(),
        control.stopping.clone(),
    );
    let mut tasks = vec![
        spawn(control.clone().reconcile()),
        spawn(control.clone().refresh_directory()),
        spawn(control.clone().follow_platform()),
        spawn(confirm(control.clone())),
        spawn(log_counters(control.clone(), counters_pause)),
        spawn(log_suspensions()),
        spawn(place),
    ];
    let others = control.other_addresses();
    tasks.extend(others.map(|address| spawn(control.clone().ask_peer(address))));
    tasks
}

async fn confirm(control: Arc<Control>) {
    let barrier = || async {
        match control.groups.meta() {
            Some(meta) => meta.read_barrier().await.is_ok(),
            None => false,
        }
    };
    control.confirmations.run(barrier).await;
}

async fn log_counters(control: Arc<Control>, pause: Duration) {
    loop {
        sleep(pause).await;
        log::info!("counters: {}", control.counters_line());
    }
}

/// The first part of a planned stop. Watches are answered at once, so that
/// nodes move on; leadership is handed over while this machine still answers,
/// so that requests in flight end here and new ones are told who leads. Only
/// then may connections close and groups stop.
async fn hand_over(control: &Arc<Control>) {
    log::info!("stop begins");
    control.stopping.cancel();
    control.groups.host().hand_over().await;
}
