//! Follows the leader: route table, directory, control machines. While no
//! control machine answers, or the leader is of a build that does not tell how old its
//! directory is, the node reads the platform list itself, slowly.

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
    CallsRequest, CallsResponse, Format, Processes, WatchRequest, WatchResponse,
};
use pinerill_calls::packed::Packed;
use pinerill_calls::protocol::WorkerListProtocol;
use pinerill_calls::table::{RouteIndex, RouteTable};
use pinerill_process::clock::BootTime;
use tokio::time::sleep;

use super::list_pace::{first_undated_pause, pause_after_failures, reading_pause, undated_pause};
use crate::crash::broken_runs::CrashEvidence;
use crate::fleet::GoneWorker;
use crate::node::Node;

/// How long the leader may hold an answer.
const HOLD: Duration = Duration::from_millis(500);
/// How long the node asks around before it counts the control machines as
/// lost.
const ASK_TIME: Duration = Duration::from_millis(2_500);
/// Pause between two log lines that say that no control machine answers: a few
/// lines a minute of each node.
const FAILURE_LOG_PAUSE: Duration = Duration::from_secs(5);
/// Pause after no control machine answered.
const LOST_PAUSE: Duration = Duration::from_millis(100);
/// Time without an answer after which the platform list is read here.
const LIST_AFTER: Duration = Duration::from_millis(3_000);
/// Longest wait for one page.
const PAGE_TIME: Duration = Duration::from_millis(1_000);
/// Pages of one reading; more can't be right.
const PAGE_LIMIT: usize = 1_000;

/// Follows the leader until the node stops.
pub(crate) async fn follow_leader(node: Arc<Node>, list: Arc<dyn WorkerListProtocol>) {
    let watching = watch(node.clone());
    let reading = read_list_while_lost(node, list);
    tokio::join!(watching, reading);
}

async fn watch(node: Arc<Node>) {
    let mut held = Held::default();
    let mut reachability = Reachability::default();
    loop {
        if node.beliefs.told_by_others.swap(false, Ordering::Relaxed) {
            held = Held {
                cell: held.cell,
                ..Held::default()
            };
        }
        let request = CallsRequest::Watch(WatchRequest {
            node: node.settings.name.clone(),
            zone: node.settings.zone.clone(),
            peer: node.settings.peer_listen,
            table_version: node.table().map(|index| index.table().version),
            directory: held.directory.as_ref().map(Directory::digest),
            processes: held.processes,
            evacuations: node.with_fleet(|fleet, _| fleet.evacuations_revision()),
            cell: held.cell,
            wait_ms: HOLD.as_millis() as u64,
        });
        let answer = node.cluster.call(&request, ASK_TIME, HOLD).await;
        let failure = match answer {
            Ok(answered) => {
                if let CallsResponse::Watch(response) = answered.response {
                    reachability.heard(&node);
                    let is_dated = answered.format >= Format::DIRECTORY_AGE;
                    take_in(&node, answered.asked, is_dated, *response, &mut held);
                    node.waking.record_refresh(answered.asked);
                }
                continue;
            }
            Err(failure) => failure,
        };
        reachability.failed(&node, &failure.message);
        sleep(LOST_PAUSE).await;
    }
}

/// Whether the leader answers, as far as it was told in the log.
#[derive(Default)]
struct Reachability {
    /// What the log says; none before the first line of this process.
    told: Option<bool>,
    /// When the last failure was logged.
    failure_logged: Option<BootTime>,
}

impl Reachability {
    fn heard(&mut self, node: &Node) {
        node.beliefs
            .control_heard_ms
            .store(node.now_ms(), Ordering::Relaxed);
        if self.told != Some(true) {
            self.told = Some(true);
            log::info!(event = "control_reachable", reachable = true; "");
        }
    }

    /// Logs the first failure and then one each [`FAILURE_LOG_PAUSE`], since
    /// later ones may have other causes than the first.
    fn failed(&mut self, node: &Node, message: &str) {
        let due = self
            .failure_logged
            .is_none_or(|at| at.elapsed() >= FAILURE_LOG_PAUSE);
        if self.told == Some(false) && !due {
            return;
        }
        self.told = Some(false);
        self.failure_logged = Some(BootTime::now());
        let asked = node.cluster.known_addresses();
        let silent_ms = node
            .now_ms()
            .saturating_sub(node.beliefs.control_heard_ms.load(Ordering::Relaxed));
        let has_table = node.table().is_some();
        log::warn!(
            event = "control_reachable", reachable = false, asked:? = asked, silent_ms, has_table,
            message; ""
        );
    }
}

