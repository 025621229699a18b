//! Keeps the node's route table, worker directory and list of processes up to date by long-polling
//! the leader.
//!
//! The node reads the platform's worker list itself, at a limited rate, while no control machine
//! answers or while the leader is of an older build that does not send the age of its directory or
//! the software versions of workers.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context};
use pinerill_calls::cells::{CellId, Partition};
use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{
    Directory, DirectoryUpdate, ListReading, WorkerEntry, WorkerState,
};
use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::message::{
    CallsRequest, CallsResponse, Processes, WatchRequest, WatchResponse,
};
use pinerill_calls::packed::Packed;
use pinerill_calls::protocol::WorkerListProtocol;
use pinerill_calls::table::{RouteIndex, RouteTable};
use pinerill_process::clock::BootTime;
use tokio::time::sleep;

use super::directory_kind::DirectoryKind;
use super::list_pace::{first_undated_pause, pause_after_failures, reading_pause, undated_pause};
use crate::crash::broken_runs::CrashEvidence;
use crate::fleet::RemovedWorker;
use crate::node::Node;

/// Longest time for which the leader may delay its answer to a watch.
const LONG_POLL: Duration = Duration::from_millis(500);
/// Time without an answer from any control machine after which a watch request fails.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause between two log lines about unreachable control machines. It limits each node to a few
/// lines per minute.
const FAILURE_LOG_PAUSE: Duration = Duration::from_secs(5);
/// Pause after a failed watch request.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time without an answer from a control machine after which the node reads the worker list.
const LIST_READ_DELAY: Duration = Duration::from_millis(3_000);
/// Timeout for one page of the worker list.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections that are kept. A page does not say which request it answers, so each request
/// has a connection of its own, on which no answer to an earlier one can arrive.
const MAX_IDLE_CONNECTIONS: usize = 0;
/// Limit on the pages of one read; more pages indicate a faulty list.
const MAX_PAGES: usize = 1_000;

/// Watches the leader, and reads the worker list itself when needed, until the node stops.
pub(crate) async fn follow_leader(node: Arc<Node>, list: Arc<dyn WorkerListProtocol>) {
    let watching = watch(node.clone());
    let reading = read_list_when_needed(node, list);
    tokio::join!(watching, reading);
}

async fn watch(node: Arc<Node>) {
    let mut state = WatchState::default();
    let mut reachability = Reachability::default();
    loop {
        if node
            .known_state
            .needs_full_update
            .swap(false, Ordering::Relaxed)
        {
            state = WatchState {
                cell: state.cell,
                ..WatchState::default()
            };
        }
        let request = CallsRequest::Watch(WatchRequest {
            node: node.settings.name.clone(),
            zone: node.settings.zone.clone(),
            peer: node.settings.peer_listen,
            table_version: node.table().map(|index| index.table().version),
            directory: state.directory.as_ref().map(Directory::digest),
            processes: state.processes,
            evacuations: node.with_fleet(|fleet, _| fleet.evacuations_revision()),
            cell: state.cell,
            wait_ms: LONG_POLL.as_millis() as u64,
        });
        let answer = node.cluster.call(&request, WATCH_TIMEOUT, LONG_POLL).await;
        let failure = match answer {
            Ok(answered) => {
                if let CallsResponse::Watch(response) = answered.response {
                    reachability.record_answer(&node);
                    let directory_kind = DirectoryKind::of_format(answered.format);
                    let sent_at = answered.sent_at;
                    apply_watch_response(&node, sent_at, directory_kind, *response, &mut state);
                    node.waking.record_refresh(answered.sent_at);
                }
                continue;
            }
            Err(failure) => failure,
        };
        reachability.record_failure(&node, &failure.message);
        sleep(RETRY_PAUSE).await;
    }
}

/// Logs when the control machines become reachable or unreachable.
#[derive(Default)]
struct Reachability {
    /// State that was logged last; `None` before the first log line.
    logged: Option<bool>,
    /// When a failure was last logged.
    failure_logged: Option<BootTime>,
}

