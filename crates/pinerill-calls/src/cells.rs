//! Partitions the workers of a large fleet into cells, so that a node deals with few workers.
//!
//! The workers of each large service are divided into parts by a hash of their names. A cell
//! consists of one part of each service, and each node belongs to one cell. The amount of data
//! that a node receives, stores and searches therefore depends on the size of a part and not on
//! the size of the fleet. A fleet in which all services are small has a single cell.
//!
//! Control machines divide the directory with [`Partition::divide`]. Nodes that read the whole
//! list themselves select their workers with [`Partition::cell_contains`].
//!
//! Invariants:
//! - The numbers of parts and cells are powers of two. Each cell thus contains exactly one part
//!   of each service, and a service with one part is contained in all cells.
//! - A worker's part depends only on its name and the number of parts. Workers that are added or
//!   removed therefore move no others while the number of parts stays the same.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::directory::WorkerEntry;

/// Maximum mean number of workers in a part of a service. Nodes report the
/// requests in flight at up to as many workers to each other.
const MAX_MEAN_PART_SIZE: usize = 200;
/// Mean number of workers per part below which the number of parts is halved. It is well below
/// half of [`MAX_MEAN_PART_SIZE`], so that small variations of a service's size do not cause
/// repeated splits and merges.
const MIN_MEAN_PART_SIZE: usize = 60;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Shift and multiplier of the first two rounds of the splitmix64 finalizer. They spread
/// the hashes of names that differ in few characters.
const SPLITMIX64_ROUNDS: [(u32, u64); 2] =
    [(30, 0xbf58_476d_1ce4_e5b9), (27, 0x94d0_49bb_1331_11eb)];

/// Identifies a cell of a fleet that is divided into a given number of cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Index of the cell, from 0 to `count - 1`.
    pub index: u32,
    /// Number of cells of the fleet, a power of two.
    pub count: u32,
}

impl CellId {
    /// Returns the indices of the cells that replace this cell once the fleet has `count` cells:
    /// its own index, the cells that it is split into, or the cell that it is merged into.
    pub fn successors(self, count: u32) -> impl Iterator<Item = u32> {
        let step = self.count.min(count).max(1);
        (self.index % step..count).step_by(step as usize)
    }
}

/// The number of parts into which the workers of each service are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Partition {
    /// Number of parts, a power of two, by service name.
    parts: HashMap<String, u32>,
}

impl Partition {
    /// Returns the partition of these workers that replaces this one. A service keeps its number
    /// of parts unless its size has left the permitted range.
    pub fn repartition(&self, workers: &[WorkerEntry]) -> Partition {
        let mut sizes: HashMap<&str, usize> = HashMap::new();
        for worker in workers {
            *sizes.entry(worker.service.as_str()).or_default() += 1;
        }
        let parts = sizes.into_iter().map(|(service, size)| {
            let before = self.parts.get(service).copied().unwrap_or(1);
            (service.to_owned(), part_count(size, before))
        });
        Partition {
            parts: parts.collect(),
        }
    }

    /// Returns the number of cells, which is the number of parts of the largest service.
    pub fn cell_count(&self) -> u32 {
        self.parts.values().copied().max().unwrap_or(1)
    }

    /// Whether the cell with this index contains the worker.
    pub fn cell_contains(&self, index: u32, worker: &WorkerEntry) -> bool {
        let parts = self.service_part_count(&worker.service);
        index % parts == part_index(worker, parts)
    }

    /// Returns the workers of each cell, by cell index. A worker of a service that has fewer parts
    /// than there are cells occurs in several cells.
    pub fn divide(&self, workers: &[WorkerEntry]) -> Vec<Vec<WorkerEntry>> {
        let count = self.cell_count();
        let mut cells: Vec<Vec<WorkerEntry>> = (0..count).map(|_| Vec::new()).collect();
        for worker in workers {
            let parts = self.service_part_count(&worker.service);
            for index in (part_index(worker, parts)..count).step_by(parts as usize) {
                cells[index as usize].push(worker.clone());
            }
        }
        cells
    }

    /// Returns the number of parts of a service, 1 if it is unknown.
    fn service_part_count(&self, service: &str) -> u32 {
        self.parts.get(service).copied().unwrap_or(1)
    }
}

/// Returns the number of parts of a service with this many workers that had `before` parts.
fn part_count(workers: usize, before: u32) -> u32 {
    let mut parts = before.max(1);
    while workers > parts as usize * MAX_MEAN_PART_SIZE {
        parts *= 2;
    }
    while parts > 1 && workers < parts as usize * MIN_MEAN_PART_SIZE {
        parts /= 2;
    }
    parts
}

/// Returns the index of the part that contains a worker, for a service with `parts` parts.
fn part_index(worker: &WorkerEntry, parts: u32) -> u32 {
    let name = worker.id.name().bytes();
    let hash = name.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = SPLITMIX64_ROUNDS
        .iter()
        .fold(hash, |hash, (shift, factor)| {
            (hash ^ (hash >> shift)).wrapping_mul(*factor)
        });
    ((mixed ^ (mixed >> 31)) % u64::from(parts)) as u32
}
