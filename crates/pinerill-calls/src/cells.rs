//! Cells: parts of a large fleet whose nodes and workers serve each other.
//!
//! A node needs some workers, not all. So the workers of a service that has many are divided
//! into parts, and each node deals with one part of each service: what it is told, holds and
//! looks through follows the size of a part, whatever the size of the fleet. A fleet whose
//! services are small has a single cell.
//!
//! Invariants: the numbers of parts and cells are powers of two, so that each cell has exactly
//! one part of each service, and a service of one part is in all cells; a worker's part depends
//! on its name and the number of parts alone, so that workers that come and go move no others.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::directory::WorkerEntry;

/// Most workers of a service in one part, in the mean. Nodes tell each other what is in flight
/// at as many.
const MOST_WORKERS: usize = 200;
/// Fewest workers of a service in one part, in the mean, before two parts become one: well
/// under half of the most, so that a size that varies a little moves nothing.
const FEWEST_WORKERS: usize = 60;

/// FNV-1a's first value and its multiplier, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// The finalizer of splitmix64, which spreads names that differ little.
const MIX: [(u32, u64); 2] = [(30, 0xbf58_476d_1ce4_e5b9), (27, 0x94d0_49bb_1331_11eb)];

/// One of the cells of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Which one, from 0.
    pub index: u32,
    /// How many there are, a power of two.
    pub count: u32,
}

impl CellId {
    /// The cells that took this one's place once there are `count`: itself, two or more that
    /// it was divided into, or one that it was joined to.
    pub fn successors(self, count: u32) -> impl Iterator<Item = u32> {
        let step = self.count.min(count).max(1);
        (self.index % step..count).step_by(step as usize)
    }
}

/// How the workers of a fleet are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Partition {
    /// Parts of each service, powers of two.
    parts: HashMap<String, u32>,
}

impl Partition {
    /// How these workers are divided, if they were divided like this before.
    pub fn repartition(&self, workers: &[WorkerEntry]) -> Partition {
        let mut sizes: HashMap<&str, usize> = HashMap::new();
        for worker in workers {
            *sizes.entry(worker.service.as_str()).or_default() += 1;
        }
        let parts = sizes.into_iter().map(|(service, size)| {
            let before = self.parts.get(service).copied().unwrap_or(1);
            (service.to_owned(), parts_of(size, before))
        });
        Partition {
            parts: parts.collect(),
        }
    }

    /// How many cells there are: as many as the largest service has parts.
    pub fn cell_count(&self) -> u32 {
        self.parts.values().copied().max().unwrap_or(1)
    }

    /// Whether a worker is in the cell with this index.
    pub fn cell_contains(&self, index: u32, worker: &WorkerEntry) -> bool {
        let parts = self.parts_of_service(&worker.service);
        index % parts == part(worker, parts)
    }

    /// The workers of each cell.
    pub fn divide(&self, workers: &[WorkerEntry]) -> Vec<Vec<WorkerEntry>> {
        let count = self.cell_count();
        let mut cells: Vec<Vec<WorkerEntry>> = (0..count).map(|_| Vec::new()).collect();
        for worker in workers {
            let parts = self.parts_of_service(&worker.service);
            for index in (part(worker, parts)..count).step_by(parts as usize) {
                cells[index as usize].push(worker.clone());
            }
        }
        cells
    }

    fn parts_of_service(&self, service: &str) -> u32 {
        self.parts.get(service).copied().unwrap_or(1)
    }
}

/// Parts of a service with so many workers.
fn parts_of(workers: usize, before: u32) -> u32 {
    let mut parts = before.max(1);
    while workers > parts as usize * MOST_WORKERS {
        parts *= 2;
    }
    while parts > 1 && workers < parts as usize * FEWEST_WORKERS {
        parts /= 2;
    }
    parts
}

/// The part of its service that a worker is in.
fn part(worker: &WorkerEntry, parts: u32) -> u32 {
    let name = worker.id.name().bytes();
    let hash = name.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = MIX.iter().fold(hash, |hash, (shift, factor)| {
        (hash ^ (hash >> shift)).wrapping_mul(*factor)
    });
    ((mixed ^ (mixed >> 31)) % u64::from(parts)) as u32
}