impl Reachability {
    fn record_answer(&mut self, node: &Node) {
        node.known_state
            .last_control_answer_ms
            .store(node.now_ms(), Ordering::Relaxed);
        if self.logged != Some(true) {
            self.logged = Some(true);
            log::info!(event = "control_reachable", reachable = true; "");
        }
    }

    /// Logs the first failure at once and later ones every [`FAILURE_LOG_PAUSE`], since they may
    /// have other causes than the first.
    fn record_failure(&mut self, node: &Node, message: &str) {
        let due = self
            .failure_logged
            .is_none_or(|at| at.elapsed() >= FAILURE_LOG_PAUSE);
        if self.logged == Some(false) && !due {
            return;
        }
        self.logged = Some(false);
        self.failure_logged = Some(BootTime::now());
        let asked = node.cluster.known_addresses();
        let silent_ms = node.now_ms().saturating_sub(
            node.known_state
                .last_control_answer_ms
                .load(Ordering::Relaxed),
        );
        let has_table = node.table().is_some();
        log::warn!(
            event = "control_reachable", reachable = false, asked:? = asked, silent_ms, has_table,
            message; ""
        );
    }
}

/// State received from the leader, which the next watch request names so that it is not sent again.
#[derive(Default)]
struct WatchState {
    directory: Option<Directory>,
    /// Whether `directory` was received but not applied to the fleet.
    directory_ignored: bool,
    processes: Option<Digest>,
    /// Cell that the leader assigned to this node.
    cell: Option<CellId>,
}

/// Applies a watch response. `directory_kind` is what the leader's build states about its
/// directory.
fn apply_watch_response(
    node: &Node,
    sent_at: BootTime,
    directory_kind: DirectoryKind,
    response: WatchResponse,
    state: &mut WatchState,
) {
    if let Some(processes) = response.processes {
        state.processes = Some(Digest::of(&processes));
        apply_processes(node, processes);
    }
    node.known_state
        .nodes
        .store(response.nodes, Ordering::Relaxed);
    let cell_nodes = &node.known_state.cell_nodes;
    cell_nodes.store(response.cell_nodes, Ordering::Relaxed);
    update_cell(node, response.cell, state);
    if let Some(table) = response.table {
        apply_table(node, &table);
    }
    if let Some(evacuations) = response.evacuations {
        apply_evacuations(node, evacuations);
    }
    record_directory_kind(node, directory_kind);
    let is_dated = directory_kind != DirectoryKind::Undated;
    if is_dated && state.directory_ignored {
        // The next watch requests the full directory.
        state.directory = None;
        state.directory_ignored = false;
        return;
    }
    if let Some(update) = response.directory {
        // A directory of unknown age may be older than the node's own read of the list.
        let has_own_listing = node.with_fleet(|fleet, _| fleet.listed_ms().is_some());
        state.directory_ignored = !is_dated && has_own_listing;
        // `None` after a change that does not apply: the next watch requests the full directory.
        state.directory = apply_directory_update(
            node,
            state.directory.take(),
            &update,
            state.directory_ignored,
        );
    }
    if let (Some(_), Some(age_ms)) = (&state.directory, response.directory_age_ms) {
        confirm_directory(node, sent_at, Duration::from_millis(age_ms));
    }
}

fn record_directory_kind(node: &Node, directory_kind: DirectoryKind) {
    let known_state = &node.known_state;
    let earlier = std::mem::replace(&mut *known_state.directory_kind.lock(), directory_kind);
    if earlier != directory_kind {
        log::info!(event = "directory_kind", kind:? = directory_kind; "");
        known_state.directory_kind_changed.notify_one();
    }
}

fn apply_table(node: &Node, packed: &Packed<RouteTable>) {
    let table = match packed.unpack() {
        Ok(table) => table,
        Err(error) => {
            log::error!(event = "table_unreadable", error:%; "");
            return;
        }
    };
    let version = table.version;
    if node.install_table(RouteIndex::new(table)) {
        log::info!(event = "table_in_force", version, packed_bytes = packed.size(); "");
    }
}

