//! Starts the parts of a control machine, and stops them in a planned way.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use parking_lot::Mutex;
use pinerill_calls::message::MachineRecord;
use pinerill_calls::protocol::{OperatorProtocol, WorkerListProtocol};
use pinerill_calls::session::PeerFormats;
use pinerill_calls::settings::{cluster_key, ControlSettings, ForwardingSettings, SettingsError};
use pinerill_calls::traffic::Traffic;
use pinerill_control::host::{stay_out_if_unreadable, GroupHost, HostSettings};
use pinerill_control::server::PeerTransport;
use pinerill_process::clock::{log_suspensions, BootTime};
use pinerill_process::{monitoring_server, Server, SettingsFile, StopSignals};
use pinerill_replica::{GroupId, ReplicaId};
use pinerill_storage::{GroupStore, Store};
use pinerill_wire::api::Role;
use pinerill_wire::connection::{self, ClusterKey, Identity, PeerPool};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::control::Control;
use super::operators;
use super::service::ControlService;
use crate::machine::ClusterMachine;
use crate::turns::RequestLimiter;

/// The one replicated group.
const GROUP: GroupId = GroupId(0);
/// Longest wait for answers in flight at a planned stop.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Pause before the process ends after its store failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Time between heartbeats of the leader.
const HEARTBEAT: Duration = Duration::from_millis(80);
/// Shortest election timeout: a few heartbeats, so that a lost leader costs
/// submissions less than the callers' patience.
const ELECTION_MIN: Duration = Duration::from_millis(300);
/// Longest election timeout.
const ELECTION_MAX: Duration = Duration::from_millis(600);
/// Applied bytes after which a snapshot is saved.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// The same on a small disk.
const LEAST_SNAPSHOT_BYTES: u64 = 512 << 10;
/// Part of the disk that log entries of one snapshot may take.
const LOG_PART: u64 = 48;
/// Part of the disk that log entries behind a snapshot may take, kept for followers
/// that lag: a learner of a 47 MB disk installs 25 MB in 3 s, in which 1 to 2 MB come.
const LOG_MARGIN_PART: u64 = 16;
/// Most bytes of these entries, which are in memory too.
const MOST_LOG_MARGIN_BYTES: u64 = 8 << 20;
/// Part of the disk that log entries may take while a snapshot is sent, and that
/// entries without a majority may take.
const TRANSFER_LOG_PART: u64 = 12;
/// Most bytes of these entries.
const MOST_TRANSFER_LOG_BYTES: u64 = 32 << 20;
/// Nodes that are woken for items of one change at most: each takes some.
const MOST_WOKEN: usize = 256;
/// Pause between two log lines on bytes exchanged.
const TRAFFIC_PAUSE: Duration = Duration::from_secs(10);
/// How long a read waits to be confirmed.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// How operators and the platform list are spoken to.
pub struct ControlProtocols {
    /// Operators.
    pub operators: Arc<dyn OperatorProtocol>,
    /// The platform list.
    pub worker_list: Arc<dyn WorkerListProtocol>,
}

/// Runs a control machine until SIGTERM or SIGINT.
///
/// # Errors
/// When the settings can't be used or it can't start.
pub async fn run(file: SettingsFile, protocols: ControlProtocols) -> anyhow::Result<()> {
    let settings = ForwardingSettings::read(file.text())?;
    let cluster = settings.cluster;
    let missing = SettingsError::MissingSection("control");
    let settings = settings.control.ok_or(missing)?;
    let key = cluster_key(&cluster)?;
    let signals = StopSignals::from_system()?;
    let stopping = signals.planned.clone();
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("listen at {}", settings.listen))?;
    let closed = CancellationToken::new();
    let built = build(settings, &cluster.name, key, protocols, &closed, stopping);
    let (control, identity) = match built {
        Ok(built) => built,
        Err(error) => return stay_out_if_unreadable(error, &signals.planned).await,
    };
    let monitoring = monitoring_server(control.settings.admin, control.clone());
    let admin = Server::start(control.settings.admin, monitoring).await?;
    let operators = operators::server(control.clone());
    let operators = Server::start(control.settings.operator_listen, operators).await?;
    let closing = CancellationToken::new();
    let service = Arc::new(ControlService {
        control: control.clone(),
    });
    let server = tokio::spawn(connection::serve(
        listener,
        identity,
        service,
        Arc::default(),
        closing.clone(),
    ));
    let tasks = start_tasks(&control, file);
    log::info!(
        event = "started", machine = control.record.name.as_str(),
        address:% = control.record.address, replica = control.record.replica; ""
    );
    tokio::select! {
        () = signals.planned.cancelled() => {}
        () = control.tell_changes() => {
            // What a failed write left behind only a new start can tell; the
            // pause keeps starts apart while the disk stays as it is.
            log::error!(event = "group_ended", machine = control.record.name.as_str(); "");
            sleep(FAILURE_PAUSE).await;
            anyhow::bail!("the replicated group ended: its store failed");
        }
    }
    log::info!(event = "stopping", machine = control.record.name.as_str(); "");
    control.tell_news();
    control.tell_watch_news();
    control.host.hand_over().await;
    operators.stop().await;
    closing.cancel();
    if timeout(ANSWER_LIMIT, server).await.is_err() {
        log::warn!(event = "answers_cut"; "");
    }
    control.host.halt().await;
    closed.cancel();
    drop(tasks);
    admin.stop().await;
    log::info!(event = "stopped", machine = control.record.name.as_str(); "");
    Ok(())
}