/// What the leader told and need not tell again.
#[derive(Default)]
struct Held {
    directory: Option<Directory>,
    /// The directory held is one that this node does not act on.
    passed_over: bool,
    processes: Option<Digest>,
    /// The cell that this node is in.
    cell: Option<CellId>,
}

/// `is_dated`: whether the leader's build tells how old its directory is.
fn take_in(node: &Node, asked: BootTime, is_dated: bool, response: WatchResponse, held: &mut Held) {
    if let Some(processes) = response.processes {
        held.processes = Some(Digest::of(&processes));
        learn_processes(node, processes);
    }
    node.beliefs.nodes.store(response.nodes, Ordering::Relaxed);
    let cell_nodes = &node.beliefs.cell_nodes;
    cell_nodes.store(response.cell_nodes, Ordering::Relaxed);
    take_cell(node, response.cell, held);
    if let Some(table) = response.table {
        take_table(node, &table);
    }
    if let Some(evacuations) = response.evacuations {
        take_evacuations(node, evacuations);
    }
    note_dated(node, is_dated);
    if is_dated && held.passed_over {
        // The whole is asked for next time.
        held.directory = None;
        held.passed_over = false;
        return;
    }
    if let Some(update) = response.directory {
        // An undated directory may be older than this node's own reading of the list.
        let own = node.with_fleet(|fleet, _| fleet.listed_ms().is_some());
        held.passed_over = !is_dated && own;
        // After a change that does not fit, the whole is asked for.
        held.directory = take_update(node, held.directory.take(), &update, held.passed_over);
    }
    if let (Some(_), Some(age_ms)) = (&held.directory, response.directory_age_ms) {
        confirm_directory(node, asked, Duration::from_millis(age_ms));
    }
}

fn note_dated(node: &Node, is_dated: bool) {
    if node.beliefs.undated.swap(!is_dated, Ordering::Relaxed) == is_dated {
        log::info!(event = "directory_dated", dated = is_dated; "");
        node.beliefs.undated_found.notify_one();
    }
}

fn take_table(node: &Node, packed: &Packed<RouteTable>) {
    let table = match packed.unpack() {
        Ok(table) => table,
        Err(error) => {
            log::error!(event = "table_unreadable", error:%; "");
            return;
        }
    };
    let version = table.version;
    if node.take_table(RouteIndex::new(table)) {
        log::info!(event = "table_in_force", version, packed_bytes = packed.size(); "");
    }
}

/// The directory that an update leads to; none if it can't be had.
fn take_update(
    node: &Node,
    held: Option<Directory>,
    packed: &Packed<DirectoryUpdate>,
    passed_over: bool,
) -> Option<Directory> {
    let update = match packed.unpack() {
        Ok(update) => update,
        Err(error) => {
            log::error!(event = "directory_unreadable", error:%; "");
            return None;
        }
    };
    match Directory::apply_update(held.as_ref(), update) {
        Ok(directory) => {
            if !passed_over {
                take_workers(node, directory.workers());
            }
            Some(directory)
        }
        Err(error) => {
            log::warn!(event = "directory_change_refused", error:%; "");
            None
        }
    }
}

/// Of another cell nothing is held.
fn take_cell(node: &Node, cell: CellId, held: &mut Held) {
    if held.cell == Some(cell) {
        return;
    }
    held.cell = Some(cell);
    *node.beliefs.cell.lock() = Some(cell);
    log::info!(event = "cell_changed", index = cell.index, count = cell.count; "");
}

fn take_evacuations(node: &Node, evacuations: Evacuations) {
    let revision = evacuations.revision();
    let zones: Vec<String> = evacuations.zones().map(str::to_owned).collect();
    let taken = node.with_fleet(|fleet, now_ms| fleet.take_evacuations(now_ms, evacuations));
    if taken {
        log::info!(event = "evacuations_in_force", revision, zones:? = zones; "");
        node.slow_starts.notify_cold_workers();
    }
}

/// The directory held is what a reading of the list showed that was so old when it was asked
/// for. An answer alone proves nothing: the leader answers also while it can't read the list.
fn confirm_directory(node: &Node, asked: BootTime, age: Duration) {
    let listed_ms = node.ms_at(asked) as i64 - age.as_millis() as i64;
    node.with_fleet(|fleet, _| fleet.confirm_directory(listed_ms));
}