/// Applies a directory update, and the resulting directory to the fleet unless `ignored` is set.
/// Returns `None` if the update can't be decoded or does not apply to the known directory.
fn apply_directory_update(
    node: &Node,
    known: Option<Directory>,
    packed: &Packed<DirectoryUpdate>,
    ignored: bool,
) -> Option<Directory> {
    let update = match packed.unpack() {
        Ok(update) => update,
        Err(error) => {
            log::error!(event = "directory_unreadable", error:%; "");
            return None;
        }
    };
    match Directory::apply_update(known.as_ref(), update) {
        Ok(directory) => {
            if !ignored {
                apply_directory(node, directory.workers());
            }
            Some(directory)
        }
        Err(error) => {
            log::warn!(event = "directory_change_refused", error:%; "");
            None
        }
    }
}

/// Records the cell that the leader assigned to this node, if it changed.
fn update_cell(node: &Node, cell: CellId, state: &mut WatchState) {
    if state.cell == Some(cell) {
        return;
    }
    state.cell = Some(cell);
    *node.known_state.cell.lock() = Some(cell);
    log::info!(event = "cell_changed", index = cell.index, count = cell.count; "");
}

fn apply_evacuations(node: &Node, evacuations: Evacuations) {
    let revision = evacuations.revision();
    let zones: Vec<String> = evacuations.zones().map(str::to_owned).collect();
    let taken = node.with_fleet(|fleet, now_ms| fleet.apply_evacuations(now_ms, evacuations));
    if taken {
        log::info!(event = "evacuations_in_force", revision, zones:? = zones; "");
        node.slow_starts.notify_cold_workers();
    }
}

/// Records the time up to which the directory is confirmed: it shows the list as read `age` before
/// the watch request was sent. An answer alone confirms nothing, since the leader answers even
/// while it can't read the list.
fn confirm_directory(node: &Node, sent_at: BootTime, age: Duration) {
    let listed_ms = node.ms_at(sent_at) as i64 - age.as_millis() as i64;
    node.with_fleet(|fleet, _| fleet.confirm_directory(listed_ms));
}

fn apply_processes(node: &Node, processes: Processes) {
    log::info!(
        event = "processes_learnt", controls = processes.controls.len(),
        peers = processes.peers.len(), relays:? = processes.relays,
        bridges = processes.bridges.len(); ""
    );
    node.peers.update_addresses(&node.settings.zone, &processes);
    node.cluster.update_control_machines(processes.controls);
}

/// Applies a directory from the leader to the fleet.
fn apply_directory(node: &Node, workers: &[WorkerEntry]) {
    let gone = node.with_fleet(|fleet, now_ms| fleet.apply_directory(now_ms, workers));
    handle_directory_change(node, workers, &gone, "control");
}

/// Returns the workers of this node's cell, or all workers while its cell is unknown.
fn workers_in_cell(node: &Node, workers: Vec<WorkerEntry>) -> Vec<WorkerEntry> {
    let Some(cell) = *node.known_state.cell.lock() else {
        return workers;
    };
    let partition = Partition::default().repartition(&workers);
    let mut workers = workers;
    workers.retain(|worker| partition.cell_contains(cell.index, worker));
    workers
}

/// Applies the node's own read of the worker list, unless the leader sent a later directory in the
/// meantime.
fn apply_listing(node: &Node, began: BootTime, reading: ListReading) {
    let directory = Directory::new(workers_in_cell(node, reading.workers));
    let began_ms = node.ms_at(began) as i64;
    let taken =
        node.with_fleet(|fleet, now_ms| fleet.apply_listing(now_ms, began_ms, directory.workers()));
    match taken {
        Some(gone) => {
            handle_directory_change(node, directory.workers(), &gone, "list");
            node.waking.record_refresh(began);
        }
        None => log::info!(
            event = "reading_passed_over", ms = began.elapsed().as_millis() as u64; ""
        ),
    }
}