/// Identity of the data folder that founds the cluster at an address. All
/// founding machines know each other's by it, without having met.
fn founding_replica(address: SocketAddr) -> ReplicaId {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    ReplicaId(hasher.finish())
}

fn build(
    settings: ControlSettings,
    cluster: &str,
    key: ClusterKey,
    protocols: ControlProtocols,
    closed: &CancellationToken,
    stopping: CancellationToken,
) -> anyhow::Result<(Arc<Control>, Identity)> {
    let seeds = settings.seed_addresses();
    let address = settings.advertised_address();
    let founds = settings.found && seeds.contains(&address);
    let newcomer = match founds {
        true => founding_replica(address),
        false => ReplicaId(rand::random()),
    };
    let folder = &settings.data_folder;
    let store = Store::open_as(folder, newcomer)
        .with_context(|| format!("open data folder {}", folder.display()))?;
    let store: Arc<dyn GroupStore> = Arc::new(store);
    let replica = store.identity().replica;
    let name = settings.name.as_str();
    let identity = Identity::new(cluster, key, Role::Control, name, &settings.zone)
        .with_replica(replica.0, 0)
        .with_listen(address);
    let others: Vec<SocketAddr> = seeds
        .iter()
        .copied()
        .filter(|seed| *seed != address)
        .collect();
    let pool = PeerPool::start(&others, &identity, closed);
    let transport = Arc::new(PeerTransport::new(pool.clone()));
    let host = GroupHost::start(store, transport, host_settings(settings.disk_mb));
    let voters: Vec<ReplicaId> = match founds {
        true => seeds.iter().copied().map(founding_replica).collect(),
        false => Vec::new(),
    };
    let group = host.add_group(GROUP, &voters, ClusterMachine::default())?;
    let record = MachineRecord {
        replica: replica.0,
        name: settings.name.clone(),
        address,
        zone: settings.zone.clone(),
    };
    let control = Arc::new(Control {
        settings,
        record,
        pool,
        host,
        group,
        leadership: Mutex::new(None),
        named_leader: Mutex::default(),
        learnt: Mutex::new(others.iter().copied().collect()),
        seeds: Mutex::new(others),
        told_digests: Mutex::default(),
        peer_formats: PeerFormats::default(),
        kept_out: Mutex::default(),
        older_digests: Mutex::default(),
        unread_requests: AtomicU64::new(0),
        table_read: Mutex::default(),
        operators: protocols.operators,
        worker_list: protocols.worker_list,
        traffic: Traffic::default(),
        news: watch::Sender::new(0),
        watch_news: watch::Sender::new(0),
        turns: RequestLimiter::default(),
        items_wait: Notify::new(),
        started: BootTime::now(),
        stopping,
    });
    Ok((control, identity))
}

/// Log entries are on the disk beside the table that they were applied to, so
/// a small disk keeps fewer of them.
fn host_settings(disk_mb: u64) -> HostSettings {
    let disk_bytes = match disk_mb {
        0 => u64::MAX,
        megabytes => megabytes << 20,
    };
    let snapshot_bytes = (disk_bytes / LOG_PART).clamp(LEAST_SNAPSHOT_BYTES, SNAPSHOT_BYTES);
    let margin_bytes = (disk_bytes / LOG_MARGIN_PART).min(MOST_LOG_MARGIN_BYTES);
    let transfer_bytes = (disk_bytes / TRANSFER_LOG_PART).min(MOST_TRANSFER_LOG_BYTES);
    HostSettings {
        heartbeat: HEARTBEAT,
        election_min: ELECTION_MIN,
        election_max: ELECTION_MAX,
        snapshot_bytes,
        compaction_margin_bytes: margin_bytes as usize,
        transfer_margin_bytes: transfer_bytes as usize,
        max_uncommitted_bytes: transfer_bytes as usize,
        read_timeout: READ_TIMEOUT,
        ..HostSettings::default()
    }
}

