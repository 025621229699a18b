//! The cells of the fleet as the leader keeps them. Pure: time is given.
//!
//! Of each cell it keeps the directory of its workers and the nodes that watch it. What a watch
//! costs follows the size of a cell. A node stays in its cell; a new one goes where its zone
//! has fewest nodes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use pinerill_calls::cells::{CellId, Partition};
use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{DirectoryHistory, DirectoryUpdate, WorkerEntry, WorkerId};
use pinerill_calls::message::ZoneRelays;
use pinerill_calls::packed::Packed;

/// A node that was not heard for this long is not counted, milliseconds.
const NODE_LIFE_MS: u64 = 2_500;

/// Relays of a zone: with two, one that is lost halves the pace at which the zone hears of
/// others until it counts no more here.
const RELAYS: usize = 2;

/// What a node says of itself as it watches.
#[derive(Debug, Clone, Copy)]
pub struct WatchingNode<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Where it hears other nodes.
    pub peer: SocketAddr,
    /// The cell that it was told to be in, if it was.
    pub cell: Option<CellId>,
}

/// Nodes that a node deals with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Those of its zone in its cell, itself included, in a steady order.
    pub peers: Vec<SocketAddr>,
    /// The relays of all zones in its cell.
    pub relays: Vec<ZoneRelays>,
    /// Nodes of other cells; of each cell one knows some.
    pub bridges: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Node {
    heard_ms: u64,
    peer: SocketAddr,
}

#[derive(Debug, Default)]
struct Cell {
    directory: DirectoryHistory,
    /// What leads to the present directory, by the digest of the one before.
    updates: HashMap<Option<Digest>, Packed<DirectoryUpdate>>,
    /// By zone and name.
    nodes: BTreeMap<String, BTreeMap<String, Node>>,
}

impl Cell {
    fn forget_silent(&mut self, now_ms: u64) -> usize {
        let before = self.node_count();
        for nodes in self.nodes.values_mut() {
            nodes.retain(|_, node| now_ms.saturating_sub(node.heard_ms) <= NODE_LIFE_MS);
        }
        self.nodes.retain(|_, nodes| !nodes.is_empty());
        before - self.node_count()
    }

    fn node_count(&self) -> usize {
        self.nodes.values().map(BTreeMap::len).sum()
    }

    fn nodes_in(&self, zone: &str) -> usize {
        self.nodes.get(zone).map_or(0, BTreeMap::len)
    }

    /// The relays of all zones: of each the nodes whose names come first, since one that
    /// restarts or joins then seldom changes who they are.
    fn relays(&self) -> Vec<ZoneRelays> {
        let zones = self.nodes.iter().map(|(zone, nodes)| ZoneRelays {
            zone: zone.clone(),
            addresses: nodes.values().take(RELAYS).map(|node| node.peer).collect(),
        });
        zones.collect()
    }

    /// The one node that knows some of other cells.
    fn bridge(&self) -> Option<SocketAddr> {
        let first = self.nodes.values().find_map(|nodes| nodes.values().next());
        first.map(|node| node.peer)
    }
}

/// All cells of one leadership.
#[derive(Debug)]
pub struct Cells {
    partition: Partition,
    cells: Vec<Cell>,
    /// Index of each node's cell, by name.
    places: HashMap<String, u32>,
    /// The cell that is looked through next for nodes that are silent.
    next_swept: usize,
    nodes: usize,
    workers: Option<usize>,
}

impl Default for Cells {
    fn default() -> Self {
        Cells {
            partition: Partition::default(),
            cells: vec![Cell::default()],
            places: HashMap::new(),
            next_swept: 0,
            nodes: 0,
            workers: None,
        }
    }
}

impl Cells {
    /// Takes in a whole reading of the list that began at a moment; true if it is news.
    pub fn update_workers(&mut self, began_ms: u64, workers: Vec<WorkerEntry>) -> bool {
        self.workers = Some(workers.len());
        self.partition = self.partition.repartition(&workers);
        let divided = self.partition.divide(&workers);
        self.resize(divided.len());
        let mut is_news = false;
        for (cell, workers) in self.cells.iter_mut().zip(divided) {
            if cell.directory.record_reading(began_ms, workers) {
                cell.updates.clear();
                is_news = true;
            }
        }
        is_news
    }

