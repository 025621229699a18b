//! State that the leader keeps for each cell of the fleet. The module performs no I/O, and the
//! caller passes in the time.
//!
//! A cell is a group of nodes and workers. For each cell the leader keeps the directory of its
//! workers and the nodes that watch it, so the cost of a watch depends on the size of a cell
//! and not on that of the fleet. A node stays in its cell; a new node is assigned to the cell
//! that has the fewest nodes of its zone.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_calls::cells::{CellId, Partition};
use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{DirectoryHistory, DirectoryUpdate, WorkerEntry, WorkerId};
use pinerill_calls::message::ZoneRelays;
use pinerill_calls::packed::Packed;
use pinerill_calls::table::{RouteIndex, RouteTable};
use pinerill_calls::version_history::{ServiceVersions, VersionHistory};

/// Time without a request after which a node is removed, milliseconds.
const NODE_TIMEOUT_MS: u64 = 2_500;

/// Number of relays per zone. With two, the loss of one halves the rate at which the zone
/// receives state of other zones until the lost node has been removed here.
const RELAYS_PER_ZONE: usize = 2;

/// Description of a node, from its own watch request.
#[derive(Debug, Clone, Copy)]
pub struct WatchingNode<'a> {
    /// Name of the node, unique in the fleet.
    pub name: &'a str,
    /// Zone in which the node runs.
    pub zone: &'a str,
    /// Address at which the node receives messages of other nodes.
    pub peer: SocketAddr,
    /// Cell that the node was last assigned to; `None` if it was never assigned.
    pub cell: Option<CellId>,
}

/// Nodes with which a node exchanges messages.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Nodes of its own zone and cell, including itself, sorted by address.
    pub peers: Vec<SocketAddr>,
    /// Relays of each zone in its cell.
    pub relays: Vec<ZoneRelays>,
    /// Nodes of other cells. Only one node of each cell receives any.
    pub bridges: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Node {
    last_seen_ms: u64,
    peer: SocketAddr,
}

#[derive(Debug, Default)]
struct Cell {
    directory: DirectoryHistory,
    /// Updates that lead to the current directory, by the digest of the directory they start
    /// from.
    updates: HashMap<Option<Digest>, Packed<DirectoryUpdate>>,
    /// Nodes by zone and name.
    nodes: BTreeMap<String, BTreeMap<String, Node>>,
}

impl Cell {
    fn remove_silent_nodes(&mut self, now_ms: u64) -> usize {
        let before = self.node_count();
        for nodes in self.nodes.values_mut() {
            nodes.retain(|_, node| now_ms.saturating_sub(node.last_seen_ms) <= NODE_TIMEOUT_MS);
        }
        self.nodes.retain(|_, nodes| !nodes.is_empty());
        before - self.node_count()
    }

    fn node_count(&self) -> usize {
        self.nodes.values().map(BTreeMap::len).sum()
    }

    fn node_count_in_zone(&self, zone: &str) -> usize {
        self.nodes.get(zone).map_or(0, BTreeMap::len)
    }

    /// Returns the relays of each zone: the nodes that come first by name, so that a node that
    /// restarts or joins seldom changes the selection.
    fn relays(&self) -> Vec<ZoneRelays> {
        let zones = self.nodes.iter().map(|(zone, nodes)| ZoneRelays {
            zone: zone.clone(),
            addresses: nodes
                .values()
                .take(RELAYS_PER_ZONE)
                .map(|node| node.peer)
                .collect(),
        });
        zones.collect()
    }

    /// Returns the one node of this cell that connects to other cells.
    fn bridge(&self) -> Option<SocketAddr> {
        let first = self.nodes.values().find_map(|nodes| nodes.values().next());
        first.map(|node| node.peer)
    }
}