/// Closes connections to workers that are gone and checks them for crashes, and logs the applied
/// directory. `source` is where it came from, for the log.
fn handle_directory_change(
    node: &Node,
    workers: &[WorkerEntry],
    gone: &[RemovedWorker],
    source: &str,
) {
    node.slow_starts.notify_cold_workers();
    node.connections().cancel_superseded_exchanges(workers);
    for worker in gone {
        node.connections().forget(&worker.entry.id);
        let evidence = match worker.is_restarted {
            true => CrashEvidence::Replaced,
            false => CrashEvidence::Unlisted,
        };
        node.record_crash(&worker.entry, evidence);
    }
    let leaving = workers
        .iter()
        .filter(|one| one.state == WorkerState::Draining);
    log::info!(
        event = "directory_taken", source, workers = workers.len(), leaving = leaving.count(),
        gone = gone.len(); ""
    );
}

async fn read_list_when_needed(node: Arc<Node>, list: Arc<dyn WorkerListProtocol>) {
    let client = match reqwest::Client::builder()
        .timeout(PAGE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .no_proxy()
        .build()
    {
        Ok(client) => client,
        Err(error) => {
            log::error!(event = "worker_list_client_failed", error:%; "");
            return;
        }
    };
    let mut pages = 1;
    let mut failures = 0;
    loop {
        let nodes = node.known_state.nodes.load(Ordering::Relaxed);
        let rate = node.settings.worker_list_calls_per_s;
        let pause = match *node.known_state.directory_kind.lock() {
            DirectoryKind::Undated => undated_pause(nodes, pages, rate, rand::random()),
            _ => reading_pause(nodes, pages, rate, rand::random()),
        };
        let paused = sleep(pause_after_failures(pause, failures));
        tokio::select! {
            () = paused => {}
            // What the leader's directory lacks is unknown until the first read.
            () = node.known_state.directory_kind_changed.notified() => {
                sleep(first_undated_pause(nodes, pages, rate, rand::random())).await;
            }
        }
        let last_answer_ms = node
            .known_state
            .last_control_answer_ms
            .load(Ordering::Relaxed);
        let silent_ms = node.now_ms().saturating_sub(last_answer_ms);
        // Without a route table no call can be sent, so the node does not need workers yet. When
        // all processes have just started, this leaves the list to the leader.
        let directory_kind = *node.known_state.directory_kind.lock();
        let leader_is_silent = Duration::from_millis(silent_ms) >= LIST_READ_DELAY;
        let is_needed = leader_is_silent || directory_kind != DirectoryKind::Complete;
        if !is_needed || node.table().is_none() {
            continue;
        }
        let started = BootTime::now();
        match read_list(&node, &client, list.as_ref()).await {
            Ok(reading) => {
                pages = reading.pages();
                failures = 0;
                if reading.skipped.count > 0 {
                    log::warn!(
                        event = "worker_entries_skipped", count = reading.skipped.count,
                        first_reason:? = reading.skipped.first_reason; ""
                    );
                }
                if directory_kind == DirectoryKind::Unversioned && !leader_is_silent {
                    node.with_fleet(|fleet, now_ms| {
                        fleet.learn_versions(now_ms, &reading.workers);
                    });
                    continue;
                }
                apply_listing(&node, started, reading);
                node.known_state
                    .needs_full_update
                    .store(true, Ordering::Relaxed);
            }
            Err(error) => {
                failures += 1;
                log::warn!(
                    event = "worker_list_failed", error:% = format!("{error:#}"), failures,
                    ms = started.elapsed().as_millis() as u64; ""
                );
            }
        }
    }
}

async fn read_list(
    node: &Node,
    client: &reqwest::Client,
    list: &dyn WorkerListProtocol,
) -> anyhow::Result<ListReading> {
    let mut reading = ListReading::default();
    let mut token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = list.page_path(token.as_deref());
        let url = format!("http://{}{path}", node.settings.worker_list);
        let response = client
            .get(url)
            .send()
            .await
            .context("request a page of the worker list")?;
        if !response.status().is_success() {
            bail!(
                "request a page of the worker list: status {}",
                response.status()
            );
        }
        let body = response
            .bytes()
            .await
            .context("receive a page of the worker list")?;
        let page = list.read_page(&body)?;
        token = reading.add_page(page)?;
        if token.is_none() {
            return Ok(reading);
        }
    }
    bail!("the worker list has more than {MAX_PAGES} pages")
}