/// What nodes were last woken for.
#[derive(Debug, Default)]
struct ToldState {
    table_version: Option<u64>,
    evacuations: u64,
    waiting_items: usize,
}

type Task = AbortOnDropHandle<()>;

fn start_tasks(control: &Arc<Control>, file: SettingsFile) -> Vec<Task> {
    let spawn =
        |work: futures::future::BoxFuture<'static, ()>| AbortOnDropHandle::new(tokio::spawn(work));
    let own = |control: &Arc<Control>| control.clone();
    let (joining, members, upkeep, workers, reloading, traffic) = (
        own(control),
        own(control),
        own(control),
        own(control),
        own(control),
        own(control),
    );
    vec![
        spawn(Box::pin(async move { joining.keep_joined().await })),
        spawn(Box::pin(async move { members.keep_members().await })),
        spawn(Box::pin(async move { upkeep.keep_up().await })),
        spawn(Box::pin(async move { workers.follow_workers().await })),
        spawn(Box::pin(async move { traffic.log_traffic().await })),
        spawn(Box::pin(log_suspensions())),
        spawn(Box::pin(
            async move { reloading.follow_settings(file).await },
        )),
    ]
}

impl Control {
    /// Logs which bytes it exchanged with whom.
    async fn log_traffic(&self) {
        loop {
            sleep(TRAFFIC_PAUSE).await;
            let counters = self.pool.counters();
            let sent = counters.bytes_out.load(Ordering::Relaxed);
            let received = counters.bytes_in.load(Ordering::Relaxed);
            log::info!(
                event = "traffic", leads = self.leads(), answered = self.traffic.summary(),
                peers_sent = sent, peers_received = received; ""
            );
        }
    }

    /// Takes over other seeds of a settings file that changes. What else
    /// differs counts from the next start on.
    async fn follow_settings(&self, mut file: SettingsFile) {
        loop {
            match ForwardingSettings::read(file.changed().await) {
                Ok(settings) => {
                    let seeds = settings.control.map(|control| control.seed_addresses());
                    let seeds = seeds.unwrap_or_default();
                    log::info!(event = "settings_reloaded", seeds:? = seeds; "");
                    self.learn(&seeds);
                    *self.seeds.lock() = seeds;
                }
                Err(error) => log::warn!(event = "settings_refused", error:%; ""),
            }
        }
    }

    /// Wakes those nodes alone that what was applied concerns: items end many times a second,
    /// and all nodes have a watch and a request for items here.
    fn tell_applied(&self, told: &ToldState) -> ToldState {
        let now = self.group.with_machine(|machine| ToldState {
            table_version: machine.table_version(),
            evacuations: machine.evacuations().revision(),
            waiting_items: machine.jobs().queue().len(),
        });
        if (now.table_version, now.evacuations) != (told.table_version, told.evacuations) {
            self.tell_watch_news();
        }
        let more = now.waiting_items.saturating_sub(told.waiting_items);
        for _ in 0..more.min(MOST_WOKEN) {
            self.items_wait.notify_one();
        }
        now
    }

    /// Wakes long polls when something was applied or leadership changed, and
    /// logs the latter. Ends with the group, which ends when its store fails.
    async fn tell_changes(&self) {
        let mut status = self.group.watch_status();
        let mut last = None;
        let mut applied = 0;
        let mut told = ToldState::default();
        while status.changed().await.is_ok() {
            let now = status.borrow_and_update().clone();
            let role = (now.term, now.leader, now.role);
            if last != Some(role) {
                last = Some(role);
                let leader = now.leader.map(|one| one.0);
                log::info!(event = "role_changed", term = now.term, leader:?, role:? = now.role; "");
                self.tell_news();
                self.tell_watch_news();
            }
            if applied != now.applied {
                applied = now.applied;
                self.tell_news();
                told = self.tell_applied(&told);
            }
        }
    }
}
