//! Starts the tasks and listeners of a control machine, and shuts them down in order.

use std::collections::BTreeMap;
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
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::available_items::AvailableItems;
use super::control::Control;
use super::operators;
use super::service::ControlService;
use crate::command_order::CommandOrder;
use crate::machine::ClusterMachine;
use crate::turns::RequestLimiter;

/// Identifier of the only replicated group.
const GROUP: GroupId = GroupId(0);
/// Maximum wait for requests in flight during a planned shutdown.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the process exits after a failure of its store.
const STORE_FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Interval between the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Minimum election timeout. It spans a few heartbeats, so that the loss of a leader delays
/// submissions by less than the timeouts of their callers.
const ELECTION_MIN: Duration = Duration::from_millis(300);
/// Maximum election timeout.
const ELECTION_MAX: Duration = Duration::from_millis(600);
/// Upper bound on the bytes of applied log entries after which a snapshot is saved.
const MAX_SNAPSHOT_LOG_BYTES: u64 = 4 << 20;
/// Lower bound on the bytes of applied log entries after which a snapshot is saved, for small
/// disks.
const MIN_SNAPSHOT_LOG_BYTES: u64 = 512 << 10;
/// Fraction of the disk, as a divisor, that the log entries between two snapshots may occupy.
const SNAPSHOT_LOG_DISK_DIVISOR: u64 = 48;
/// Fraction of the disk, as a divisor, that log entries older than the snapshot may occupy. They
/// are kept for followers that lag: a learner with a disk of 47 MB installs 25 MB in 3 s, during
/// which 1 to 2 MB of new entries arrive.
const LOG_MARGIN_DISK_DIVISOR: u64 = 16;
/// Upper bound on the bytes of these entries, which are also held in memory.
const MAX_LOG_MARGIN_BYTES: u64 = 8 << 20;
/// Fraction of the disk, as a divisor, that log entries may occupy while a snapshot is being sent,
/// and that uncommitted entries may occupy.
const TRANSFER_LOG_DISK_DIVISOR: u64 = 12;
/// Upper bound on the bytes of log entries in each of these two cases.
const MAX_TRANSFER_LOG_BYTES: u64 = 32 << 20;
/// Maximum number of nodes that are woken for the new items of one change. Each of them takes
/// several items.
const MAX_WOKEN_NODES: usize = 256;
/// Interval between two log lines about network traffic.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time for a majority to confirm a read.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Protocols of operators and of the platform list of workers.
pub struct ControlProtocols {
    /// Parses requests of operators and renders the answers to them.
    pub operators: Arc<dyn OperatorProtocol>,
    /// Builds requests to the platform list of workers and parses its pages.
    pub worker_list: Arc<dyn WorkerListProtocol>,
}

/// Runs a control machine until SIGTERM or SIGINT. If the stored state can't be read, the machine
/// serves nothing, but the process stays up until the signal, so that it is not restarted in a
/// loop.
///
/// # Errors
/// Returns an error if the settings are invalid, the machine can't start, or its store fails.
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
        .with_context(|| format!("listen on {}", settings.listen))?;
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
        () = control.notify_status_changes() => {
            // After a failed write, only a restart can determine what was stored. The delay limits
            // the rate of restarts while the disk keeps failing.
            log::error!(event = "group_ended", machine = control.record.name.as_str(); "");
            sleep(STORE_FAILURE_DELAY).await;
            anyhow::bail!("the replicated group stopped because its store failed");
        }
    }
    log::info!(event = "stopping", machine = control.record.name.as_str(); "");
    control.notify_state_change();
    control.notify_watchers();
    control.host.hand_over().await;
    operators.stop().await;
    closing.cancel();
    if timeout(IN_FLIGHT_TIMEOUT, server).await.is_err() {
        log::warn!(event = "answers_cut"; "");
    }
    control.host.halt().await;
    closed.cancel();
    drop(tasks);
    admin.stop().await;
    log::info!(event = "stopped", machine = control.record.name.as_str(); "");
    Ok(())
}

/// Returns the identity of the data folder that founds the cluster at an address. It depends on
/// the address alone, so that founding machines know each other's identities without
/// communication.
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
    let is_founder = settings.found && seeds.contains(&address);
    let new_replica = match is_founder {
        true => founding_replica(address),
        false => ReplicaId(rand::random()),
    };
    let folder = &settings.data_folder;
    let store = Store::open_as(folder, new_replica)
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
    let voters: Vec<ReplicaId> = match is_founder {
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
        command_order: CommandOrder::default(),
        leader_hint: Mutex::default(),
        learned_addresses: Mutex::new(others.iter().copied().collect()),
        seeds: Mutex::new(others),
        peer_digests: Mutex::default(),
        peer_formats: PeerFormats::default(),
        excluded_replicas: Mutex::default(),
        older_digests: Mutex::default(),
        unreadable_requests: AtomicU64::new(0),
        parsed_table: Mutex::default(),
        operators: protocols.operators,
        worker_list: protocols.worker_list,
        traffic: Traffic::default(),
        state_changes: watch::Sender::new(0),
        watch_changes: watch::Sender::new(0),
        request_limiter: RequestLimiter::default(),
        available_items: AvailableItems::default(),
        started: BootTime::now(),
        stopping,
    });
    Ok((control, identity))
}