/// All cells, as kept by one leader.
#[derive(Debug)]
pub struct Cells {
    partition: Partition,
    cells: Vec<Cell>,
    /// Cell index of each node, by node name.
    cell_indices: HashMap<String, u32>,
    /// Index of the cell that is checked for silent nodes next.
    next_checked: usize,
    nodes: usize,
    workers: Option<usize>,
    versions: VersionHistory,
    /// Route table that nodes were last sent.
    table: Option<Arc<RouteTable>>,
}

impl Default for Cells {
    fn default() -> Self {
        Cells {
            partition: Partition::default(),
            cells: vec![Cell::default()],
            cell_indices: HashMap::new(),
            next_checked: 0,
            nodes: 0,
            workers: None,
            versions: VersionHistory::default(),
            table: None,
        }
    }
}

impl Cells {
    /// Applies a complete poll of the list that began at `began_ms`; returns true if it changed
    /// any directory.
    pub fn update_workers(&mut self, began_ms: u64, workers: Vec<WorkerEntry>) -> bool {
        self.workers = Some(workers.len());
        self.versions.record(began_ms as i64, &workers);
        self.versions.confirm(began_ms as i64);
        self.partition = self.partition.repartition(&workers);
        let divided = self.partition.divide(&workers);
        self.resize(divided.len());
        let mut is_changed = false;
        for (cell, workers) in self.cells.iter_mut().zip(divided) {
            if cell.directory.record_reading(began_ms, workers) {
                cell.updates.clear();
                is_changed = true;
            }
        }
        is_changed
    }

    /// Records the route table that nodes are sent from now on. Nodes that start later learn from
    /// the versions which services routes have moved to.
    pub fn record_table(&mut self, now_ms: u64, table: &Arc<RouteTable>) {
        let earlier = match &self.table {
            Some(earlier) if earlier.version >= table.version => return,
            _ => self.table.replace(table.clone()),
        };
        let Some(earlier) = earlier else {
            return;
        };
        let earlier = RouteIndex::new((*earlier).clone());
        let index = RouteIndex::new((**table).clone());
        for service in index.services_moved_to(&earlier) {
            self.versions.record_move(now_ms as i64, service);
        }
    }

    /// Returns the software versions of all services that were listed in the last minutes.
    pub fn versions(&self, now_ms: u64) -> Vec<ServiceVersions> {
        self.versions.export(now_ms as i64)
    }

    /// Number of listed workers; `None` before the first poll.
    pub fn worker_count(&self) -> Option<usize> {
        self.workers
    }

    /// Returns whether this incarnation of a worker is listed.
    pub fn contains_worker(&self, worker: &WorkerId) -> bool {
        let mut directories = self
            .cells
            .iter()
            .filter_map(|cell| cell.directory.current());
        directories.any(|directory| directory.contains(worker))
    }

    /// Number of cells, at least 1.
    pub fn count(&self) -> usize {
        self.cells.len()
    }

    /// Number of nodes that watch any cell.
    pub fn node_count(&self) -> usize {
        self.nodes
    }

    /// Number of nodes that watch the given cell.
    pub fn nodes_in_cell(&self, cell: CellId) -> usize {
        self.cell(cell).node_count()
    }

    /// Recent directories of a cell, the current one included.
    pub fn directory(&self, cell: CellId) -> &DirectoryHistory {
        &self.cell(cell).directory
    }

    /// Returns the update from the directory with digest `held` to the current one of a cell;
    /// `None` if `held` is the current one or the list was never polled. An unknown `held` gives
    /// the whole directory. Each update is built once and shared by all nodes that hold the same
    /// directory.
    pub fn update(
        &mut self,
        cell: CellId,
        held: Option<Digest>,
    ) -> Option<Packed<DirectoryUpdate>> {
        let index = cell.index as usize % self.cells.len();
        let Cell {
            directory, updates, ..
        } = &mut self.cells[index];
        let held = directory.retained_digest(held);
        if let Some(known) = updates.get(&held) {
            return Some(known.clone());
        }
        let update = Packed::new(&directory.update_from(held)?);
        updates.insert(held, update.clone());
        Some(update)
    }

