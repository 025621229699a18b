//! The directory of workers, as the platform list tells it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::Digest;

/// Directories that a control machine remembers: the list is read once a second and nodes
/// ask twice, so that only one that was cut off lags by more.
const DIRECTORIES_KEPT: usize = 8;

/// Identifies one start of a worker.
pub type WorkerId = String;

/// One worker of the platform list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// This start of the worker.
    pub id: WorkerId,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Time during which it is still slow after its start, milliseconds.
    pub cold_left_ms: u64,
}

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One page of the platform list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPage {
    /// Workers on this page.
    pub workers: Vec<WorkerEntry>,
    /// Token of the next page; none on the last.
    pub next: Option<String>,
}

/// What leads from a directory that the asker holds to the present one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Digest of the present directory.
    pub digest: Digest,
    /// The change.
    pub change: DirectoryChange,
}

/// How a directory changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryChange {
    /// All workers.
    Whole(Vec<WorkerEntry>),
    /// Against the directory that the asker named.
    Difference {
        /// Workers that are listed no more.
        removed: Vec<WorkerId>,
        /// Workers that are new or have changed.
        put: Vec<WorkerEntry>,
    },
}

/// A change does not lead to the directory that it was told for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the change belongs to another directory")]
pub struct DirectoryMismatch;

/// A directory in the order of its workers' identifiers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    workers: Vec<WorkerEntry>,
    digest: Digest,
}

impl Directory {
    /// The directory of these workers, given in any order.
    pub fn new(mut workers: Vec<WorkerEntry>) -> Self {
        workers.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        let digest = Digest::of(&workers);
        Directory { workers, digest }
    }

    /// Its digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// All workers.
    pub fn workers(&self) -> &[WorkerEntry] {
        &self.workers
    }

    /// What changes from an earlier directory to this one.
    pub fn since(&self, earlier: &Directory) -> DirectoryChange {
        let before: HashMap<&str, &WorkerEntry> = earlier.by_id();
        let now = self.by_id();
        let gone = earlier
            .workers
            .iter()
            .filter(|one| !now.contains_key(one.id.as_str()));
        let put = self
            .workers
            .iter()
            .filter(|one| before.get(one.id.as_str()) != Some(one));
        DirectoryChange::Difference {
            removed: gone.map(|one| one.id.clone()).collect(),
            put: put.cloned().collect(),
        }
    }

    /// The directory that an update leads to from the one that is held.
    ///
    /// # Errors
    /// [`DirectoryMismatch`] if it does not lead there; the whole must be asked for.
    pub fn updated(
        held: Option<&Directory>,
        update: DirectoryUpdate,
    ) -> Result<Directory, DirectoryMismatch> {
        let workers = match update.change {
            DirectoryChange::Whole(workers) => workers,
            DirectoryChange::Difference { removed, put } => {
                let held = held.ok_or(DirectoryMismatch)?;
                let replaced = |one: &WorkerEntry| put.iter().any(|new| new.id == one.id);
                let stays = |one: &&WorkerEntry| !removed.contains(&one.id) && !replaced(one);
                let mut workers: Vec<WorkerEntry> =
                    held.workers.iter().filter(stays).cloned().collect();
                workers.extend(put);
                workers
            }
        };
        let directory = Directory::new(workers);
        match directory.digest == update.digest {
            true => Ok(directory),
            false => Err(DirectoryMismatch),
        }
    }

    fn by_id(&self) -> HashMap<&str, &WorkerEntry> {
        let workers = self.workers.iter();
        workers.map(|one| (one.id.as_str(), one)).collect()
    }
}

/// The present directory and some before it, so that who holds one of these is told what
/// has changed since.
#[derive(Debug, Default)]
pub struct DirectoryHistory {
    /// The newest last.
    directories: VecDeque<Directory>,
}

impl DirectoryHistory {
    /// Takes in a whole reading; true if it is news.
    pub fn take(&mut self, workers: Vec<WorkerEntry>) -> bool {
        let directory = Directory::new(workers);
        if self.directories.back() == Some(&directory) {
            return false;
        }
        self.directories.push_back(directory);
        if self.directories.len() > DIRECTORIES_KEPT {
            self.directories.pop_front();
        }
        true
    }

    /// The present directory; none before the first reading.
    pub fn present(&self) -> Option<&Directory> {
        self.directories.back()
    }

    /// What leads from the directory with this digest to the present one; none if it is
    /// the present one or nothing was read yet. Who holds none that is known here gets
    /// the whole.
    pub fn update_from(&self, held: Option<Digest>) -> Option<DirectoryUpdate> {
        let present = self.present()?;
        if held == Some(present.digest) {
            return None;
        }
        let mut kept = self.directories.iter().rev();
        let earlier = kept.find(|one| Some(one.digest) == held);
        let change = match earlier {
            Some(earlier) => present.since(earlier),
            None => DirectoryChange::Whole(present.workers.clone()),
        };
        Some(DirectoryUpdate {
            digest: present.digest,
            change,
        })
    }
}