fn learn_processes(node: &Node, processes: Processes) {
    log::info!(
        event = "processes_learnt", controls = processes.controls.len(),
        peers = processes.peers.len(), relays:? = processes.relays,
        bridges = processes.bridges.len(); ""
    );
    node.peers.learn(&node.settings.zone, &processes);
    node.cluster.update_control_machines(processes.controls);
}

/// Takes in a directory that the leader told.
fn take_workers(node: &Node, workers: &[WorkerEntry]) {
    let gone = node.with_fleet(|fleet, now_ms| fleet.take_directory(now_ms, workers));
    note_workers(node, workers, &gone, "control");
}

/// Workers of this node's cell; of all, if it knows none.
fn workers_in_cell(node: &Node, workers: Vec<WorkerEntry>) -> Vec<WorkerEntry> {
    let Some(cell) = *node.beliefs.cell.lock() else {
        return workers;
    };
    let partition = Partition::default().repartition(&workers);
    let mut workers = workers;
    workers.retain(|worker| partition.cell_contains(cell.index, worker));
    workers
}

/// Takes in a reading of this node's own, unless the leader has told a later one meanwhile.
fn take_reading(node: &Node, began: BootTime, reading: ListReading) {
    let directory = Directory::new(workers_in_cell(node, reading.workers));
    let began_ms = node.ms_at(began) as i64;
    let taken =
        node.with_fleet(|fleet, now_ms| fleet.take_reading(now_ms, began_ms, directory.workers()));
    match taken {
        Some(gone) => {
            note_workers(node, directory.workers(), &gone, "list");
            node.waking.record_refresh(began);
        }
        None => log::info!(
            event = "reading_passed_over", ms = began.elapsed().as_millis() as u64; ""
        ),
    }
}

/// Acts on workers that are gone, and says what was taken in.
fn note_workers(node: &Node, workers: &[WorkerEntry], gone: &[GoneWorker], source: &str) {
    node.slow_starts.notify_cold_workers();
    node.connections().cancel_superseded_exchanges(workers);
    for worker in gone {
        node.connections().forget(&worker.entry.id);
        let evidence = match worker.is_restarted {
            true => CrashEvidence::Replaced,
            false => CrashEvidence::Unlisted,
        };
        node.record_worker_crash(&worker.entry, evidence);
    }
    let leaving = workers
        .iter()
        .filter(|one| one.state == WorkerState::Draining);
    log::info!(
        event = "directory_taken", source, workers = workers.len(), leaving = leaving.count(),
        gone = gone.len(); ""
    );
}

async fn read_list_while_lost(node: Arc<Node>, list: Arc<dyn WorkerListProtocol>) {
    let client = match reqwest::Client::builder()
        .timeout(PAGE_TIME)
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
        let nodes = node.beliefs.nodes.load(Ordering::Relaxed);
        let rate = node.settings.worker_list_calls_per_s;
        let pause = match node.beliefs.undated.load(Ordering::Relaxed) {
            true => undated_pause(nodes, pages, rate, rand::random()),
            false => reading_pause(nodes, pages, rate, rand::random()),
        };
        let paused = sleep(pause_after_failures(pause, failures));
        tokio::select! {
            () = paused => {}
            // Nothing is known of the workers until the first reading.
            () = node.beliefs.undated_found.notified() => {
                sleep(first_undated_pause(nodes, pages, rate, rand::random())).await;
            }
        }
        let heard_ms = node.beliefs.control_heard_ms.load(Ordering::Relaxed);
        let silent_ms = node.now_ms().saturating_sub(heard_ms);
        // Without a route table no call can go anywhere, so that workers are of no use: where all
        // processes have just started, the leader alone needs the list.
        let undated = node.beliefs.undated.load(Ordering::Relaxed);
        let is_needed = undated || Duration::from_millis(silent_ms) >= LIST_AFTER;
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
                take_reading(&node, started, reading);
                node.beliefs.told_by_others.store(true, Ordering::Relaxed);
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
    for _ in 0..PAGE_LIMIT {
        let path = list.page_path(token.as_deref());
        let url = format!("http://{}{path}", node.settings.worker_list);
        let response = client.get(url).send().await.context("ask for a page")?;
        if !response.status().is_success() {
            bail!("ask for a page: status {}", response.status());
        }
        let body = response.bytes().await.context("read a page")?;
        let page = list.read_page(&body)?;
        token = reading.add_page(page)?;
        if token.is_none() {
            return Ok(reading);
        }
    }
    bail!("more than {PAGE_LIMIT} pages")
}