    /// Workers listed; none before the first reading.
    pub fn worker_count(&self) -> Option<usize> {
        self.workers
    }

    /// Whether a start of a worker is listed.
    pub fn contains_worker(&self, worker: &WorkerId) -> bool {
        let mut directories = self
            .cells
            .iter()
            .filter_map(|cell| cell.directory.current());
        directories.any(|directory| directory.contains(worker))
    }

    /// How many cells there are.
    pub fn count(&self) -> usize {
        self.cells.len()
    }

    /// Nodes that watch.
    pub fn node_count(&self) -> usize {
        self.nodes
    }

    /// Nodes in a cell.
    pub fn nodes_in_cell(&self, cell: CellId) -> usize {
        self.cell(cell).node_count()
    }

    /// The directory of a cell.
    pub fn directory(&self, cell: CellId) -> &DirectoryHistory {
        &self.cell(cell).directory
    }

    /// What leads from the directory with this digest to the present one of a cell; none if it
    /// is that. It is made once for all nodes that hold the same.
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

    /// Notes that a node was heard; returns its cell.
    pub fn record_node(&mut self, now_ms: u64, node: &WatchingNode<'_>) -> CellId {
        let index = match self.places.get(node.name) {
            Some(index) => *index,
            None => self.place(node),
        };
        let nodes = &mut self.cells[index as usize].nodes;
        let heard = Node {
            heard_ms: now_ms,
            peer: node.peer,
        };
        let zone = nodes.entry(node.zone.to_owned()).or_default();
        let is_new = zone.insert(node.name.to_owned(), heard).is_none();
        self.nodes += usize::from(is_new);
        self.sweep(now_ms, index as usize);
        self.sweep(now_ms, self.next_swept);
        self.next_swept = (self.next_swept + 1) % self.cells.len();
        CellId {
            index,
            count: self.cells.len() as u32,
        }
    }

    /// The nodes that a node in a zone of a cell deals with.
    pub fn neighbours(&self, cell: CellId, zone: &str, own: SocketAddr) -> Neighbours {
        let here = self.cell(cell);
        let nodes = here.nodes.get(zone);
        let mut peers: Vec<SocketAddr> = nodes
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|node| node.peer)
            .collect();
        peers.sort_unstable();
        Neighbours {
            peers,
            relays: here.relays(),
            bridges: match here.bridge() == Some(own) {
                true => self.bridges(cell),
                false => Vec::new(),
            },
        }
    }

    /// The nodes that bridge to the cells whose index differs in one bit: news that each hands
    /// on reach all of `n` cells in log2(n) steps, and each knows as many others.
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

    /// A cell for a node that is new here: the one that it names, or else the one in which its
    /// zone has fewest nodes.
    fn place(&mut self, node: &WatchingNode<'_>) -> u32 {
        let count = self.cells.len() as u32;
        let anywhere = CellId { index: 0, count: 1 };
        let allowed = node.cell.unwrap_or(anywhere).successors(count);
        let fewest = allowed.min_by_key(|index| {
            let cell = &self.cells[*index as usize];
            (cell.nodes_in(node.zone), cell.node_count())
        });
        let index = fewest.unwrap_or(0);
        self.places.insert(node.name.to_owned(), index);
        index
    }

    fn sweep(&mut self, now_ms: u64, index: usize) {
        let gone = self.cells[index].forget_silent(now_ms);
        if gone == 0 {
            return;
        }
        self.nodes -= gone;
        let cells = &self.cells;
        self.places.retain(|name, place| {
            let nodes = &cells[*place as usize].nodes;
            *place as usize != index || nodes.values().any(|zone| zone.contains_key(name))
        });
    }

    /// Nodes name the cell that they were in and are placed anew where there are more cells, or
    /// fewer.
    fn resize(&mut self, count: usize) {
        if count == self.cells.len() {
            return;
        }
        log::info!(event = "cells_changed", before = self.cells.len(), count; "");
        self.cells = (0..count).map(|_| Cell::default()).collect();
        self.places.clear();
        self.next_swept = 0;
        self.nodes = 0;
    }
}