/// Returns the settings of the group's host. Log entries share the disk with the table that they
/// were applied to, so a smaller disk keeps fewer of them.
fn host_settings(disk_mb: u64) -> HostSettings {
    let disk_bytes = match disk_mb {
        0 => u64::MAX,
        megabytes => megabytes << 20,
    };
    let snapshot_bytes = (disk_bytes / SNAPSHOT_LOG_DISK_DIVISOR)
        .clamp(MIN_SNAPSHOT_LOG_BYTES, MAX_SNAPSHOT_LOG_BYTES);
    let margin_bytes = (disk_bytes / LOG_MARGIN_DISK_DIVISOR).min(MAX_LOG_MARGIN_BYTES);
    let transfer_bytes = (disk_bytes / TRANSFER_LOG_DISK_DIVISOR).min(MAX_TRANSFER_LOG_BYTES);
    HostSettings {
        heartbeat: HEARTBEAT_INTERVAL,
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

/// State for which nodes were last woken.
#[derive(Debug, Default)]
struct NotifiedState {
    table_version: Option<u64>,
    evacuations: u64,
    /// Number of waiting items by route.
    waiting_items: BTreeMap<String, usize>,
}

type Task = AbortOnDropHandle<()>;

fn start_tasks(control: &Arc<Control>, file: SettingsFile) -> Vec<Task> {
    let spawn =
        |work: futures::future::BoxFuture<'static, ()>| AbortOnDropHandle::new(tokio::spawn(work));
    let clone_of = |control: &Arc<Control>| control.clone();
    let (joining, members, upkeep, workers, reloading, traffic) = (
        clone_of(control),
        clone_of(control),
        clone_of(control),
        clone_of(control),
        clone_of(control),
        clone_of(control),
    );
    vec![
        spawn(Box::pin(
            async move { joining.announce_periodically().await },
        )),
        spawn(Box::pin(
            async move { members.run_membership_changes().await },
        )),
        spawn(Box::pin(async move { upkeep.run_upkeep().await })),
        spawn(Box::pin(async move { workers.poll_worker_list().await })),
        spawn(Box::pin(async move { traffic.log_traffic().await })),
        spawn(Box::pin(log_suspensions())),
        spawn(Box::pin(
            async move { reloading.reload_settings(file).await },
        )),
    ]
}

impl Control {
    /// Logs the traffic counters every [`TRAFFIC_LOG_INTERVAL`]. Never returns.
    async fn log_traffic(&self) {
        loop {
            sleep(TRAFFIC_LOG_INTERVAL).await;
            let counters = self.pool.counters();
            let sent = counters.bytes_out.load(Ordering::Relaxed);
            let received = counters.bytes_in.load(Ordering::Relaxed);
            log::info!(
                event = "traffic", leads = self.leads(), answered = self.traffic.summary(),
                peers_sent = sent, peers_received = received; ""
            );
        }
    }

    /// Applies changes to the seeds in the settings file. Other changed settings take effect at
    /// the next start.
    async fn reload_settings(&self, mut file: SettingsFile) {
        loop {
            match ForwardingSettings::read(file.changed().await) {
                Ok(settings) => {
                    let seeds = settings.control.map(|control| control.seed_addresses());
                    let seeds = seeds.unwrap_or_default();
                    log::info!(event = "settings_reloaded", seeds:? = seeds; "");
                    self.learn_addresses(&seeds);
                    *self.seeds.lock() = seeds;
                }
                Err(error) => log::warn!(event = "settings_refused", error:%; ""),
            }
        }
    }

    /// Wakes the nodes that an applied change concerns, and only those. Items finish many times
    /// per second, and every node keeps a watch and a lease request open here.
    fn notify_applied(&self, notified: &NotifiedState) -> NotifiedState {
        let now = self.group.with_machine(|machine| {
            let queues = machine.jobs().route_queues().iter();
            NotifiedState {
                table_version: machine.table_version(),
                evacuations: machine.evacuations().revision(),
                waiting_items: queues
                    .map(|(route, queue)| (route.to_owned(), queue.len()))
                    .collect(),
            }
        });
        if (now.table_version, now.evacuations) != (notified.table_version, notified.evacuations) {
            self.notify_watchers();
        }
        let table = self.table_in_force();
        for (route, waiting) in &now.waiting_items {
            let before = notified.waiting_items.get(route).copied();
            let added = waiting.saturating_sub(before.unwrap_or(0));
            let woken = added.min(MAX_WOKEN_NODES);
            self.available_items
                .announce(table.as_deref(), route, woken);
        }
        now
    }

    /// Wakes long polls whenever a command was applied or the leadership changed, and logs changes
    /// of the leadership. Returns once the group has stopped, which happens when its store fails.
    async fn notify_status_changes(&self) {
        let mut status = self.group.watch_status();
        let mut last = None;
        let mut applied = 0;
        let mut notified = NotifiedState::default();
        let mut given_up = 0;
        while status.changed().await.is_ok() {
            let now = status.borrow_and_update().clone();
            let role = (now.term, now.leader, now.role);
            if last != Some(role) {
                last = Some(role);
                let leader = now.leader.map(|one| one.0);
                log::info!(event = "role_changed", term = now.term, leader:?, role:? = now.role; "");
                self.notify_state_change();
                self.notify_watchers();
            }
            if applied != now.applied {
                applied = now.applied;
                given_up = self.log_given_up(given_up);
                self.notify_state_change();
                notified = self.notify_applied(&notified);
            }
        }
    }
}