    /// Records a request of a node; returns the node's cell, which is assigned on its first
    /// request.
    pub fn record_node(&mut self, now_ms: u64, node: &WatchingNode<'_>) -> CellId {
        let index = match self.cell_indices.get(node.name) {
            Some(index) => *index,
            None => self.assign_cell(node),
        };
        let nodes = &mut self.cells[index as usize].nodes;
        let seen = Node {
            last_seen_ms: now_ms,
            peer: node.peer,
        };
        let zone = nodes.entry(node.zone.to_owned()).or_default();
        let is_new = zone.insert(node.name.to_owned(), seen).is_none();
        self.nodes += usize::from(is_new);
        self.remove_silent_from_cell(now_ms, index as usize);
        self.remove_silent_from_cell(now_ms, self.next_checked);
        self.next_checked = (self.next_checked + 1) % self.cells.len();
        CellId {
            index,
            count: self.cells.len() as u32,
        }
    }

    /// Returns the nodes with which a node in a zone of a cell exchanges messages.
    pub fn neighbours(&self, cell: CellId, zone: &str, own: SocketAddr) -> Neighbours {
        let own_cell = self.cell(cell);
        let nodes = own_cell.nodes.get(zone);
        let mut peers: Vec<SocketAddr> = nodes
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|node| node.peer)
            .collect();
        peers.sort_unstable();
        Neighbours {
            peers,
            relays: own_cell.relays(),
            bridges: match own_cell.bridge() == Some(own) {
                true => self.bridges(cell),
                false => Vec::new(),
            },
        }
    }

    /// Returns the bridge nodes of the cells whose index differs in one bit. An update that
    /// each bridge forwards reaches all `n` cells in log2(n) steps, and each bridge knows
    /// log2(n) others.
    fn bridges(&self, cell: CellId) -> Vec<SocketAddr> {
        let bits = self.cells.len().trailing_zeros();
        let others = (0..bits).map(|bit| (cell.index ^ (1 << bit)) as usize);
        others
            .filter_map(|other| self.cells[other].bridge())
            .collect()
    }

    fn cell(&self, cell: CellId) -> &Cell {
        &self.cells[cell.index as usize % self.cells.len()]
    }

    /// Assigns a cell to an unknown node: one that descends from the cell it names, or any if
    /// it names none, and among these the one with the fewest nodes of its zone.
    fn assign_cell(&mut self, node: &WatchingNode<'_>) -> u32 {
        let count = self.cells.len() as u32;
        let anywhere = CellId { index: 0, count: 1 };
        let allowed = node.cell.unwrap_or(anywhere).successors(count);
        let fewest = allowed.min_by_key(|index| {
            let cell = &self.cells[*index as usize];
            (cell.node_count_in_zone(node.zone), cell.node_count())
        });
        let index = fewest.unwrap_or(0);
        self.cell_indices.insert(node.name.to_owned(), index);
        index
    }

    fn remove_silent_from_cell(&mut self, now_ms: u64, index: usize) {
        let removed = self.cells[index].remove_silent_nodes(now_ms);
        if removed == 0 {
            return;
        }
        self.nodes -= removed;
        let cells = &self.cells;
        self.cell_indices.retain(|name, assigned| {
            let nodes = &cells[*assigned as usize].nodes;
            *assigned as usize != index || nodes.values().any(|zone| zone.contains_key(name))
        });
    }

    /// Changes the number of cells. All nodes are assigned again when they next name the cell
    /// they were in.
    fn resize(&mut self, count: usize) {
        if count == self.cells.len() {
            return;
        }
        log::info!(event = "cells_changed", before = self.cells.len(), count; "");
        self.cells = (0..count).map(|_| Cell::default()).collect();
        self.cell_indices.clear();
        self.next_checked = 0;
        self.nodes = 0;
    }
}
